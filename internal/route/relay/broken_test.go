package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	soundAnswer = "id: 1\ndata: sound\n\n"
	soundHead   = "Content-Type: text/event-stream\r\n"
)

// checkBrokenAnswer checks what a caller gets if the upstream that is tried first writes a broken response: 502 if the request may run only
// once, and otherwise the answer of another upstream.
func checkBrokenAnswer(t *testing.T, method, body string, broken func(conn net.Conn, request *http.Request)) {
	t.Helper()
	for _, route := range []table.Route{
		{Kind: table.RouteOnce, MaxAttempts: 1},
		{Kind: table.RouteStream, MaxAttempts: 1},
		{Kind: table.RouteIdempotent, MaxAttempts: 2},
		{Kind: table.RouteStream, MaxAttempts: 2, Resumable: true},
	} {
		t.Run(fmt.Sprintf("%v, %d attempts", route.Kind, route.MaxAttempts), func(t *testing.T) {
			var requests atomic.Int32
			router := startRouter(t, route)
			for _, name := range []string{"u0", "u1"} {
				addNamedRawUpstream(t, router, name, func(conn net.Conn, request *http.Request) {
					if requests.Add(1) == 1 {
						broken(conn, request)
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s",
						stand.SealedHeaderLines(stand.RequestID(request.Header)), soundHead, len(soundAnswer), soundAnswer)
				})
			}
			response, answer, err := router.ask(t, method, body)
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, requests.Load(), quicktest.Equals, int32(route.MaxAttempts))
			if route.MaxAttempts == 1 {
				// The request may have run, so that 503 would be wrong.
				quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway)
				return
			}
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			quicktest.Check(t, answer, quicktest.Equals, soundAnswer)
		})
	}
}

// Guards against passing on a response whose status cannot be that of an answer, or what follows it on the connection, and against waiting
// for an answer after it.
func TestBrokenStatus(t *testing.T) {
	for _, status := range stand.BrokenStatuses() {
		responses := map[string]func(id string) string{
			"with another response as its body": func(id string) string {
				return stand.BrokenStatusResponse(status, stand.SealedHeaderLines(id)+soundHead, id)
			},
			"without a body": func(id string) string {
				return fmt.Sprintf("HTTP/1.1 %s Broken\r\n%sContent-Length: 0\r\n\r\n", status, stand.SealedHeaderLines(id))
			},
		}
		for name, response := range responses {
			t.Run(status+" "+name, func(t *testing.T) {
				checkBrokenAnswer(t, http.MethodPost, "body", func(conn net.Conn, request *http.Request) {
					_, _ = io.WriteString(conn, response(stand.RequestID(request.Header)))
					// It returns when the router closes the connection.
					_, _ = io.Copy(io.Discard, conn)
				})
			})
		}
	}
}

// Guards against passing on a response whose head the grammar forbids: the line in question, or a body that ends elsewhere than the
// upstream meant.
func TestBrokenHead(t *testing.T) {
	for name := range stand.BrokenHeads("") {
		t.Run(name, func(t *testing.T) {
			checkBrokenAnswer(t, http.MethodPost, "body", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, stand.BrokenHeads(stand.SealedHeaderLines(stand.RequestID(request.Header)))[name])
			})
		})
	}
}
