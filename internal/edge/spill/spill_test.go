package spill_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"github.com/clementinewind/clementinewind/internal/edge/spill"
)

const waitTime = 10 * time.Second

// pair is a router that hands over every request and one that takes them.
type pair struct {
	t        *testing.T
	callers  net.Listener
	sender   *spill.Sender
	receiver *spill.Receiver
	// peer is the server at which the sender connects, at an address that stays.
	peer          *http.Server
	address       string
	serving       *http.Server
	senderVersion atomic.Int64
	takerVersion  atomic.Int64
	gone          atomic.Bool
	// away are the connections between the routers.
	links chan net.Conn
	lost  atomic.Int64
}

func newPair(t *testing.T, handler http.HandlerFunc) *pair {
	t.Helper()
	pair := &pair{t: t, links: make(chan net.Conn, 16)}
	logger := hclog.NewNullLogger()
	peer, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	pair.address = peer.Addr().String()
	pair.receiver = spill.NewReceiver(spill.ReceiverConfig{
		Address: peer.Addr(), Connections: 100, Version: pair.takerVersion.Load,
		Delay: func() time.Duration { return 20 * time.Millisecond }, Logger: logger,
	})
	mux := http.NewServeMux()
	mux.Handle(spill.Path, pair.receiver)
	pair.peer = &http.Server{Handler: mux}
	go func() { _ = pair.peer.Serve(peer) }()
	pair.serving = &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Connection", "close")
			handler(writer, request)
		}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = pair.serving.Serve(pair.receiver) }()
	pair.sender = spill.NewSender(spill.SenderConfig{
		Most: 200,
		Helpers: func() []spill.Helper {
			if pair.gone.Load() {
				return nil
			}
			return []spill.Helper{{Address: pair.address, Cores: 0.2}}
		},
		Alive: func(string) bool { return !pair.gone.Load() },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				pair.links <- conn
			}
			return conn, err
		},
		Version: pair.senderVersion.Load,
		Declined: func([]byte) []byte {
			return []byte("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 8\r\n\r\ndeclined")
		},
		Lost: func([]byte) []byte {
			pair.lost.Add(1)
			return []byte("HTTP/1.1 502 Lost\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlost")
		},
		Logger: logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = pair.sender.Run(ctx)
	}()
	callers, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	quicktest.Assert(t, err, quicktest.IsNil)
	pair.callers = callers
	go func() {
		for {
			accepted, err := callers.AcceptTCP()
			if err != nil {
				return
			}
			go pair.handOver(accepted)
		}
	}()
	t.Cleanup(func() {
		_ = callers.Close()
		cancel()
		<-ended
		_ = pair.serving.Close()
		pair.receiver.Flush(time.Second)
		_ = pair.peer.Close()
	})
	// Requests are refused until the connection is open.
	pair.until("requests to be handed over", func() bool {
		_, body := pair.ask("GET /probe HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		return body != "refused"
	})
	return pair
}

type connKey struct{}

// handOver reads a request and hands it over, or refuses it.
func (pair *pair) handOver(conn *net.TCPConn) {
	defer conn.Close()
	request := make([]byte, 0, 16<<10)
	for !bytes.Contains(request, []byte("\r\n\r\n")) || !complete(request) {
		count, err := conn.Read(request[len(request):cap(request)])
		if err != nil {
			return
		}
		request = request[:len(request)+count]
	}
	file, err := conn.File()
	if err != nil {
		pair.t.Errorf("connection of a caller: %v", err)
		return
	}
	defer file.Close()
	descriptor, err := unix.Dup(int(file.Fd()))
	if err == nil {
		err = unix.SetNonblock(descriptor, true)
	}
	if err != nil {
		pair.t.Errorf("connection of a caller: %v", err)
		return
	}
	if !pair.sender.Hand(descriptor, request, func() {}) {
		_ = unix.Close(descriptor)
		fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 7\r\n\r\nrefused")
	}
}

// complete reports whether the body of a request has arrived.
func complete(received []byte) bool {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(received)))
	if err != nil {
		return false
	}
	_, err = io.ReadAll(request.Body)
	return err == nil
}

func (pair *pair) until(what string, reached func() bool) {
	pair.t.Helper()
	for deadline := time.Now().Add(waitTime); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			pair.t.Fatalf("waited %v for %s", waitTime, what)
		}
	}
}

func (pair *pair) dial() net.Conn {
	pair.t.Helper()
	conn, err := net.Dial("tcp4", pair.callers.Addr().String())
	quicktest.Assert(pair.t, err, quicktest.IsNil)
	pair.t.Cleanup(func() { conn.Close() })
	quicktest.Assert(pair.t, conn.SetDeadline(time.Now().Add(waitTime)), quicktest.IsNil)
	return conn
}

// send sends a request and returns the connection.
func (pair *pair) send(request string) net.Conn {
	pair.t.Helper()
	conn := pair.dial()
	_, err := io.WriteString(conn, request)
	quicktest.Assert(pair.t, err, quicktest.IsNil)
	return conn
}

func (pair *pair) ask(request string) (int, string) {
	pair.t.Helper()
	conn := pair.send(request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	quicktest.Assert(pair.t, err, quicktest.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	quicktest.Assert(pair.t, err, quicktest.IsNil)
	return response.StatusCode, string(body)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id%s\r\nContent-Length: %d\r\n\r\n%s", path, path, len(body), body)
}

// Guards against answers that reach another caller than the one that asked, and against connections that stay open after them:
// requests that run beside each other share one connection between the routers.
func TestAnswersReachTheirCallers(t *testing.T) {
	pair := newPair(t, func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for piece := range 4 {
			fmt.Fprintf(writer, "%s %s %s %d\n", request.URL.Path, request.Header.Get("X-Request-Id"), body, piece)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	results := make(chan error)
	const callers = 60
	for number := range callers {
		go func() {
			path, body := fmt.Sprintf("/%d", number), strings.Repeat("x", number*100)
			conn := pair.send(post(path, body))
			answer, err := io.ReadAll(conn)
			for piece := range 4 {
				if want := fmt.Sprintf("%s id%s %s %d\n", path, path, body, piece); err == nil && !strings.Contains(string(answer), want) {
					err = fmt.Errorf("answer to %s lacks %q: %q", path, want, answer)
				}
			}
			results <- err
		}()
	}
	for range callers {
		quicktest.Check(t, <-results, quicktest.IsNil)
	}
	quicktest.Check(t, len(pair.links), quicktest.Equals, 1)
	pair.until("the end of all", func() bool { return pair.sender.Len() == 0 })
}

// Guards against work for callers that have left: the router that runs it hears of it.
func TestCallerLeaves(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan bool, 1)
	pair := newPair(t, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/probe" {
			return
		}
		close(running)
		<-request.Context().Done()
		cancelled <- request.Context().Value(connKey{}).(*spill.Conn).Left()
	})
	conn := pair.send(post("/long", ""))
	<-running
	began := time.Now()
	quicktest.Assert(t, conn.Close(), quicktest.IsNil)
	quicktest.Check(t, <-cancelled, quicktest.IsTrue)
	quicktest.Check(t, time.Since(began) < 500*time.Millisecond, quicktest.IsTrue)
}

// Guards against a broken connection between routers after which a caller waits for ever, is told that its request has not run, or
// takes half an answer for a whole one.
func TestTakingRouterIsLost(t *testing.T) {
	var running atomic.Int64
	release := make(chan struct{})
	pair := newPair(t, func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/half":
			fmt.Fprint(writer, "half an answer")
			_ = http.NewResponseController(writer).Flush()
			fallthrough
		case "/none":
			running.Add(1)
			<-release
		}
	})
	defer close(release)
	half, none := pair.send(post("/half", "")), pair.send(post("/none", ""))
	pair.until("both to run", func() bool { return running.Load() == 2 })
	response, err := http.ReadResponse(bufio.NewReader(half), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, (<-pair.links).Close(), quicktest.IsNil)
	_, err = io.ReadAll(response.Body)
	quicktest.Check(t, err, quicktest.ErrorIs, syscall.ECONNRESET)
	response, err = http.ReadResponse(bufio.NewReader(none), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway)
	quicktest.Check(t, pair.lost.Load(), quicktest.Equals, int64(1))
}

// Guards against callers that wait for a router that stands still: it is not heard, but its machine still acknowledges.
func TestTakingRouterStandsStill(t *testing.T) {
	running := make(chan struct{})
	pair := newPair(t, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/none" {
			close(running)
			<-request.Context().Done()
		}
	})
	none := pair.send(post("/none", ""))
	<-running
	pair.gone.Store(true)
	response, err := http.ReadResponse(bufio.NewReader(none), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway)
}

// Guards against a router whose answers go back to an older configuration: a request is only taken by one with the same.
func TestOtherConfiguration(t *testing.T) {
	var served atomic.Int64
	pair := newPair(t, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/probe" {
			served.Add(1)
		}
	})
	for _, version := range []int64{-1, 1} {
		pair.takerVersion.Store(version)
		status, body := pair.ask(post("/x", ""))
		quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, body, quicktest.Equals, "declined")
		time.Sleep(150 * time.Millisecond)
	}
	quicktest.Check(t, served.Load(), quicktest.Equals, int64(0))
	pair.senderVersion.Store(1)
	status, _ := pair.ask(post("/x", ""))
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
}

// Guards against requests that a stopping router takes and does not serve, and against answers that it makes and does not send.
func TestTakingRouterStops(t *testing.T) {
	running := make(chan struct{})
	pair := newPair(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/running" {
			close(running)
			time.Sleep(300 * time.Millisecond)
		}
		fmt.Fprint(writer, "answer")
	})
	conn := pair.send(post("/running", ""))
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- pair.serving.Shutdown(context.Background()) }()
	pair.until("the listener to close", func() bool {
		_, body := pair.ask(post("/late", ""))
		return body == "declined"
	})
	quicktest.Check(t, <-stopped, quicktest.IsNil)
	pair.receiver.Flush(time.Second)
	answer, err := io.ReadAll(conn)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, string(answer), quicktest.Contains, "answer")
}

// Guards against a caller that does not read, and against the loss of what one reads late.
func TestSlowCaller(t *testing.T) {
	const size = 12 << 20
	ended := make(chan error, 2)
	pair := newPair(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/probe" {
			return
		}
		writer.Header().Set("Content-Length", fmt.Sprint(size))
		var err error
		for sent := 0; sent < size && err == nil; sent += 1 << 10 {
			_, err = writer.Write(make([]byte, 1<<10))
		}
		ended <- err
	})
	never := pair.send(post("/never", ""))
	quicktest.Check(t, <-ended, quicktest.IsNotNil)
	quicktest.Assert(t, never.Close(), quicktest.IsNil)
	late := pair.send(post("/late", ""))
	time.Sleep(100 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	count, err := io.Copy(io.Discard, response.Body)
	// It is whole or an error, never short.
	quicktest.Check(t, count == size || err != nil, quicktest.IsTrue, quicktest.Commentf("%d bytes, %v", count, err))
}

// Guards against requests whose broken answers would look complete.
func TestOldProtocol(t *testing.T) {
	pair := newPair(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "taken") })
	status, body := pair.ask("POST /x HTTP/1.0\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, body, quicktest.Equals, "refused")
}
