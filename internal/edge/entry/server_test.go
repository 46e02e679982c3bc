package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/edge/gate"
)

// Guards against connections that the kernel has accepted, with a request already sent, and that are reset by a planned stop.
func TestStopServesTheBacklog(t *testing.T) {
	started, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, "answer")
	}), gate.Config{MaxConnections: 100}, hclog.NewNullLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	address := started.gate.Addr().String()
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", address)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		conns = append(conns, conn)
	}
	started.stopAccepting()
	ended := make(chan error, 1)
	go func() { ended <- started.serve() }()
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	}
	// Afterwards a caller is turned away at once, so that it tries another router.
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		conn.Close()
		if time.Now().After(end) {
			t.Fatal("connections are still accepted")
		}
	}
	started.close()
	quicktest.Check(t, <-ended, quicktest.IsNil)
}

// Guards against requests that are sent on although their callers have left: the connection that the look is at must be the
// socket, also where the number of connections is bounded.
func TestCallerThatLeftIsSeen(t *testing.T) {
	began, left, seen := make(chan struct{}), make(chan struct{}), make(chan bool, 2)
	started, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		seen <- callerLeft(request.Context())
		close(began)
		<-left
		for end := time.Now().Add(time.Second); !callerLeft(request.Context()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		seen <- callerLeft(request.Context())
	}), gate.Config{MaxConnections: 1}, hclog.NewNullLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- started.serve() }()
	conn, err := net.Dial("tcp", started.gate.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	quicktest.Check(t, <-seen, quicktest.IsFalse)
	conn.Close()
	close(left)
	quicktest.Check(t, <-seen, quicktest.IsTrue)
	started.close()
	quicktest.Check(t, <-ended, quicktest.IsNil)
}
