package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	standin "github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// upstreamOf listens for one request and answers it by hand.
func upstreamOf(t *testing.T, fleet *fleet, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { listener.Close() })
	go stand.ServeConns(listener, func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn, request)
		}
	})
	fleet.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String()}, time.Now())
}

// Guards against an answer that breaks off halfway and reaches the caller as a complete success, with each way in which the
// end of a stream is told.
func TestStreamThatBreaksOffIsNotComplete(t *testing.T) {
	tests := map[string]struct {
		head, body string
		complete   bool
	}{
		"to the end of the connection, in an event": {"", "id: 1\ndata: a\n\nid: 2\nda", false},
		"to the end of the connection, after one":   {"", "id: 1\ndata: a\n\n", true},
		"length, cut":             {"Content-Length: 60\r\n", "id: 1\ndata: a\n\n", false},
		"length, cut in an event": {"Content-Length: 60\r\n", "id: 1\ndata: a\n\nid: 2\nda", false},
		"chunks, cut":             {"Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n", false},
		"chunks, cut in an event": {"Transfer-Encoding: chunked\r\n", "17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n", false},
		"chunks":                  {"Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := start(t, table.Route{Kind: table.RouteStream, MaxAttempts: 1})
			upstreamOf(t, fleet, func(conn net.Conn, request *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", stand.SealedHeaderLines(stand.RequestID(request.Header)), test.head, test.body)
			})
			response, body, err := fleet.ask(t, http.MethodGet, "")
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			quicktest.Check(t, body, quicktest.Equals, "id: 1\ndata: a\n\n")
			quicktest.Check(t, err == nil, quicktest.Equals, test.complete, quicktest.Commentf("%v", err))
		})
	}
}

// Guards against an upstream in trouble that sends a body without end: the caller of a request with a deadline gets its end
// by then, and never as a success.
func TestEndlessBody(t *testing.T) {
	tests := map[string]struct {
		route table.Route
		piece string
	}{
		"answer":                {table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, "noise"},
		"stream without events": {table.Route{Kind: table.RouteStream, MaxAttempts: 1}, "noise"},
		"stream of comments":    {table.Route{Kind: table.RouteStream, MaxAttempts: 1}, ": noise\n\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := start(t, test.route)
			closed := make(chan struct{})
			upstreamOf(t, fleet, func(conn net.Conn, request *http.Request) {
				defer close(closed)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", stand.SealedHeaderLines(stand.RequestID(request.Header)))
				for {
					if _, err := io.WriteString(conn, test.piece); err != nil {
						return
					}
				}
			})
			began := time.Now()
			response, err := fleet.send(t, http.MethodGet, "", time.Second)
			quicktest.Assert(t, err, quicktest.IsNil)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusOK {
				quicktest.Check(t, err, quicktest.IsNotNil)
			}
			quicktest.Check(t, time.Since(began) < 3*time.Second, quicktest.IsTrue)
			<-closed
		})
	}
}

// Guards against a sound stream that is cut although neither its caller nor its route sets a limit, and against a stalled one
// that sends a byte now and then and never ends.
func TestStreamWithoutDeadline(t *testing.T) {
	tests := map[string]struct {
		piece    string
		pause    time.Duration
		pieces   int
		complete bool
		within   time.Duration
	}{
		"slow events for two minutes": {"id: 1\ndata: a\n\n", 1500 * time.Millisecond, 80, true, 3 * time.Minute},
		"a byte now and then":         {":", time.Second, 1000, false, 3 * time.Second},
		"a comment now and then":      {": c\n\n", time.Second, 1000, false, 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := standin.NewPipeNetwork()
				engine := network.Serve("engine", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					stand.EchoRequestID(writer, request)
					stand.Seal(writer)
					controller := http.NewResponseController(writer)
					for range test.pieces {
						_, _ = io.WriteString(writer, test.piece)
						if controller.Flush() != nil || pause.For(request.Context(), test.pause) != nil {
							return
						}
					}
				}))
				relay := newRelay(network.Dial, table.Route{Kind: table.RouteStream, MaxAttempts: 1}, "engine")
				router := network.Serve("router", relay)
				client := &http.Client{Transport: &http.Transport{
					DialContext: func(ctx context.Context, kind, _ string) (net.Conn, error) { return network.Dial(ctx, kind, "router") },
				}}
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host.example/p/x", nil)
				quicktest.Assert(t, err, quicktest.IsNil)
				stand.SetCallerHeaders(request.Header, "id-1", "key", 0)
				request.Header.Del(stand.DeadlineHeader)
				began := time.Now()
				response, err := client.Do(request)
				quicktest.Assert(t, err, quicktest.IsNil)
				_, err = io.Copy(io.Discard, response.Body)
				complete := err == nil && response.StatusCode == http.StatusOK
				quicktest.Check(t, complete, quicktest.Equals, test.complete, quicktest.Commentf("%d, %v", response.StatusCode, err))
				quicktest.Check(t, time.Since(began) < test.within, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
				response.Body.Close()
				client.CloseIdleConnections()
				relay.RemoveUpstream("engine")
				quicktest.Check(t, router.Close(), quicktest.IsNil)
				quicktest.Check(t, engine.Close(), quicktest.IsNil)
			})
		})
	}
}

// newRelay returns a relay with one route to one upstream, whose name is its address.
func newRelay(dial func(ctx context.Context, network, address string) (net.Conn, error), route table.Route, upstream string) *relay.Relay {
	config := configFor(route, upstream, nil)
	config.Dial = dial
	return relay.New(config)
}

// configFor returns the configuration of a relay with one route to one upstream, whose name is its address. It is a model engine unless
// engine is nil.
func configFor(route table.Route, upstream string, engine *table.Engine) relay.Config {
	route.Host, route.PathPrefix, route.TrafficSplit = "host.example", "/p/", []table.ServiceWeight{{Service: "service", Weight: 1}}
	current := table.New(table.Configuration{
		Version: 1, Routes: []table.Route{route}, Services: []table.ServiceSettings{{Name: "service", MaxConnections: 100, Engine: engine}},
		Organisations: []table.OrganisationKeys{{Organisation: "Patel", Keys: []string{"key"}}},
	})
	built := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	built.SetServices(current.Services())
	built.Set(table.Entry{Upstream: clementinewind.Upstream(upstream), Service: "service", Address: upstream, Slots: 4}, time.Now())
	return calm(current, built)
}

// Guards against a process that was paused and sends requests by what it knew before: it waits until it knows more, and
// refuses truthfully if that takes too long.
func TestPausedRouterSendsNothing(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1, LatencyGoal: 800 * time.Millisecond},
		func(writer http.ResponseWriter, _ *http.Request, _ int) { sealed(writer, http.StatusOK, "answer") })
	fleet.stale.Store(true)
	response, body, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, strings.HasPrefix(body, "Stale"), quicktest.IsTrue, quicktest.Commentf("%s", body))
	quicktest.Check(t, fleet.runs(), quicktest.HasLen, 0)
	time.AfterFunc(20*time.Millisecond, func() { fleet.stale.Store(false) })
	response, _, err = fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
}

// Guards against a router that did not run while it connected and takes its upstreams for unreachable: they would get no requests,
// count as cold and lose the prompts that they are believed to keep.
func TestOwnDelayIsNoFaultOfUpstreams(t *testing.T) {
	for _, test := range []struct {
		name    string
		delayed bool
		err     error
		served  bool
	}{
		{"time-out while the process did not run", true, os.ErrDeadlineExceeded, true},
		{"time-out while the process ran", false, os.ErrDeadlineExceeded, false},
		{"connection refused while the process did not run", true, syscall.ECONNREFUSED, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				stand.EchoRequestID(writer, request)
				sealed(writer, http.StatusOK, "answer")
			}))
			defer upstream.Close()
			address := upstream.Listener.Addr().String()
			var dials atomic.Int64
			config := configFor(table.Route{Kind: table.RouteIdempotent, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, address, nil)
			config.ProcessStalled = func() bool { return test.delayed }
			config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					return nil, &net.OpError{Op: "dial", Err: test.err}
				}
				return new(net.Dialer).DialContext(ctx, network, address)
			}
			router := httptest.NewServer(relay.New(config))
			defer router.Close()
			ask := func() int {
				request, err := http.NewRequest(http.MethodGet, router.URL+"/p/", nil)
				quicktest.Assert(t, err, quicktest.IsNil)
				request.Host = "host.example"
				request.Header.Set("Authorization", "Bearer key")
				response, err := http.DefaultClient.Do(request)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, response.Body.Close(), quicktest.IsNil)
				return response.StatusCode
			}
			quicktest.Check(t, ask(), quicktest.Equals, http.StatusServiceUnavailable)
			quicktest.Check(t, ask() == http.StatusOK, quicktest.Equals, test.served)
		})
	}
}

// post asks a router with a configuration for 4,000 tokens and an answer of 100.
func post(config relay.Config) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/p/", nil)
	request.Host = "host.example"
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("X-Token-Count", "4000,100")
	recorder := httptest.NewRecorder()
	relay.New(config).ServeHTTP(recorder, request)
	return recorder
}

// Guards against an organisation whose requests reach no upstream and count as served, so that its share seems to be filled.
func TestUnservedRequestsFillNoShare(t *testing.T) {
	config := configFor(table.Route{Kind: table.RouteStream, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, "upstream", &table.Engine{})
	config.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	now := time.Now()
	config.Shares.AddRequested("Other", 10_000, now)
	config.Shares.AddServed("Other", 5_000, now)
	recorder := post(config)
	quicktest.Check(t, recorder.Code, quicktest.Equals, http.StatusServiceUnavailable)
	standing, scarce := config.Shares.Standing("Patel", now.Add(300*time.Millisecond))
	quicktest.Check(t, scarce, quicktest.IsTrue)
	quicktest.Check(t, standing.Share, quicktest.Equals, 0.0)
}

// Guards against a request that an upstream has rejected, or whose stream broke off, and that is refused on its way to the next one because
// its organisation came to be ahead meanwhile: it has its place already.
func TestPlacedRequestsDoNotPause(t *testing.T) {
	config := configFor(table.Route{Kind: table.RouteStream, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, "first", &table.Engine{})
	config.Board.Set(table.Entry{Upstream: "second", Service: "service", Address: "second", Slots: 4}, time.Now())
	var dials atomic.Int64
	config.Dial = func(context.Context, string, string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			config.Shares.AddRequested("Patel", 100_000, time.Now())
			config.Shares.AddServed("Patel", 90_000, time.Now())
			config.Shares.AddRequested("Waiting", 100_000, time.Now())
			config.Shares.AddServed("Waiting", 1_000, time.Now())
			// Shares are worked out anew after a while.
			time.Sleep(150 * time.Millisecond)
		}
		return nil, syscall.ECONNREFUSED
	}
	quicktest.Check(t, post(config).Code, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, dials.Load(), quicktest.Equals, int64(2))
}

// Guards against an organisation that gets far more than one that waits, and against one that is refused for that without the time at
// which it may return. Requests of other kinds are not refused for it.
func TestOrganisationAheadPauses(t *testing.T) {
	for _, engine := range []*table.Engine{{}, nil} {
		var dialed atomic.Bool
		config := configFor(table.Route{Kind: table.RouteStream, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, "upstream", engine)
		config.Dial = func(context.Context, string, string) (net.Conn, error) {
			dialed.Store(true)
			return nil, syscall.ECONNREFUSED
		}
		now := time.Now()
		config.Shares.AddRequested("Patel", 100_000, now)
		config.Shares.AddServed("Patel", 90_000, now)
		config.Shares.AddRequested("Waiting", 100_000, now)
		config.Shares.AddServed("Waiting", 1_000, now)
		recorder := post(config)
		quicktest.Check(t, recorder.Code, quicktest.Equals, http.StatusServiceUnavailable)
		quicktest.Check(t, recorder.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
		quicktest.Check(t, dialed.Load(), quicktest.Equals, engine == nil)
	}
}

// Guards against requests that are sent on after their callers left, at a router whose processor is too short to notice it in
// time.
func TestCallerThatLeftIsDropped(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 2},
		func(writer http.ResponseWriter, _ *http.Request, _ int) { sealed(writer, http.StatusOK, "answer") })
	fleet.left.Store(true)
	_, err := fleet.send(t, http.MethodPost, "body", time.Second)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, fleet.runs(), quicktest.HasLen, 0)
}

// Guards against an empty success for a caller that closed its side of the connection and still reads.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(_ http.ResponseWriter, request *http.Request, _ int) {
		<-request.Context().Done()
	})
	conn, err := net.Dial("tcp", fleet.server.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n\r\n")
	half, ok := conn.(*net.TCPConn)
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, half.CloseWrite(), quicktest.IsNil)
	answer, err := io.ReadAll(conn)
	quicktest.Check(t, string(answer), quicktest.Equals, "", quicktest.Commentf("%v", err))
}
