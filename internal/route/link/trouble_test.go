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

// Guards against an upstream in trouble that sends bytes without end where the head of an answer is due: the router would
// hold all of them in memory until the deadline of the request.
func TestEndlessHead(t *testing.T) {
	tests := stand.EndlessHeads()
	tests["an answer to another, no end"] = stand.EndlessResponse{Start: "HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\n", Piece: "noise"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			pool, _ := serve(t, func(conn net.Conn, _ int) {
				defer close(ended)
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				stand.WriteEndless(conn, test.Start, test.Piece, &written)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			asked := request()
			asked.Mine = func(response *http.Response) bool { return response.Header.Get("X-Other") == "" }
			_, err := pool.Do(ctx, asked)
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil)
			// The work may have run.
			quicktest.Check(t, link.Sent(err), quicktest.IsTrue)
			<-ended
			// What was read, and what the sockets of both sides hold.
			quicktest.Check(t, written.Load() < 32<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", written.Load()))
		})
	}
}

// Guards against a refusal of an earlier request, sent a second time and late, that is taken for the answer to the request
// that uses the connection now: its caller would be told that work has not run which runs.
func TestLateRefusalOnReusedConnection(t *testing.T) {
	pool, _ := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if number > 0 {
				fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Unnamed: 1\r\nContent-Length: 0\r\n\r\n")
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Name: %d\r\nContent-Length: 2\r\n\r\nok", number)
		}
	})
	for number := range 2 {
		asked := request()
		asked.Mine = func(response *http.Response) bool { return response.Header.Get("X-Name") == fmt.Sprint(number) }
		asked.Unnamed = func(response *http.Response) bool { return response.Header.Get("X-Unnamed") != "" }
		answer, err := pool.Do(t.Context(), asked)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, answer.Response.StatusCode, quicktest.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, answer)
		quicktest.Check(t, err, quicktest.IsNil)
		answer.Close()
	}
}

// Guards against a refusal without an identifier that is skipped on a new connection, where it can belong to no other request.
func TestUnnamedRefusalOnNewConnection(t *testing.T) {
	pool, _ := serve(t, func(conn net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Unnamed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	asked := request()
	asked.Mine = func(*http.Response) bool { return false }
	asked.Unnamed = func(response *http.Response) bool { return response.Header.Get("X-Unnamed") != "" }
	answer, err := pool.Do(t.Context(), asked)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer answer.Close()
	quicktest.Check(t, answer.Response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
}

// Guards against a permission that ran out while the connection was opened or the process was paused: the request is not
// sent, and the connection stays usable.
func TestPermissionIsCheckedLast(t *testing.T) {
	var reached atomic.Int64
	pool, _ := serve(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			reached.Add(1)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	asked := request()
	asked.Permitted = func() bool { return false }
	_, err := pool.Do(t.Context(), asked)
	quicktest.Assert(t, err, quicktest.ErrorIs, link.ErrExpired)
	quicktest.Check(t, link.Sent(err), quicktest.IsFalse)
	_, err = ask(t, pool)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, reached.Load(), quicktest.Equals, int64(1))
}

// Guards against a closed connection that is taken for an open one, and against one with unread bytes that is taken for closed.
func TestClosed(t *testing.T) {
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
			t.Fatal("a closed connection counts as open")
		}
	}
}
