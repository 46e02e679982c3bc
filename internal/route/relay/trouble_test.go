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

// addRawUpstream adds an upstream that passes the first request on each connection to answer, which writes raw bytes.
func addRawUpstream(t *testing.T, router *testRouter, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	addNamedRawUpstream(t, router, "u", answer)
}

func addNamedRawUpstream(t *testing.T, router *testRouter, name string, answer func(conn net.Conn, request *http.Request)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { listener.Close() })
	go stand.ServeConns(listener, func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn, request)
		}
	})
	router.board.Set(table.Entry{Upstream: clementinewind.Upstream(name), Service: "service", Address: listener.Addr().String()}, time.Now())
}

// Guards against a truncated stream that looks complete to the caller, for each way in which HTTP/1.1 delimits a body.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	tests := map[string]struct {
		head, body string
		complete   bool
	}{
		"close-delimited, ends in an event":    {"", "id: 1\ndata: a\n\nid: 2\nda", false},
		"close-delimited, ends after an event": {"", "id: 1\ndata: a\n\n", true},
		"Content-Length, cut after an event":   {"Content-Length: 60\r\n", "id: 1\ndata: a\n\n", false},
		"Content-Length, cut in an event":      {"Content-Length: 60\r\n", "id: 1\ndata: a\n\nid: 2\nda", false},
		"chunked, cut after an event":          {"Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n", false},
		"chunked, cut in an event":             {"Transfer-Encoding: chunked\r\n", "17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n", false},
		"Content-Length, ends in an event":     {"Content-Length: 23\r\n", "id: 1\ndata: a\n\nid: 2\nda", false},
		"chunked, ends in an event":            {"Transfer-Encoding: chunked\r\n", "17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n0\r\n\r\n", false},
		"chunked, complete":                    {"Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := startRouter(t, table.Route{Kind: table.RouteStream, MaxAttempts: 1})
			addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", stand.SealedHeaderLines(stand.RequestID(request.Header)), test.head, test.body)
			})
			response, body, err := router.ask(t, http.MethodGet, "")
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
			quicktest.Check(t, body, quicktest.Equals, "id: 1\ndata: a\n\n")
			quicktest.Check(t, err == nil, quicktest.Equals, test.complete, quicktest.Commentf("%v", err))
		})
	}
}

// Guards against an upstream that ends after the response header: without a length or chunks the end of the connection would look like
// the end of an empty stream.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "part of an event": "id: 1\nda"} {
		t.Run(name, func(t *testing.T) {
			router := startRouter(t, table.Route{Kind: table.RouteStream, MaxAttempts: 1})
			addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", stand.SealedHeaderLines(stand.RequestID(request.Header)), body)
			})
			response, _, err := router.ask(t, http.MethodGet, "")
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusBadGateway)
		})
	}
}

// Guards against a faulty upstream whose body never ends: the request must end by its deadline, and not as a success.
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
			router := startRouter(t, test.route)
			closed := make(chan struct{})
			addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
				defer close(closed)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", stand.SealedHeaderLines(stand.RequestID(request.Header)))
				for {
					if _, err := io.WriteString(conn, test.piece); err != nil {
						return
					}
				}
			})
			start := time.Now()
			response, err := router.send(t, http.MethodGet, "", time.Second)
			quicktest.Assert(t, err, quicktest.IsNil)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusOK {
				quicktest.Check(t, err, quicktest.IsNotNil)
			}
			quicktest.Check(t, time.Since(start) < 3*time.Second, quicktest.IsTrue)
			<-closed
		})
	}
}

// Guards against cutting a healthy stream that neither caller nor route limits in time, and against a stalled stream that never
// ends because it sends a byte from time to time.
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
				start := time.Now()
				response, err := client.Do(request)
				quicktest.Assert(t, err, quicktest.IsNil)
				_, err = io.Copy(io.Discard, response.Body)
				complete := err == nil && response.StatusCode == http.StatusOK
				quicktest.Check(t, complete, quicktest.Equals, test.complete, quicktest.Commentf("%d, %v", response.StatusCode, err))
				quicktest.Check(t, time.Since(start) < test.within, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(start)))
				response.Body.Close()
				client.CloseIdleConnections()
				relay.RemoveUpstream("engine")
				quicktest.Check(t, router.Close(), quicktest.IsNil)
				quicktest.Check(t, engine.Close(), quicktest.IsNil)
			})
		})
	}
}

// newRelay returns a relay for configFor with the given dial function.
func newRelay(dial func(ctx context.Context, network, address string) (net.Conn, error), route table.Route, upstream string) *relay.Relay {
	config := configFor(route, upstream, nil)
	config.Dial = dial
	return relay.New(config)
}

// configFor returns the configuration of a relay with one route to one upstream, whose name is also its address. The upstream is
// a model engine if engine is not nil.
func configFor(route table.Route, upstream string, engine *table.Engine) relay.Config {
	route.Host, route.PathPrefix, route.TrafficSplit = "host.example", "/p/", []table.ServiceWeight{{Service: "service", Weight: 1}}
	current := table.New(table.Configuration{
		Version: 1, Routes: []table.Route{route}, Services: []table.ServiceSettings{{Name: "service", MaxConnections: 100, Engine: engine}},
		Organisations: []table.OrganisationKeys{{Organisation: "Patel", Keys: []string{"key"}}},
	})
	built := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	built.SetServices(current.Services())
	built.Set(table.Entry{Upstream: clementinewind.Upstream(upstream), Service: "service", Address: upstream, Slots: 4}, time.Now())
	return defaultConfig(current, built)
}

// Guards against a resumed process sending requests based on its state from before the pause: it must wait for a refresh, and
// refuse the request if that takes too long.
func TestPausedRouterSendsNothing(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1, LatencyGoal: 800 * time.Millisecond},
		func(writer http.ResponseWriter, _ *http.Request, _ int) { writeSealed(writer, http.StatusOK, "answer") })
	router.stale.Store(true)
	response, body, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, strings.HasPrefix(body, "Stale"), quicktest.IsTrue, quicktest.Commentf("%s", body))
	quicktest.Check(t, router.handledBy(), quicktest.HasLen, 0)
	time.AfterFunc(20*time.Millisecond, func() { router.stale.Store(false) })
	response, _, err = router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
}

// Guards against a router that was not scheduled during a dial taking the upstream for unreachable: the router would
// send no requests to this upstream, treat it as cold and forget its cached prefixes.
func TestProcessStallIsNotUpstreamFailure(t *testing.T) {
	for _, test := range []struct {
		name    string
		stalled bool
		err     error
		served  bool
	}{
		{"timeout while the process was stalled", true, os.ErrDeadlineExceeded, true},
		{"timeout while the process was running", false, os.ErrDeadlineExceeded, false},
		{"connection refused while the process was stalled", true, syscall.ECONNREFUSED, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				stand.EchoRequestID(writer, request)
				writeSealed(writer, http.StatusOK, "answer")
			}))
			defer upstream.Close()
			address := upstream.Listener.Addr().String()
			var dials atomic.Int64
			config := configFor(table.Route{Kind: table.RouteIdempotent, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, address, nil)
			config.ProcessStalled = func() bool { return test.stalled }
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

// post sends a request with 4,000 input and 100 output tokens to a new relay.
func post(config relay.Config) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/p/", nil)
	request.Host = "host.example"
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set("X-Token-Count", "4000,100")
	recorder := httptest.NewRecorder()
	relay.New(config).ServeHTTP(recorder, request)
	return recorder
}

// Guards against requests that reach no upstream counting as served, which would use up the fair share of the organisation.
func TestUnservedRequestsUseNoShare(t *testing.T) {
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

// Guards against refusing a retry because the organisation got ahead of its fair share meanwhile: throttling applies only to the
// first placement of a request.
func TestRetriesAreNotThrottled(t *testing.T) {
	config := configFor(table.Route{Kind: table.RouteStream, MaxAttempts: 2, LatencyGoal: 200 * time.Millisecond}, "first", &table.Engine{})
	config.Board.Set(table.Entry{Upstream: "second", Service: "service", Address: "second", Slots: 4}, time.Now())
	var dials atomic.Int64
	config.Dial = func(context.Context, string, string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			config.Shares.AddRequested("Patel", 100_000, time.Now())
			config.Shares.AddServed("Patel", 90_000, time.Now())
			config.Shares.AddRequested("Waiting", 100_000, time.Now())
			config.Shares.AddServed("Waiting", 1_000, time.Now())
			// Fair shares are recomputed every 100 ms.
			time.Sleep(150 * time.Millisecond)
		}
		return nil, syscall.ECONNREFUSED
	}
	quicktest.Check(t, post(config).Code, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, dials.Load(), quicktest.Equals, int64(2))
}

// Guards against an organisation getting far more than one that is waiting, and against refusing it without Retry-After. The
// rule applies only to model engines.
func TestOrganisationAheadIsThrottled(t *testing.T) {
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

// Guards against forwarding the request of a caller that has disconnected, which an overloaded net/http server notices late.
func TestDisconnectedCallerIsDropped(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 2},
		func(writer http.ResponseWriter, _ *http.Request, _ int) { writeSealed(writer, http.StatusOK, "answer") })
	router.callerDisconnected.Store(true)
	_, err := router.send(t, http.MethodPost, "body", time.Second)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, router.handledBy(), quicktest.HasLen, 0)
}

// Guards against an empty 200 for a caller that half-closed its connection and still reads.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(_ http.ResponseWriter, request *http.Request, _ int) {
		<-request.Context().Done()
	})
	conn, err := net.Dial("tcp", router.server.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n\r\n")
	half, ok := conn.(*net.TCPConn)
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, half.CloseWrite(), quicktest.IsNil)
	answer, err := io.ReadAll(conn)
	quicktest.Check(t, string(answer), quicktest.Equals, "", quicktest.Commentf("%v", err))
}
