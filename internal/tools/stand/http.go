package stand

import (
	"net"
	"net/http"

	"github.com/clementinewind/clementinewind/internal/route/send"
)

// reset closes the connection of a request. TCP peers receive RST instead of FIN.
func reset(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// refuse answers with an error and the header that says that the request has not run and will not run.
func refuse(writer http.ResponseWriter, status int, detail string) {
	writer.Header().Set(send.HeaderNotRun, "true")
	writer.Header().Set("Retry-After", "1")
	http.Error(writer, detail, status)
}
