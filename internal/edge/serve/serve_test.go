package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/edge/serve"
)

// pipes is a listener whose connections are pipes in memory, so that a test runs in virtual time.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (pipes *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-pipes.accepted:
		return conn, nil
	case <-pipes.closed:
		return nil, net.ErrClosed
	}
}

func (pipes *pipes) Close() error {
	close(pipes.closed)
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// start serves a handler and returns a function that opens a connection.
func start(t *testing.T, connections int, handler http.HandlerFunc) func() net.Conn {
	listener := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := serve.New(serve.Config{Handler: handler, MaxHeaderBytes: 4096, MaxBodyBytes: 10})
	done := make(chan error)
	go func() { done <- server.Serve(serve.LimitListener(listener, connections)) }()
	t.Cleanup(func() {
		quicktest.Check(t, server.Close(), quicktest.IsNil)
		<-done
		// net/http waits 0.5 s before it closes a connection whose request it refused.
		time.Sleep(time.Second)
	})
	return func() net.Conn {
		client, conn := net.Pipe()
		go func() {
			select {
			case listener.accepted <- conn:
			case <-listener.closed:
			}
		}()
		t.Cleanup(func() { client.Close() })
		return client
	}
}

// exchange sends a request and returns the start of the answer, or the error of the connection, and the time it took.
func exchange(conn net.Conn, request string) (string, time.Duration) {
	begin := time.Now()
	go io.WriteString(conn, request)
	status, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error(), time.Since(begin)
	}
	return strings.TrimSpace(status), time.Since(begin)
}

// Guards against a request that holds memory or a connection without limit, and against limits that cut off a request
// that only takes long.
func TestLimits(t *testing.T) {
	read := func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.ReadAll(request.Body); err != nil {
			http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		}
	}
	long := func(writer http.ResponseWriter, request *http.Request) {
		read(writer, request)
		select {
		case <-request.Context().Done():
			http.Error(writer, "cancelled", http.StatusInternalServerError)
		case <-time.After(time.Hour):
		}
	}
	post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s"
	tests := map[string]struct {
		handler http.HandlerFunc
		request string
		status  string
		after   time.Duration
	}{
		"body at the limit":   {read, fmt.Sprintf(post, 10, "0123456789"), "HTTP/1.1 200 OK", 0},
		"body too large":      {read, fmt.Sprintf(post, 11, "0123456789a"), "HTTP/1.1 413 Request Entity Too Large", 0},
		"header too large":    {read, "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 10000) + "\r\n\r\n", "HTTP/1.1 431 Request Header Fields Too Large", 0},
		"header never ends":   {read, "GET / HTTP/1.1\r\nHost: a\r\n", "EOF", 10 * time.Second},
		"body never ends":     {read, fmt.Sprintf(post, 10, "01234"), "HTTP/1.1 413 Request Entity Too Large", 30 * time.Second},
		"long with body":      {long, fmt.Sprintf(post, 2, "01"), "HTTP/1.1 200 OK", time.Hour},
		"long without body":   {long, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK", time.Hour},
		"connection not used": {read, "", "EOF", 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				status, after := exchange(start(t, 10, test.handler)(), test.request)
				quicktest.Check(t, status, quicktest.Equals, test.status)
				quicktest.Check(t, after, quicktest.Equals, test.after)
			})
		})
	}
}

// Guards against a caller that stops reading and holds the handler for good, and against an answer with pauses that is
// cut off.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := make(chan time.Duration, 1)
		open := start(t, 10, func(writer http.ResponseWriter, _ *http.Request) {
			begin := time.Now()
			for range 1000 {
				if _, err := io.WriteString(writer, "part\n"); err != nil {
					break
				}
				writer.(http.Flusher).Flush()
				time.Sleep(time.Minute)
			}
			failed <- time.Since(begin)
		})
		conn := open()
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		reader := bufio.NewReader(conn)
		for parts := 0; parts < 10; {
			line, err := reader.ReadString('\n')
			quicktest.Assert(t, err, quicktest.IsNil)
			if line == "part\n" {
				parts++
			}
		}
		// From here on the caller reads nothing. The blocked write fails after 30 s, and the handler sees it one pause later.
		held := <-failed
		quicktest.Assert(t, held <= 13*time.Minute, quicktest.IsTrue, quicktest.Commentf("held for %v", held))
	})
}

// Guards against connections without limit.
func TestConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := start(t, 1, func(http.ResponseWriter, *http.Request) {})
		status, _ := exchange(open(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		quicktest.Assert(t, status, quicktest.Equals, "HTTP/1.1 200 OK")
		second := open()
		// The first connection is closed after it has been idle for 2 min; only then the second one is served.
		status, after := exchange(second, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		quicktest.Assert(t, status, quicktest.Equals, "HTTP/1.1 200 OK")
		quicktest.Assert(t, after, quicktest.Equals, 2*time.Minute)
	})
}

// Guards against a long HTTP/2 answer with pauses that a limit cuts off.
func TestHTTP2(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := start(t, 10, func(writer http.ResponseWriter, request *http.Request) {
			io.Copy(io.Discard, request.Body)
			for range 10 {
				time.Sleep(time.Minute)
				io.WriteString(writer, "part\n")
				writer.(http.Flusher).Flush()
			}
		})
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
			return open(), nil
		}}
		defer transport.CloseIdleConnections()
		response, err := (&http.Client{Transport: transport}).Post("http://router", "text/plain", strings.NewReader("body"))
		quicktest.Assert(t, err, quicktest.IsNil)
		defer response.Body.Close()
		quicktest.Assert(t, response.ProtoMajor, quicktest.Equals, 2)
		answer, err := io.ReadAll(response.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, string(answer), quicktest.Equals, strings.Repeat("part\n", 10))
	})
}
