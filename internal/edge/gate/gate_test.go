package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/edge/gate"
)

// server answers with the body of each request, and counts the requests that reach it.
type server struct {
	gate     *gate.Listener
	refusing atomic.Bool
	requests atomic.Int64
	refused  atomic.Int64
}

func serve(t *testing.T, connections int) *server {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	server := &server{}
	server.gate, err = gate.New(gate.Config{
		Listener: listener, Connections: connections, Refuses: server.refusing.Load, Logger: hclog.NewNullLogger(),
		Refusal: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			server.refused.Add(1)
			writer.Header().Set("Retry-After", "0.050")
			http.Error(writer, "busy "+request.Header.Get("X-Request-Id"), http.StatusServiceUnavailable)
		}),
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	serving := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			server.requests.Add(1)
			body, err := io.ReadAll(request.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(writer, "%s", body)
		}),
	}
	go func() { _ = serving.Serve(server.gate) }()
	t.Cleanup(func() { _ = serving.Close() })
	return server
}

func (server *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", server.gate.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	quicktest.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	return conn
}

func answer(t *testing.T, conn net.Conn) (*http.Response, string) {
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

// Replays the callers of an organisation that open a connection for each request at one router, at a time when it refuses: each
// gets its answer, with the time to return and the end of the connection, and none costs a goroutine of the server. Guards against
// a router that spends all its time on refusals.
func TestRefusalsDoNotReachTheServer(t *testing.T) {
	const callers = 60
	server := serve(t, 1000)
	// One more connection than the listener waits for, so that the others are in the queue when it looks.
	busy := server.dial(t)
	var conns []net.Conn
	server.refusing.Store(true)
	for number := range callers {
		conn := server.dial(t)
		fmt.Fprint(conn, post(fmt.Sprintf("id-%d", number), "body"))
		conns = append(conns, conn)
	}
	fmt.Fprint(busy, post("first", "body"))
	for number, conn := range conns {
		response, body := answer(t, conn)
		if response.StatusCode == http.StatusOK {
			continue
		}
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Equals, "0.050")
		quicktest.Check(t, response.Close, quicktest.IsTrue)
		quicktest.Check(t, body, quicktest.Equals, fmt.Sprintf("busy id-%d\n", number))
		_, err := conn.Read(make([]byte, 1))
		quicktest.Check(t, err, quicktest.Equals, io.EOF)
	}
	answer(t, busy)
	// A connection that is accepted before its request arrives, or that Accept was waiting for, is left to the server.
	quicktest.Check(t, server.refused.Load()+server.requests.Load(), quicktest.Equals, int64(callers+1))
	quicktest.Check(t, server.refused.Load() > 0, quicktest.IsTrue)
}

// Guards against refusals that reset the connection of a caller that is still sending, and against bytes that are lost on the way
// to the server: a request that has not arrived as a whole is left to it.
func TestUnfinishedRequestsReachTheServer(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	for name, parts := range map[string][]string{
		"nothing sent":    {"", post("id", "body")},
		"half a head":     {"POST /x HTTP/1.1\r\nHo", "st: h\r\nContent-Length: 4\r\n\r\nbody"},
		"no body yet":     {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"},
		"half a body":     {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy"},
		"a chunked body":  {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""},
		"two requests":    {post("id", "body") + post("id-2", "body"), ""},
		"a long body":     {post("id", long), ""},
		"a length in two": {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Len", "gth: 4\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			server := serve(t, 1000)
			first := server.dial(t)
			fmt.Fprint(first, post("first", "one"))
			answer(t, first)
			// Accept is waiting now and takes the next connection whatever is decided; the one after it meets the decision.
			server.refusing.Store(true)
			conn := server.dial(t)
			fmt.Fprint(conn, parts[0])
			next := server.dial(t)
			fmt.Fprint(next, parts[0])
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(next, parts[1])
			response, body := answer(t, next)
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			if body != long {
				quicktest.Check(t, body, quicktest.Equals, "body")
			}
			quicktest.Check(t, server.refused.Load(), quicktest.Equals, int64(0))
		})
	}
}

// Guards against a bound on connections that refused or failed ones use up.
func TestConnectionsAreBounded(t *testing.T) {
	server := serve(t, 2)
	for range 10 {
		conn := server.dial(t)
		fmt.Fprint(conn, post("id", "body"))
		_, body := answer(t, conn)
		quicktest.Check(t, body, quicktest.Equals, "body")
		conn.Close()
	}
	one, two, three := server.dial(t), server.dial(t), server.dial(t)
	for _, conn := range []net.Conn{one, two} {
		fmt.Fprint(conn, post("id", "body"))
		answer(t, conn)
	}
	fmt.Fprint(three, post("id", "third"))
	quicktest.Assert(t, three.SetReadDeadline(time.Now().Add(100*time.Millisecond)), quicktest.IsNil)
	_, err := three.Read(make([]byte, 1))
	quicktest.Check(t, err, quicktest.IsNotNil)
	one.Close()
	quicktest.Assert(t, three.SetReadDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	_, body := answer(t, three)
	quicktest.Check(t, body, quicktest.Equals, "third")
}

// Guards against connections that wait for seconds in the queue of the kernel at a router that does not come to accept them: those
// beyond a short queue fail, so that their callers try another router, and those in it are answered.
func TestBacklogIsBounded(t *testing.T) {
	const queue = 4
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	bounded, err := gate.New(gate.Config{Listener: listener, Connections: 100, Backlog: queue})
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
		response, _ := answer(t, conn)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	}
}

// Guards against a listener that does not end while it waits for room.
func TestCloseEndsAccept(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	bounded, err := gate.New(gate.Config{Listener: listener, Connections: 1})
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

// Guards against a decision about the first request of a connection that is applied to later ones too.
func TestDecisionCountsOnce(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	deciding, err := gate.New(gate.Config{Listener: listener, Refuses: func() bool { return false }})
	quicktest.Assert(t, err, quicktest.IsNil)
	defer deciding.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	accepted, err := deciding.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer accepted.Close()
	decided, ok := accepted.(*gate.Conn)
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Check(t, decided.TakeDecision(), quicktest.Equals, gate.DecisionServed)
	quicktest.Check(t, decided.TakeDecision(), quicktest.Equals, gate.DecisionOpen)
}
