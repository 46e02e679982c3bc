package gate_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/edge/gate"
)

// server answers each request with its body and counts the requests that reach it. Connections queue until start.
type server struct {
	httpServer *http.Server
	listener   *gate.Listener
	refusing   atomic.Bool
	requests   atomic.Int64
	refused    atomic.Int64
	// hold, if not nil, is closed to let requests end.
	hold chan struct{}
}

func listen(t *testing.T, connections int) *server {
	t.Helper()
	server := &server{}
	server.open(t, gate.Config{
		MaxConnections: connections, ShouldRefuse: server.refusing.Load, Logger: hclog.NewNullLogger(),
		RefusalResponse: func(head []byte) []byte {
			server.refused.Add(1)
			request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
			if err != nil {
				t.Errorf("refused without a complete head: %q", head)
				return nil
			}
			id := request.Header.Get("X-Request-Id")
			return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: %d\r\n\r\nbusy %s", 5+len(id), id)
		},
	})
	return server
}

// open opens the listener. It sets the listener of config.
func (server *server) open(t *testing.T, config gate.Config) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	config.Listener = listener
	server.listener, err = gate.New(config)
	quicktest.Assert(t, err, quicktest.IsNil)
	server.httpServer = &http.Server{
		ConnState: server.listener.ConnState,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			server.requests.Add(1)
			body, err := io.ReadAll(request.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			if server.hold != nil {
				<-server.hold
			}
			fmt.Fprintf(writer, "%s", body)
		}),
	}
	t.Cleanup(func() {
		_ = server.httpServer.Close()
		_ = server.listener.Close()
	})
}

func (server *server) start() { go func() { _ = server.httpServer.Serve(server.listener) }() }

func (server *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", server.listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	quicktest.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	return conn
}

func readResponse(t *testing.T, conn net.Conn) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	return response, string(body)
}

func post(id, body string) string {
	return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Callers open a connection per request at a router that refuses. Guards against refusals that use a goroutine of the
// HTTP server each, and so leave no time to serve requests. Each caller must get the whole response and the end of the
// connection.
func TestRefusalsBypassServer(t *testing.T) {
	const callers = 60
	server := listen(t, 1000)
	server.refusing.Store(true)
	var conns []net.Conn
	for number := range callers {
		conn := server.dial(t)
		fmt.Fprint(conn, post(fmt.Sprintf("id-%d", number), "body"))
		conns = append(conns, conn)
	}
	server.start()
	for number, conn := range conns {
		response, body := readResponse(t, conn)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, response.Close, quicktest.IsTrue)
		quicktest.Check(t, body, quicktest.Equals, fmt.Sprintf("busy id-%d", number))
		_, err := conn.Read(make([]byte, 1))
		quicktest.Check(t, err, quicktest.Equals, io.EOF)
	}
	quicktest.Check(t, server.refused.Load(), quicktest.Equals, int64(callers))
	quicktest.Check(t, server.requests.Load(), quicktest.Equals, int64(0))
}

// Guards against refusals that reset the connection of a caller that is still sending: the rest of the request is read
// first, however it is framed and wherever it is split.
func TestIncompleteRequestsAreReadBeforeRefusal(t *testing.T) {
	long := strings.Repeat("x", 1_000_000)
	for name, parts := range map[string][]string{
		"nothing sent":        {"", post("id", "body")},
		"half a head":         {"POST /x HTTP/1.1\r\nHost: h\r\nX-Requ", "est-Id: id\r\nContent-Length: 4\r\n\r\nbody"},
		"no body yet":         {"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Length: 4\r\n\r\n", "body"},
		"half a body":         {"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Length: 4\r\n\r\nbo", "dy"},
		"a chunked body":      {"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r\n\r\n"},
		"a long body":         {post("id", long), ""},
		"a split header name": {"POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Len", "gth: 4\r\n\r\nbody"},
	} {
		// The rest arrives while it is polled for, and after that.
		for _, pause := range []time.Duration{5 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, rest after %s", name, pause), func(t *testing.T) {
				server := listen(t, 1000)
				server.refusing.Store(true)
				refused := server.dial(t)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					fmt.Fprint(refused, parts[0])
				}()
				time.Sleep(10 * time.Millisecond)
				server.start()
				time.Sleep(pause)
				<-sent
				fmt.Fprint(refused, parts[1])
				response, body := readResponse(t, refused)
				quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
				quicktest.Check(t, body, quicktest.Equals, "busy id")
				quicktest.Check(t, server.requests.Load(), quicktest.Equals, int64(0))
			})
		}
	}
}

// Guards against a caller with Expect: 100-continue that gets its refusal only when it gives up waiting.
func TestExpectContinueIsRefusedAtOnce(t *testing.T) {
	server := listen(t, 1000)
	server.refusing.Store(true)
	refused := server.dial(t)
	fmt.Fprint(refused, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	began := time.Now()
	server.start()
	response, body := readResponse(t, refused)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, body, quicktest.Equals, "busy id")
	quicktest.Check(t, time.Since(began) < 2*time.Second, quicktest.IsTrue)
}

// Guards against a process that exits while refused requests wait for their responses.
func TestPendingRefusalsAreCounted(t *testing.T) {
	server := listen(t, 1000)
	server.refusing.Store(true)
	refused := server.dial(t)
	fmt.Fprint(refused, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nContent-Length: 4\r\n\r\n")
	server.start()
	for end := time.Now().Add(20 * time.Second); server.listener.PendingRefusals() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, server.listener.PendingRefusals(), quicktest.Equals, 1)
	fmt.Fprint(refused, "body")
	readResponse(t, refused)
	for end := time.Now().Add(20 * time.Second); server.listener.PendingRefusals() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, server.listener.PendingRefusals(), quicktest.Equals, 0)
}

// Guards against an unbounded number of refused requests that never fully arrive.
func TestPendingRefusalsAreBounded(t *testing.T) {
	const callers = 400
	server := listen(t, 1000)
	server.refusing.Store(true)
	before := runtime.NumGoroutine()
	for range callers {
		fmt.Fprint(server.dial(t), "POST /x HTTP/1.1\r\n")
	}
	server.start()
	time.Sleep(100 * time.Millisecond)
	quicktest.Check(t, runtime.NumGoroutine()-before < callers, quicktest.IsTrue)
}

// Guards against refusing large prompts by a goroutine and ten more system calls each: a request that has fully arrived
// is refused at once, even while maxPendingRefusals others have not.
func TestLargeRequestsAreRefusedAtOnce(t *testing.T) {
	const unfinished = 400
	server := listen(t, 1000)
	server.refusing.Store(true)
	for range unfinished {
		server.dial(t)
	}
	large := server.dial(t)
	fmt.Fprint(large, post("id", strings.Repeat("x", 40_000)))
	server.start()
	response, body := readResponse(t, large)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, body, quicktest.Equals, "busy id")
}

// Guards against a connection limit that refused or failed connections use up. The listener does not refuse, and its server does not tell
// which connections are idle, so that a connection beyond the limit waits.
func TestConnectionsAreBounded(t *testing.T) {
	server := &server{}
	server.open(t, gate.Config{MaxConnections: 2})
	server.httpServer.ConnState = nil
	server.start()
	for range 10 {
		conn := server.dial(t)
		fmt.Fprint(conn, post("id", "body"))
		_, body := readResponse(t, conn)
		quicktest.Check(t, body, quicktest.Equals, "body")
		conn.Close()
	}
	one, two, three := server.dial(t), server.dial(t), server.dial(t)
	for _, conn := range []net.Conn{one, two} {
		fmt.Fprint(conn, post("id", "body"))
		readResponse(t, conn)
	}
	fmt.Fprint(three, post("id", "third"))
	quicktest.Assert(t, three.SetReadDeadline(time.Now().Add(100*time.Millisecond)), quicktest.IsNil)
	_, err := three.Read(make([]byte, 1))
	quicktest.Check(t, err, quicktest.IsNotNil)
	one.Close()
	quicktest.Assert(t, three.SetReadDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	_, body := readResponse(t, three)
	quicktest.Check(t, body, quicktest.Equals, "third")
}

// Guards against connections that wait in the accept queue of an overloaded router for seconds: those beyond the backlog
// fail, so that callers try another router, and queued ones are served.
func TestBacklogIsBounded(t *testing.T) {
	const queue = 4
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	bounded, err := gate.New(gate.Config{Listener: listener, MaxConnections: 100, Backlog: queue})
	quicktest.Assert(t, err, quicktest.IsNil)
	dialer := net.Dialer{Timeout: 200 * time.Millisecond}
	var conns []net.Conn
	failed := 0
	for range 4 * queue {
		conn, err := dialer.Dial("tcp4", listener.Addr().String())
		if err != nil {
			failed++
			continue
		}
		defer conn.Close()
		fmt.Fprint(conn, post("id", "body"))
		conns = append(conns, conn)
	}
	quicktest.Check(t, failed > 0, quicktest.IsTrue, quicktest.Commentf("%d of %d failed", failed, 4*queue))
	quicktest.Assert(t, len(conns) >= queue, quicktest.IsTrue)
	serving := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "answer") })}
	go func() { _ = serving.Serve(bounded) }()
	defer serving.Close()
	for _, conn := range conns {
		response, _ := readResponse(t, conn)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	}
}

// Guards against an Accept that waits at the connection limit and does not return after Close.
func TestCloseEndsAccept(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	bounded, err := gate.New(gate.Config{Listener: listener, MaxConnections: 1})
	quicktest.Assert(t, err, quicktest.IsNil)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	accepted, err := bounded.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer accepted.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := bounded.Accept()
		ended <- err
	}()
	quicktest.Check(t, bounded.Close(), quicktest.IsNil)
	quicktest.Check(t, <-ended, quicktest.ErrorIs, net.ErrClosed)
}

// Guards against an admission that also applies to later requests of the connection.
func TestAdmissionAppliesToFirstRequestOnly(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	admitting, err := gate.New(gate.Config{Listener: listener, ShouldRefuse: func() bool { return false }})
	quicktest.Assert(t, err, quicktest.IsNil)
	defer admitting.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	accepted, err := admitting.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer accepted.Close()
	admitted, ok := accepted.(*gate.Conn)
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Check(t, admitted.TakeAdmission(), quicktest.IsTrue)
	quicktest.Check(t, admitted.TakeAdmission(), quicktest.IsFalse)
}
