package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against reports of load that are lost because the answer is not a success, and against those that say nothing of the upstream.
func TestReportsOfAllAnswersCount(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	load := stand.LoadHeaderLine("5,2,6,250")
	tests := map[string]struct {
		answer func(id string) string
		facts  int
	}{
		"success":            {func(id string) string { return "HTTP/1.1 200 OK\r\n" + load + stand.SealedHeaderLines(id) + empty }, 1},
		"error":              {func(id string) string { return "HTTP/1.1 500 Oops\r\n" + load + stand.SealedHeaderLines(id) + empty }, 1},
		"refusal":            {func(id string) string { return "HTTP/1.1 503 Full\r\n" + load + stand.DeclinedHeaderLines(id) + empty }, 1},
		"of another request": {func(string) string { return "HTTP/1.1 200 OK\r\n" + load + stand.SealedHeaderLines("other") + empty }, 0},
		"of another upstream at the address": {func(id string) string {
			return "HTTP/1.1 421 Misdirected\r\n" + load + stand.MisdirectedHeaderLines(id, "another") + empty
		}, 0},
		"malformed": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + stand.LoadHeaderLine("5,2") + stand.SealedHeaderLines(id) + empty
		}, 0},
		"none": {func(id string) string { return "HTTP/1.1 200 OK\r\n" + stand.SealedHeaderLines(id) + empty }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := startRouter(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 1, LatencyGoal: time.Second})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			t.Cleanup(func() { listener.Close() })
			go stand.ServeConns(listener, func(conn net.Conn) {
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, test.answer(stand.RequestID(request.Header)))
				}
			})
			router.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String(), Incarnation: 1}, time.Now())
			router.ask(t, http.MethodGet, "")
			facts := router.board.TakeFacts(10, time.Now())
			quicktest.Assert(t, facts, quicktest.HasLen, test.facts)
			for _, fact := range facts {
				quicktest.Check(t, fact.Report.Running, quicktest.Equals, 5)
				quicktest.Check(t, fact.Report.Waiting, quicktest.Equals, 2)
				quicktest.Check(t, fact.Report.Pace, quicktest.Equals, 2.5)
			}
		})
	}
}
