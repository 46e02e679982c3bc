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

// Guards against a graceful stop that resets connections in the accept queue, on which a request was already sent.
func TestStopServesTheBacklog(t *testing.T) {
	started, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, "answer")
	}), gate.Config{MaxConnections: 100}, hclog.NewNullLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	address := started.listener.Addr().String()
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
	// Afterwards connections fail at once, so that callers try another router.
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

// Callers leave more connections open than the router may have. Guards against a router that takes no new connection until a caller closes
// one, and says that it is ready meanwhile.
func TestNewConnectionsBesideIdleOnes(t *testing.T) {
	started, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, "answer")
	}), gate.Config{MaxConnections: 3}, hclog.NewNullLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- started.serve() }()
	for range 10 {
		conn, err := net.Dial("tcp", started.listener.Addr().String())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		quicktest.Assert(t, conn.SetDeadline(time.Now().Add(3*time.Second)), quicktest.IsNil)
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	}
	started.close()
	quicktest.Check(t, <-ended, quicktest.IsNil)
}

// Guards against forwarding requests of callers that have disconnected: the connection that is checked must be the
// socket, also where the number of connections is limited.
func TestCallerDisconnectIsDetected(t *testing.T) {
	began, left, seen := make(chan struct{}), make(chan struct{}), make(chan bool, 2)
	started, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		seen <- callerDisconnected(request.Context())
		close(began)
		<-left
		for end := time.Now().Add(time.Second); !callerDisconnected(request.Context()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		seen <- callerDisconnected(request.Context())
	}), gate.Config{MaxConnections: 1}, hclog.NewNullLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- started.serve() }()
	conn, err := net.Dial("tcp", started.listener.Addr().String())
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
