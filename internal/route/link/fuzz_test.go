package link_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/link"
)

// Guards against a faulty upstream: whatever bytes it sends, the client neither panics nor hangs, and treats an answer as
// complete only if net/http does when it reads the same bytes.
func FuzzAnswer(f *testing.F) {
	for _, sent := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nab",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"HTTP/1.1 503 no\r\nX-Id: b\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 102 wait\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nto the end",
		"HTTP/1.1 000 no\r\nX-Id: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length : 1\r\n\r\nabc",
		"garbage",
	} {
		f.Add([]byte(sent))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		pool := link.New(link.Config{Address: "upstream:1", MaxConnections: 1, Opened: func() {}, Dial: func(context.Context, string, string) (net.Conn, error) {
			router, upstream := net.Pipe()
			go func() {
				defer upstream.Close()
				if _, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
					_, _ = upstream.Write(sent)
				}
			}()
			return router, nil
		}})
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		matches := func(response *http.Response) bool { return response.Header.Get("X-Id") == "a" }
		outgoing := request()
		outgoing.Matches = matches
		answer, err := pool.Do(ctx, outgoing)
		if err != nil {
			quicktest.Check(t, ctx.Err(), quicktest.IsNil)
			return
		}
		defer answer.Close()
		quicktest.Check(t, matches(answer.Response), quicktest.IsTrue)
		got, err := io.ReadAll(answer)
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(sent))
		for {
			expected, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			quicktest.Assert(t, err, quicktest.IsNil)
			body, err := io.ReadAll(expected.Body)
			quicktest.Assert(t, err, quicktest.IsNil)
			if expected.StatusCode >= http.StatusOK && matches(expected) {
				quicktest.Check(t, got, quicktest.DeepEquals, body)
				return
			}
		}
	})
}
