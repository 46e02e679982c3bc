package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/route/link"
)

// startServer starts a server that passes each connection and its index to handle. It returns a pool for the server and the
// number of connections that the pool has opened.
func startServer(t *testing.T, handle func(conn net.Conn, number int)) (*link.Pool, *int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, number)
			}()
		}
	}()
	opened := new(int)
	pool := link.New(link.Config{
		Address: listener.Addr().String(), Dial: new(net.Dialer).DialContext, MaxConnections: 2, Opened: func() { *opened++ },
	})
	t.Cleanup(pool.Close)
	return pool, opened
}

func request() link.Request {
	return link.Request{Method: http.MethodPost, Target: "/x?y=%2F", Host: "h", Header: http.Header{}, MaxIdle: link.DefaultMaxIdle}
}

func ask(t *testing.T, pool *link.Pool) (string, error) {
	t.Helper()
	answer, err := pool.Do(t.Context(), request())
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// answerOK answers each request with 200, an extra header line and Content-Length.
func answerOK(extra string) func(conn net.Conn, number int) {
	return func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			received, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, received.Body); err != nil {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", extra)
		}
	}
}

func TestReuse(t *testing.T) {
	tests := map[string]struct {
		extra  string
		opened int
	}{
		"kept":              {"", 1},
		"close":             {"Connection: close\r\n", 3},
		"timeout announced": {"Keep-Alive: timeout=5\r\n", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool, opened := startServer(t, answerOK(test.extra))
			for range 3 {
				body, err := ask(t, pool)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, body, quicktest.Equals, "ok")
			}
			quicktest.Check(t, *opened, quicktest.Equals, test.opened)
		})
	}
}

// Guards against a duplicate answer on an idle connection being taken for the answer to the next request.
func TestUnexpectedBytesCloseConnection(t *testing.T) {
	pool, opened := startServer(t, func(conn net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		fmt.Fprint(conn, answer)
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(conn, answer)
		time.Sleep(time.Second)
	})
	for range 2 {
		body, err := ask(t, pool)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, body, quicktest.Equals, "ok")
		time.Sleep(30 * time.Millisecond)
	}
	quicktest.Check(t, *opened, quicktest.Equals, 2)
}

func TestBodyDelimiters(t *testing.T) {
	tests := map[string]struct {
		answer string
		body   string
		broken bool
	}{
		"length":              {"Content-Length: 2\r\n\r\nok", "ok", false},
		"chunks":              {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false},
		"end of connection":   {"\r\nok", "ok", false},
		"length cut":          {"Content-Length: 5\r\n\r\nok", "ok", true},
		"chunks cut":          {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", true},
		"informational first": {"Content-Length: 0\r\n\r\n", "", false},
		// Trailers are not passed on.
		"trailer with a blank in its name":        {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n", "ok", false},
		"trailer with a control byte in its name": {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nNa\x01me: x\r\n\r\n", "ok", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool, _ := startServer(t, func(conn net.Conn, _ int) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				if strings.HasPrefix(name, "informational") {
					fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+test.answer)
			})
			body, err := ask(t, pool)
			quicktest.Check(t, err != nil, quicktest.Equals, test.broken, quicktest.Commentf("%v", err))
			quicktest.Check(t, body, quicktest.Equals, test.body)
		})
	}
}

// Guards against errors that misreport whether the request was sent: the caller must not get 503 for a request that may have
// run, nor 502 for one that was never sent.
func TestMaybeSent(t *testing.T) {
	pool, _ := startServer(t, func(conn net.Conn, _ int) { _, _ = http.ReadRequest(bufio.NewReader(conn)) })
	_, err := ask(t, pool)
	quicktest.Check(t, link.MaybeSent(err), quicktest.IsTrue, quicktest.Commentf("%v", err))
	closed := link.New(link.Config{Address: "127.0.0.1:1", Dial: new(net.Dialer).DialContext, MaxConnections: 1})
	_, err = ask(t, closed)
	quicktest.Check(t, link.MaybeSent(err), quicktest.IsFalse, quicktest.Commentf("%v", err))
	closed.Close()
	_, err = ask(t, closed)
	quicktest.Check(t, errors.Is(err, link.ErrPoolClosed), quicktest.IsTrue)
}

func TestConnectionLimit(t *testing.T) {
	pool, _ := startServer(t, answerOK(""))
	for range 2 {
		answer, err := pool.Do(t.Context(), request())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer answer.Close()
	}
	_, err := ask(t, pool)
	quicktest.Check(t, errors.Is(err, link.ErrPoolExhausted), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// Guards against reusing a connection on which the upstream answered before it had read the whole body: the next request would
// be read as the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	pool, opened := startServer(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Second)
	})
	for range 2 {
		outgoing := request()
		outgoing.Body = [][]byte{make([]byte, 8<<20)}
		answer, err := pool.Do(t.Context(), outgoing)
		quicktest.Assert(t, err, quicktest.IsNil)
		body, err := io.ReadAll(answer)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(body), quicktest.Equals, "ok")
		answer.Close()
	}
	quicktest.Check(t, *opened, quicktest.Equals, 2)
}

// Guards against the upstream working on after the caller has cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	pool, _ := startServer(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		// The read returns when the connection is closed.
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, request())
	quicktest.Check(t, errors.Is(err, context.DeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("%v", err))
	<-closed
}

// Guards against sending a request that was cancelled before.
func TestCanceledBeforeSending(t *testing.T) {
	connClosed := make(chan struct{}, 1)
	pool, _ := startServer(t, func(conn net.Conn, _ int) {
		answerOK("")(conn, 0)
		connClosed <- struct{}{}
	})
	_, err := ask(t, pool)
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Do(ctx, request())
	quicktest.Check(t, link.MaybeSent(err), quicktest.IsFalse, quicktest.Commentf("%v", err))
	// The connection is unused and can be reused.
	body, err := ask(t, pool)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, body, quicktest.Equals, "ok")
	quicktest.Check(t, connClosed, quicktest.HasLen, 0)
}
