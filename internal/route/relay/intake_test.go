package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// startLimited starts a router with one upstream and a memory budget of 1 MiB, of which large bodies can use 768 KiB.
func startLimited(t *testing.T, route table.Route, upstream upstreamHandler) (*bound.Budget, *httptest.Server) {
	t.Helper()
	router := startRouter(t, route, upstream)
	config := defaultConfig(router.table, router.board)
	config.Memory = bound.NewBudget(1 << 20)
	server := httptest.NewServer(relay.New(config))
	t.Cleanup(server.Close)
	return config.Memory, server
}

// dialServer connects and sends a head, with further header lines, and the beginning of a body.
func dialServer(t *testing.T, server *httptest.Server, timeout time.Duration, lines, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	quicktest.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	sendOn(t, conn, timeout, lines, body)
	return conn
}

func sendOn(t *testing.T, conn net.Conn, timeout time.Duration, lines, body string) {
	t.Helper()
	header := http.Header{}
	stand.SetCallerHeaders(header, "id", "key", timeout)
	var head strings.Builder
	quicktest.Assert(t, header.Write(&head), quicktest.IsNil)
	_, err := fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: host.example\r\n%s%s\r\n%s", head.String(), lines, body)
	quicktest.Assert(t, err, quicktest.IsNil)
}

// Guards against bodies that stop and keep others out, and against a refusal that is not true or has no time to return.
func TestStalledBodyYields(t *testing.T) {
	const size = 600 << 10
	length := fmt.Sprintf("Content-Length: %d\r\n", size)
	var runs []int
	budget, server := startLimited(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(writer http.ResponseWriter, request *http.Request, _ int) {
		body, err := io.ReadAll(request.Body)
		quicktest.Check(t, err, quicktest.IsNil)
		runs = append(runs, len(body))
		writeSealed(writer, http.StatusOK, "answer")
	})
	stalled := dialServer(t, server, 20*time.Second, length, strings.Repeat("x", size-1))
	var statuses []int
	for status := 0; status != http.StatusOK; statuses = append(statuses, status) {
		response, err := http.ReadResponse(bufio.NewReader(dialServer(t, server, 20*time.Second, length, strings.Repeat("y", size))), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		status = response.StatusCode
		quicktest.Assert(t, status == http.StatusOK || (status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""),
			quicktest.IsTrue, quicktest.Commentf("%v", response))
	}
	response, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, response.Close, quicktest.IsTrue)
	quicktest.Check(t, runs, quicktest.DeepEquals, []int{size}, quicktest.Commentf("%v", statuses))
	quicktest.Check(t, budget.State().Evictions, quicktest.Equals, int64(1))
	quicktest.Check(t, budget.State().Held, quicktest.Equals, [bound.KindCount]int64{})
}

// Guards against an upstream that keeps working for a caller that does not read, and an answer that then looks complete.
func TestUnreadAnswerIsCut(t *testing.T) {
	for name, kind := range map[string]table.RouteKind{"answer": table.RouteOnce, "stream": table.RouteStream} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			budget, server := startLimited(t, table.Route{Kind: kind, MaxAttempts: 1}, func(writer http.ResponseWriter, _ *http.Request, _ int) {
				defer close(ended)
				stand.Seal(writer)
				for event := 1; ; event++ {
					if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 4000)); err != nil {
						return
					}
				}
			})
			conn := dialServer(t, server, 20*time.Second, "Content-Length: 0\r\n", "")
			for !budget.EvictStalled(time.Now()) {
				time.Sleep(20 * time.Millisecond)
			}
			<-ended
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			quicktest.Assert(t, err, quicktest.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			quicktest.Check(t, err, quicktest.IsNotNil)
			for budget.State().Held != [bound.KindCount]int64{} {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
