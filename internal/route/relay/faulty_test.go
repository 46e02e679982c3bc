package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against an earlier refusal that a faulty upstream sends again on a kept connection, and that is taken for the answer to the
// next request, which the upstream runs.
func TestRepeatedRefusal(t *testing.T) {
	tests := map[string]struct {
		ids      [2]string
		repeated string
		// fresh is set if the next request may be sent on another connection.
		fresh bool
	}{
		"with its identifier":                 {[2]string{"one", "two"}, "one", false},
		"without an identifier":               {[2]string{"one", "two"}, "", false},
		"requests without identifiers":        {[2]string{"", ""}, "", true},
		"the next request has no identifier":  {[2]string{"one", ""}, "", true},
		"the first request has no identifier": {[2]string{"", "two"}, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var runs, repeats atomic.Int32
			router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			t.Cleanup(func() { listener.Close() })
			go stand.ServeConns(listener, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for number := 0; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					runs.Add(1)
					if number > 0 {
						repeats.Add(1)
						io.WriteString(conn, stand.DeclinedResponse(test.repeated))
					}
					io.WriteString(conn, stand.SealedResponse(stand.RequestID(request.Header), "ok"))
				}
			})
			router.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String()}, time.Now())
			var statuses []int
			for _, id := range test.ids {
				request, err := http.NewRequest(http.MethodGet, router.server.URL+"/p/x", nil)
				quicktest.Assert(t, err, quicktest.IsNil)
				request.Host = "host.example"
				stand.SetCallerHeaders(request.Header, id, "key", 2*time.Second)
				if id == "" {
					stand.RemoveRequestID(request.Header)
				}
				response, err := http.DefaultClient.Do(request)
				quicktest.Assert(t, err, quicktest.IsNil)
				_, err = io.Copy(io.Discard, response.Body)
				quicktest.Check(t, err, quicktest.IsNil)
				response.Body.Close()
				statuses = append(statuses, response.StatusCode)
			}
			quicktest.Check(t, statuses, quicktest.DeepEquals, []int{http.StatusOK, http.StatusOK})
			quicktest.Check(t, runs.Load(), quicktest.Equals, int32(2))
			quicktest.Check(t, repeats.Load() == 1 || test.fresh, quicktest.IsTrue)
		})
	}
}

// Guards against an error of a second upstream, its head or a stream from another position in the middle of the caller's stream, and
// against a stream that then ends as if it were complete.
func TestFailedResumptionIsNotForwarded(t *testing.T) {
	const begun = "id: 1\ndata: token\n\n"
	sealed := func(status, header, body string) func(id string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, stand.SealedHeaderLines(id), header, len(body), body)
		}
	}
	tests := map[string]func(id string) string{
		"sealed error":         sealed("500 Internal Server Error", "", "out of memory\n\n"),
		"sealed client error":  sealed("400 Bad Request", "", "id: 9\ndata: bad\n\n"),
		"success of no stream": sealed("200 OK", "Content-Type: text/plain\r\n", "out of memory\n\n"),
		"no content":           func(id string) string { return "HTTP/1.1 204 No Content\r\n" + stand.SealedHeaderLines(id) + "\r\n" },
		"declined":             stand.DeclinedResponse,
		"not sealed":           func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\noops" },
		"no response":          func(string) string { return "out of memory\n\n" },
		"two heads": func(id string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + sealed("500 Oops", "", "oops\n\n")(id)
		},
		"from the start":     sealed("200 OK", "Content-Type: text/event-stream\r\n", begun+"id: 2\ndata: token\n\n"),
		"events without ids": sealed("200 OK", "Content-Type: text/event-stream\r\n", "event: error\ndata: out of memory\n\n"),
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			router := startRouter(t, table.Route{Kind: table.RouteStream, Resumable: true, MaxAttempts: 2})
			for _, upstream := range []string{"u0", "u1"} {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				quicktest.Assert(t, err, quicktest.IsNil)
				t.Cleanup(func() { listener.Close() })
				go stand.ServeConns(listener, func(conn net.Conn) {
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					id := stand.RequestID(request.Header)
					if requests.Add(1) == 1 {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nContent-Length: 600\r\n\r\n%sid: 2\nda",
							stand.SealedHeaderLines(id), begun)
						return
					}
					io.WriteString(conn, second(id))
				})
				router.board.Set(table.Entry{Upstream: clementinewind.Upstream(upstream), Service: "service", Address: listener.Addr().String()}, time.Now())
			}
			response, body, err := router.ask(t, http.MethodGet, "")
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			quicktest.Check(t, body, quicktest.Equals, begun)
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, requests.Load() >= 2, quicktest.IsTrue)
		})
	}
}

// Guards against a success with an empty or short body when an upstream closes the connection within the head of its answer.
func TestHeadCutOff(t *testing.T) {
	heads := map[string]string{
		"length":        "Content-Length: 2\r\n",
		"chunks":        "Transfer-Encoding: chunked\r\n",
		"neither":       "",
		"closing":       "Connection: close\r\n",
		"after interim": "",
	}
	for name, framing := range heads {
		for _, kind := range []table.RouteKind{table.RouteOnce, table.RouteStream} {
			for _, method := range []string{http.MethodGet, http.MethodHead} {
				t.Run(fmt.Sprintf("%s, %v, %s", name, kind, method), func(t *testing.T) {
					router := startRouter(t, table.Route{Kind: kind, MaxAttempts: 1, LatencyGoal: time.Second})
					var cut atomic.Int64
					whole := make(chan int, 1)
					addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
						head := "HTTP/1.1 200 OK\r\n" + stand.SealedHeaderLines(stand.RequestID(request.Header)) + framing + "\r\n"
						if name == "after interim" {
							head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head
						}
						select {
						case whole <- len(head):
						default:
						}
						_, _ = io.WriteString(conn, head[:min(int(cut.Load()), len(head)-1)])
					})
					for size := 1; cut.Load() < int64(size); cut.Add(1) {
						response, err := router.send(t, method, "", 2*time.Second)
						quicktest.Assert(t, err, quicktest.IsNil)
						response.Body.Close()
						quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway, quicktest.Commentf("cut after %d bytes", cut.Load()))
						if cut.Load() == 0 {
							size = <-whole
						}
					}
				})
			}
		}
	}
}
