package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against an endless response header from a faulty upstream, which would be buffered in memory until the deadline.
func TestEndlessHeader(t *testing.T) {
	tests := stand.EndlessHeads()
	tests["an endless answer to another request"] = stand.EndlessResponse{Start: "HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n", Piece: "noise"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			pool, _ := startServer(t, func(conn net.Conn, _ int) {
				defer close(ended)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				stand.WriteEndless(conn, test.Start, test.Piece, &written)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			outgoing := request()
			outgoing.Matches = func(response *http.Response) bool { return response.Header.Get("X-Other") == "" }
			_, err := pool.Do(ctx, outgoing)
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil)
			// The request may have run.
			quicktest.Check(t, link.MaybeSent(err), quicktest.IsTrue)
			<-ended
			// The limit allows for the bytes in the socket buffers of both sides.
			quicktest.Check(t, written.Load() < 32<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", written.Load()))
		})
	}
}

// Guards against a late duplicate of a refusal being taken for the answer to the next request on a reused connection: its
// caller would be told that the request did not run although it is running.
func TestLateRefusalOnReusedConnection(t *testing.T) {
	pool, _ := startServer(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if number > 0 {
				fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-No-Id: 1\r\nContent-Length: 0\r\n\r\n")
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: 2\r\n\r\nok", number)
		}
	})
	for number := range 2 {
		outgoing := request()
		outgoing.Matches = func(response *http.Response) bool { return response.Header.Get("X-Id") == fmt.Sprint(number) }
		outgoing.MatchesWithoutID = func(response *http.Response) bool { return response.Header.Get("X-No-Id") != "" }
		answer, err := pool.Do(t.Context(), outgoing)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, answer.Response.StatusCode, quicktest.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, answer)
		quicktest.Check(t, err, quicktest.IsNil)
		answer.Close()
	}
}

// Guards against skipping a refusal without a request ID on a new connection, where it can only belong to this request.
func TestUnidentifiedRefusalOnNewConnection(t *testing.T) {
	pool, _ := startServer(t, func(conn net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-No-Id: 1\r\nContent-Length: 0\r\n\r\n")
	})
	outgoing := request()
	outgoing.Matches = func(*http.Response) bool { return false }
	outgoing.MatchesWithoutID = func(response *http.Response) bool { return response.Header.Get("X-No-Id") != "" }
	answer, err := pool.Do(t.Context(), outgoing)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer answer.Close()
	quicktest.Check(t, answer.Response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
}

// Guards against sending a request that became invalid while the connection was opened or the process was paused. The
// connection must stay usable.
func TestPermissionIsCheckedLast(t *testing.T) {
	var reached atomic.Int64
	pool, _ := startServer(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			reached.Add(1)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	outgoing := request()
	outgoing.Permitted = func() bool { return false }
	_, err := pool.Do(t.Context(), outgoing)
	quicktest.Assert(t, err, quicktest.ErrorIs, link.ErrNotPermitted)
	quicktest.Check(t, link.MaybeSent(err), quicktest.IsFalse)
	_, err = ask(t, pool)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, reached.Load(), quicktest.Equals, int64(1))
}

// Guards against taking a closed connection for open, and one with unread bytes for closed.
func TestClosedByPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	ours, err := net.Dial("tcp", listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer ours.Close()
	theirs, err := listener.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, link.ClosedByPeer(ours), quicktest.IsFalse)
	fmt.Fprint(theirs, "bytes")
	_, err = ours.Read(make([]byte, 1))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, link.ClosedByPeer(ours), quicktest.IsFalse)
	_, err = io.ReadFull(ours, make([]byte, 4))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, theirs.Close(), quicktest.IsNil)
	for end := time.Now().Add(10 * time.Second); !link.ClosedByPeer(ours); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("closed connection is still reported as open")
		}
	}
}
