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

// serve accepts connections and handles each with a function.
func serve(t *testing.T, handle func(conn net.Conn, number int)) (*link.Pool, *int) {
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
		Address: listener.Addr().String(), Dial: new(net.Dialer).DialContext, Connections: 2, Opened: func() { *opened++ },
	})
	t.Cleanup(pool.Retire)
	return pool, opened
}

func request() link.Request {
	return link.Request{Method: http.MethodPost, Target: "/x?y=%2F", Host: "h", Header: http.Header{}, MaxIdle: link.DefaultIdle}
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

// echo answers each request on a connection with a length and an extra header.
func echo(extra string) func(conn net.Conn, number int) {
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
		"kept":            {"", 1},
		"close":           {"Connection: close\r\n", 3},
		"timeout is told": {"Keep-Alive: timeout=5\r\n", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool, opened := serve(t, echo(test.extra))
			for range 3 {
				body, err := ask(t, pool)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, body, quicktest.Equals, "ok")
			}
			quicktest.Check(t, *opened, quicktest.Equals, test.opened)
		})
	}
}

// Guards against a second answer on a kept connection that is taken for the answer to the next request.
func TestStrayBytesCloseTheConnection(t *testing.T) {
	pool, opened := serve(t, func(conn net.Conn, _ int) {
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

func TestEnds(t *testing.T) {
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
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool, _ := serve(t, func(conn net.Conn, _ int) {
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

// Guards against 503 for a request that may have run, and against 502 for one that was never sent.
func TestSent(t *testing.T) {
	pool, _ := serve(t, func(conn net.Conn, _ int) { _, _ = http.ReadRequest(bufio.NewReader(conn)) })
	_, err := ask(t, pool)
	quicktest.Check(t, link.Sent(err), quicktest.IsTrue, quicktest.Commentf("%v", err))
	closed := link.New(link.Config{Address: "127.0.0.1:1", Dial: new(net.Dialer).DialContext, Connections: 1})
	_, err = ask(t, closed)
	quicktest.Check(t, link.Sent(err), quicktest.IsFalse, quicktest.Commentf("%v", err))
	closed.Retire()
	_, err = ask(t, closed)
	quicktest.Check(t, errors.Is(err, link.ErrRetired), quicktest.IsTrue)
}

func TestLimit(t *testing.T) {
	pool, _ := serve(t, echo(""))
	for range 2 {
		answer, err := pool.Do(t.Context(), request())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer answer.Close()
	}
	_, err := ask(t, pool)
	quicktest.Check(t, errors.Is(err, link.ErrBusy), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// Guards against an upstream that answers before it has read a long body: what it still reads must be the rest of that body
// and not the next request.
func TestEarlyAnswer(t *testing.T) {
	pool, opened := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Second)
	})
	for range 2 {
		long := request()
		long.Body = make([]byte, 8<<20)
		answer, err := pool.Do(t.Context(), long)
		quicktest.Assert(t, err, quicktest.IsNil)
		body, err := io.ReadAll(answer)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(body), quicktest.Equals, "ok")
		answer.Close()
	}
	quicktest.Check(t, *opened, quicktest.Equals, 2)
}

// Guards against work that goes on at the upstream after the caller left.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	pool, _ := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		// The end of the connection ends the read.
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, request())
	quicktest.Check(t, errors.Is(err, context.DeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("%v", err))
	<-closed
}

// Guards against a request that is sent on after its caller left.
func TestCanceledBeforeSending(t *testing.T) {
	reached := make(chan struct{}, 1)
	pool, _ := serve(t, func(conn net.Conn, _ int) {
		echo("")(conn, 0)
		reached <- struct{}{}
	})
	_, err := ask(t, pool)
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Do(ctx, request())
	quicktest.Check(t, link.Sent(err), quicktest.IsFalse, quicktest.Commentf("%v", err))
	// The connection was not used and serves the next request.
	body, err := ask(t, pool)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, body, quicktest.Equals, "ok")
	quicktest.Check(t, reached, quicktest.HasLen, 0)
}
