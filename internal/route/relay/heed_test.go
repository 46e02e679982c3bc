package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against requests to an upstream whose answer said that it is leaving: any answer counts, also an error, a refusal, one to
// another request, and one that breaks off, but not one whose head is broken.
func TestUpstreamThatSaysItLeaves(t *testing.T) {
	leaving := stand.LeavingHeaderLine("1")
	tests := map[string]struct {
		answer func(id string) string
		counts bool
	}{
		"success": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + leaving + stand.SealedHeaderLines(id) + "Content-Length: 2\r\n\r\nok"
		}, true},
		"error": {func(id string) string {
			return "HTTP/1.1 500 Oops\r\n" + leaving + stand.SealedHeaderLines(id) + "Content-Length: 0\r\n\r\n"
		}, true},
		"refusal": {func(id string) string {
			return "HTTP/1.1 503 Full\r\n" + leaving + stand.DeclinedHeaderLines(id) + "Content-Length: 0\r\n\r\n"
		}, true},
		"interrupted": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + leaving + stand.SealedHeaderLines(id) + "Content-Length: 20\r\n\r\nok"
		}, true},
		"of another request": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + leaving + stand.SealedHeaderLines("other") + "Content-Length: 2\r\n\r\nno" + stand.SealedResponse(id, "ok")
		}, true},
		"of another upstream at the address": {func(id string) string {
			return "HTTP/1.1 421 Misdirected\r\n" + leaving + stand.MisdirectedHeaderLines(id, "another") + "Content-Length: 0\r\n\r\n"
		}, false},
		"broken head": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + leaving + "Bad Name: x\r\n" + stand.SealedHeaderLines(id) + "Content-Length: 2\r\n\r\nok"
		}, false},
		"broken status": {func(id string) string {
			return "HTTP/1.1 000 Oops\r\n" + leaving + stand.SealedHeaderLines(id) + "Content-Length: 0\r\n\r\n"
		}, false},
		"not leaving": {func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + stand.LeavingHeaderLine("0") + stand.SealedHeaderLines(id) + "Content-Length: 2\r\n\r\nok"
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			router := startRouter(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 1, LatencyGoal: time.Second})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			t.Cleanup(func() { listener.Close() })
			go stand.ServeConns(listener, func(conn net.Conn) {
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					requests.Add(1)
					io.WriteString(conn, test.answer(stand.RequestID(request.Header)))
				}
			})
			router.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String(), Incarnation: 1}, time.Now())
			for range 3 {
				response, _, _ := router.ask(t, http.MethodGet, "")
				quicktest.Check(t, response != nil, quicktest.IsTrue)
				// Longer than an upstream that declined a request is avoided.
				time.Sleep(60 * time.Millisecond)
			}
			want := int32(3)
			if test.counts {
				want = 1
			}
			quicktest.Check(t, requests.Load(), quicktest.Equals, want)
		})
	}
}

// Guards against requests to an upstream within the time for which it wants none: under load, over kept connections, at most two may
// still arrive half a second after the refusal. A caller is told at once when to return.
func TestOverloadedUpstreamIsLeftAlone(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var mutex sync.Mutex
	var arrivals []time.Time
	var declinedAt time.Time
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1, LatencyGoal: time.Second}, func(writer http.ResponseWriter, _ *http.Request, number int) {
		mutex.Lock()
		arrivals = append(arrivals, time.Now())
		decline := number == 20
		if decline {
			declinedAt = time.Now()
		}
		mutex.Unlock()
		if decline {
			stand.DeclineFor(writer, fmt.Sprint(pause.Seconds()))
			return
		}
		time.Sleep(5 * time.Millisecond)
		writeSealed(writer, http.StatusOK, "ok")
	})
	var callers sync.WaitGroup
	var refused, served atomic.Int32
	start := time.Now()
	for range 4 {
		callers.Go(func() {
			for time.Since(start) < 3*time.Second {
				sent := time.Now()
				response, _, err := router.ask(t, http.MethodGet, "")
				if err != nil || response.StatusCode == http.StatusOK {
					served.Add(1)
					continue
				}
				if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && time.Since(sent) < 200*time.Millisecond {
					refused.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	within, after := 0, 0
	for _, arrival := range arrivals {
		switch since := arrival.Sub(declinedAt); {
		case since > 500*time.Millisecond && since < pause:
			within++
		case since >= pause:
			after++
		}
	}
	t.Logf("%d arrivals, %d within the pause, %d after it, %d refused at once", len(arrivals), within, after, refused.Load())
	quicktest.Check(t, within <= 2, quicktest.IsTrue, quicktest.Commentf("%d", within))
	quicktest.Check(t, after > 20, quicktest.IsTrue, quicktest.Commentf("%d", after))
	quicktest.Check(t, refused.Load() > 50, quicktest.IsTrue, quicktest.Commentf("%d", refused.Load()))
}

// Guards against an upstream that is never reached again: it started again under its name at another address before its entry was removed.
func TestUpstreamAtNewAddress(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 1, LatencyGoal: time.Second})
	for incarnation, body := range []string{"first", "second"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		go stand.ServeConns(listener, func(conn net.Conn) {
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, stand.SealedResponse(stand.RequestID(request.Header), body))
			}
		})
		router.board.Set(table.Entry{
			Upstream: "u", Service: "service", Address: listener.Addr().String(), Incarnation: int64(incarnation + 1), Sequence: 1,
		}, time.Now())
		response, got, err := router.ask(t, http.MethodGet, "")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, got, quicktest.Equals, body)
		listener.Close()
	}
}
