package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// dialRouter connects to a router as a caller.
func dialRouter(t *testing.T, router *router) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", router.settings.CallerListen.String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	quicktest.Assert(t, conn.SetDeadline(time.Now().Add(waitTime)), quicktest.IsNil)
	return conn
}

// sendOn sends a request and reads the answer.
func sendOn(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://h/x", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	stand.SetCallerHeaders(request.Header, "id", "key", 5*time.Second)
	quicktest.Assert(t, request.Write(conn), quicktest.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	return response
}

// Guards against idle connections that are never closed and use up the descriptors of a router, and against one that is closed while its
// caller may still use it.
func TestIdleTimeoutOfConfiguration(t *testing.T) {
	const idleTimeout = 500 * time.Millisecond
	fleet := newFleet(t)
	fleet.limits = table.Limits{IdleTimeout: idleTimeout}
	fleet.configure("key")
	router := fleet.start(1)
	fleet.waitReady(router)
	conn := dialRouter(t, router)
	for range 2 {
		quicktest.Check(t, sendOn(t, conn).StatusCode, quicktest.Equals, http.StatusOK)
		time.Sleep(idleTimeout * 4 / 5)
	}
	quicktest.Check(t, sendOn(t, conn).StatusCode, quicktest.Equals, http.StatusOK)
	answered := time.Now()
	quicktest.Assert(t, conn.SetReadDeadline(answered.Add(10*idleTimeout)), quicktest.IsNil)
	_, err := conn.Read(make([]byte, 1))
	quicktest.Check(t, err, quicktest.ErrorMatches, "EOF")
	quicktest.Check(t, time.Since(answered) >= idleTimeout*4/5, quicktest.IsTrue)
}

// Guards against a caller that never finishes the body of a request, and holds a connection of the router until it leaves.
func TestUnfinishedBodyIsRefused(t *testing.T) {
	fleet := newFleet(t)
	fleet.startAll(1)
	conn := dialRouter(t, fleet.routers[1])
	header := http.Header{}
	stand.SetCallerHeaders(header, "id", "key", 500*time.Millisecond)
	fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n")
	quicktest.Assert(t, header.Write(conn), quicktest.IsNil)
	fmt.Fprint(conn, "\r\nhalf")
	quicktest.Assert(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)), quicktest.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusRequestTimeout)
	quicktest.Check(t, response.Close, quicktest.IsTrue)
}

// Guards against requests that are taken late in a planned stop, passed on, and cut off without an answer at its end: what may not end in
// time is refused, and what still runs at the end gets an answer.
func TestStopAnswersLateRequests(t *testing.T) {
	const (
		work = 5 * time.Second
		// late is well within the grace period of 2 s.
		late = 900 * time.Millisecond
	)
	for name, kind := range map[string]table.RouteKind{"may be repeated": table.RouteIdempotent, "may not be repeated": table.RouteOnce} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t)
			fleet.kind = kind
			fleet.configure("key")
			var reached atomic.Int64
			fleet.setHandler(func(_ http.ResponseWriter, request *http.Request) {
				reached.Add(1)
				select {
				case <-request.Context().Done():
				case <-time.After(work):
				}
			})
			router := fleet.start(1)
			fleet.waitReady(router)
			fleet.waitUntil("new configuration", func() bool { return router.entry.State().Version == 2 })
			kept := dialRouter(t, router)
			early := make(chan int, 1)
			go func() { status, _ := router.send("key"); early <- status }()
			fleet.waitUntil("a request at the upstream", func() bool { return reached.Load() == 1 })
			stopped := make(chan error, 1)
			go func() { stopped <- fleet.stop(1) }()
			time.Sleep(late)
			onNew := make(chan int, 1)
			go func() { status, _ := router.send("key"); onNew <- status }()
			quicktest.Check(t, sendOn(t, kept).StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
			quicktest.Check(t, <-onNew, quicktest.Equals, http.StatusServiceUnavailable)
			quicktest.Check(t, <-early, quicktest.Equals, http.StatusGatewayTimeout)
			quicktest.Check(t, <-stopped, quicktest.IsNil)
			quicktest.Check(t, reached.Load(), quicktest.Equals, int64(1))
		})
	}
}
