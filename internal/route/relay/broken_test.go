package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	soundAnswer = "id: 2\ndata: sound\n\n"
	soundHead   = "Content-Type: text/event-stream\r\n"
	chunkedBody = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
)

// checkBrokenAnswer checks what a caller gets if the upstream that is tried first writes a broken response: 502 if the request may run only
// once, and otherwise the answer of another upstream. Streams begin with the events that the broken response holds, if any, and break off
// after them if they cannot be resumed.
func checkBrokenAnswer(t *testing.T, body, events string, broken func(conn net.Conn, request *http.Request)) {
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
			response, answer, err := router.ask(t, http.MethodPost, body)
			quicktest.Check(t, requests.Load(), quicktest.Equals, int32(route.MaxAttempts))
			begun := ""
			if route.Kind == table.RouteStream {
				begun = events
			}
			switch {
			case route.MaxAttempts > 1:
				quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
				quicktest.Check(t, answer, quicktest.Equals, begun+soundAnswer)
				quicktest.Check(t, err, quicktest.IsNil)
			case begun != "":
				quicktest.Check(t, answer, quicktest.Equals, begun)
				quicktest.Check(t, err, quicktest.IsNotNil)
			default:
				// The request may have run, so that 503 would be wrong.
				quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway)
			}
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
				checkBrokenAnswer(t, "body", "", func(conn net.Conn, request *http.Request) {
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
	for name := range stand.BrokenHeads("", "") {
		t.Run(name, func(t *testing.T) {
			checkBrokenAnswer(t, "body", "", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, stand.BrokenHeads(stand.SealedHeaderLines(stand.RequestID(request.Header)), chunkedBody)[name])
			})
		})
	}
}

// Guards against taking the part of a body that arrived for the whole one, where only the end of the connection ends it and the upstream
// has not received the whole request.
func TestAnswerEndsDuringUpload(t *testing.T) {
	const part = "id: 1\ndata: part\n\n"
	ends := map[string]func(t *testing.T, conn *net.TCPConn){
		"reset": func(t *testing.T, conn *net.TCPConn) {
			quicktest.Check(t, conn.SetLinger(0), quicktest.IsNil)
		},
		"closed": func(*testing.T, *net.TCPConn) {},
		"sending side closed": func(t *testing.T, conn *net.TCPConn) {
			quicktest.Check(t, conn.CloseWrite(), quicktest.IsNil)
			time.Sleep(100 * time.Millisecond)
		},
	}
	// Of the smaller body, all that the upstream does not read fits into the buffers of the router's socket.
	for _, size := range []int{512 << 10, 4 << 20} {
		for name, end := range ends {
			t.Run(fmt.Sprintf("%s after a part of %d KiB", name, size>>10), func(t *testing.T) {
				// Whether reader or writer learns of a reset first differs.
				for range 5 {
					checkBrokenAnswer(t, strings.Repeat("x", size), part, func(conn net.Conn, request *http.Request) {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", stand.SealedHeaderLines(stand.RequestID(request.Header)), soundHead, part)
						// The router reads the part before the connection ends.
						time.Sleep(10 * time.Millisecond)
						end(t, conn.(*net.TCPConn))
					})
				}
			})
		}
	}
}

// Guards against taking a whole answer for a part: one whose length is known although the upstream does not read the request, and one
// that ends with its connection after the upstream has read the request.
func TestAnswerToUploadArrives(t *testing.T) {
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(soundAnswer), soundAnswer)
	tests := map[string]struct {
		readsRequest           bool
		version, framing, body string
	}{
		"length, before the request":     {false, "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", len(soundAnswer)), soundAnswer},
		"chunks, before the request":     {false, "HTTP/1.1", "Transfer-Encoding: chunked\r\n", chunked},
		"neither, after the request":     {true, "HTTP/1.1", "", soundAnswer},
		"closing, after the request":     {true, "HTTP/1.1", "Connection: close\r\n", soundAnswer},
		"version 1.0, after the request": {true, "HTTP/1.0", "", soundAnswer},
	}
	for name, test := range tests {
		for _, kind := range []table.RouteKind{table.RouteOnce, table.RouteIdempotent, table.RouteStream} {
			for _, size := range []int{1, 32 << 10, 4 << 20} {
				t.Run(fmt.Sprintf("%s of %d bytes, %v", name, size, kind), func(t *testing.T) {
					router := startRouter(t, table.Route{Kind: kind, MaxAttempts: 1})
					addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
						if test.readsRequest {
							_, _ = io.Copy(io.Discard, request.Body)
						}
						fmt.Fprintf(conn, "%s 200 OK\r\n%s%s%s\r\n%s",
							test.version, stand.SealedHeaderLines(stand.RequestID(request.Header)), soundHead, test.framing, test.body)
						if !test.readsRequest {
							// The router reads the answer before the connection is reset.
							time.Sleep(10 * time.Millisecond)
						}
					})
					response, answer, err := router.ask(t, http.MethodPost, strings.Repeat("x", size))
					quicktest.Check(t, err, quicktest.IsNil)
					quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
					quicktest.Check(t, answer, quicktest.Equals, soundAnswer)
				})
			}
		}
	}
}
