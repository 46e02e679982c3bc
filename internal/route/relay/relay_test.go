package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

type noMeter struct{}

func (noMeter) Ended(table.Service, string, time.Duration)             {}
func (noMeter) FirstEvent(table.Service, time.Duration, time.Duration) {}
func (noMeter) Connected(table.Service)                                {}
func (noMeter) LoadReport(table.Service, string)                       {}
func (noMeter) ReportUsed(table.Service, time.Duration, bool)          {}

// testRouter is a router with upstreams whose handlers the test provides.
type testRouter struct {
	relay  *relay.Relay
	server *httptest.Server
	board  *board.Board
	table  *table.Table
	poison *poison.Registry

	overloaded         atomic.Bool
	batching           atomic.Bool
	stale              atomic.Bool
	callerDisconnected atomic.Bool

	mutex sync.Mutex
	// requestLog lists the upstream of each request, in order.
	requestLog []string
}

// handledBy returns the upstream of each request, in order.
func (router *testRouter) handledBy() []string {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return slices.Clone(router.requestLog)
}

// eventBatchDelay returns how long events are batched.
func (router *testRouter) eventBatchDelay() time.Duration {
	if router.batching.Load() {
		return 50 * time.Millisecond
	}
	return 0
}

// upstreamHandler is the handler of an upstream; number is the index of the request among those of all upstreams.
type upstreamHandler func(writer http.ResponseWriter, request *http.Request, number int)

func startRouter(t *testing.T, route table.Route, upstreams ...upstreamHandler) *testRouter {
	t.Helper()
	return startEngineRouter(t, nil, route, upstreams...)
}

// startEngineRouter starts a router whose upstreams are model engines if engine is not nil.
func startEngineRouter(t *testing.T, engine *table.Engine, route table.Route, upstreams ...upstreamHandler) *testRouter {
	t.Helper()
	started := &testRouter{}
	route.Host, route.PathPrefix = "host.example", "/p/"
	route.TrafficSplit = []table.ServiceWeight{{Service: "service", Weight: 1}}
	current := table.New(table.Configuration{
		Version: 1, Routes: []table.Route{route}, Services: []table.ServiceSettings{
			{Name: "service", MaxConnections: 100, Engine: engine},
		},
		Organisations: []table.OrganisationKeys{{Organisation: "Patel", Keys: []string{"key"}}},
	})
	started.table = current
	started.board = board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	started.board.SetServices(current.Services())
	for i, handle := range upstreams {
		name := fmt.Sprintf("upstream-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			started.mutex.Lock()
			number := len(started.requestLog)
			started.requestLog = append(started.requestLog, name)
			started.mutex.Unlock()
			if expected := stand.ExpectedUpstream(request); expected != name {
				t.Errorf("%s got a request for %s", name, expected)
			}
			stand.EchoRequestID(writer, request)
			handle(writer, request, number)
		}))
		t.Cleanup(server.Close)
		started.board.Set(table.Entry{
			Upstream: clementinewind.Upstream(name), Service: "service", Address: server.Listener.Addr().String(), Slots: 4,
		}, time.Now())
	}
	config := defaultConfig(current, started.board)
	config.Stale, config.EventBatchDelay = started.stale.Load, started.eventBatchDelay
	config.CallerDisconnected = func(context.Context) bool { return started.callerDisconnected.Load() }
	config.Overloaded = func(context.Context) bool { return started.overloaded.Load() }
	started.poison = poison.New(poison.Config{OnQuarantine: func() { started.relay.WithdrawQuarantined() }})
	config.Poison = started.poison
	started.relay = relay.New(config)
	started.server = httptest.NewServer(started.relay)
	t.Cleanup(started.server.Close)
	return started
}

// defaultConfig returns the configuration of a single router that is not overloaded, paused or shutting down.
func defaultConfig(current *table.Table, upstreams *board.Board) relay.Config {
	never := func() bool { return false }
	neverForRequest := func(context.Context) bool { return false }
	return relay.Config{
		Board: upstreams, Shares: usage.NewShares(time.Second), Table: func() *table.Table { return current }, RouterCount: func() int { return 1 },
		Closing: never, Draining: func(table.RouteKind, time.Time) bool { return false }, Stale: never, CallerDisconnected: neverForRequest, Overloaded: neverForRequest,
		EventBatchDelay: func() time.Duration { return 0 },
		Dial:            new(net.Dialer).DialContext,
		RetryBudget:     func() budget.Config { return budget.Config{Window: time.Second, Extra: 100} },
		Meter:           noMeter{}, Logger: hclog.NewNullLogger(),
	}
}

// ask sends a request and returns the response, its body, and the error from reading the body.
func (router *testRouter) ask(t *testing.T, method, body string) (*http.Response, string, error) {
	t.Helper()
	response, err := router.send(t, method, body, 2*time.Second)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// send sends a request with a deadline, or without one if timeout is 0.
func (router *testRouter) send(t *testing.T, method, body string, timeout time.Duration) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, router.server.URL+"/p/x?y=%2f", strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Host = "host.example"
	stand.SetCallerHeaders(request.Header, "id-1", "key", timeout)
	if timeout == 0 {
		request.Header.Del(stand.DeadlineHeader)
	}
	stand.SetPromptHeaders(request.Header, "subject", 5000, 4000, 10)
	return http.DefaultClient.Do(request)
}

func writeSealed(writer http.ResponseWriter, status int, body string) {
	stand.Seal(writer)
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

func writeEvents(writer http.ResponseWriter, first, last int) {
	for i := first; i <= last; i++ {
		fmt.Fprintf(writer, "id: %d\ndata: token\n\n", i)
	}
	_ = http.NewResponseController(writer).Flush()
}

// abortAnswer flushes a partial answer and resets the connection.
func abortAnswer(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

func TestForward(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(writer http.ResponseWriter, request *http.Request, _ int) {
		body, err := io.ReadAll(request.Body)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(body), quicktest.Equals, "body")
		quicktest.Check(t, request.RequestURI, quicktest.Equals, "/p/x?y=%2f")
		quicktest.Check(t, request.Host, quicktest.Equals, "host.example")
		quicktest.Check(t, stand.Organisation(request), quicktest.Equals, "Patel")
		quicktest.Check(t, request.Header.Get("Authorization"), quicktest.Equals, "")
		writer.Header().Set("X-Other", "kept")
		writeSealed(writer, http.StatusCreated, "answer")
	})
	response, body, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusCreated)
	quicktest.Check(t, body, quicktest.Equals, "answer")
	quicktest.Check(t, stand.Sealed(response.Header), quicktest.IsTrue)
	quicktest.Check(t, response.Header.Get("X-Other"), quicktest.Equals, "kept")
}

func TestAttempts(t *testing.T) {
	fails := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			writeSealed(writer, http.StatusInternalServerError, "failed")
			return
		}
		writeSealed(writer, http.StatusOK, "answer")
	}
	declines := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			stand.Decline(writer)
			return
		}
		writeSealed(writer, http.StatusOK, "answer")
	}
	breaks := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			panic(http.ErrAbortHandler)
		}
		writeSealed(writer, http.StatusOK, "answer")
	}
	cuts := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			writer.Header().Set("Content-Length", "100")
			writeSealed(writer, http.StatusOK, "ans")
			abortAnswer(writer)
		}
		writeSealed(writer, http.StatusOK, "answer")
	}
	forged := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			_, _ = io.WriteString(writer, "not sealed")
			return
		}
		writeSealed(writer, http.StatusOK, "answer")
	}
	tests := map[string]struct {
		kind     table.RouteKind
		upstream upstreamHandler
		status   int
		runs     int
	}{
		"idempotent request whose upstream fails":       {table.RouteIdempotent, fails, http.StatusOK, 2},
		"request whose upstream declines":               {table.RouteOnce, declines, http.StatusOK, 2},
		"idempotent request whose connection breaks":    {table.RouteIdempotent, breaks, http.StatusOK, 2},
		"idempotent request whose answer is cut":        {table.RouteIdempotent, cuts, http.StatusOK, 2},
		"idempotent request whose answer is not sealed": {table.RouteIdempotent, forged, http.StatusOK, 2},
		"once: an upstream error is forwarded":          {table.RouteOnce, fails, http.StatusInternalServerError, 1},
		// 503 would claim that the request did not run.
		"once: a lost connection is no refusal":  {table.RouteOnce, breaks, http.StatusBadGateway, 1},
		"once: a cut answer is no refusal":       {table.RouteOnce, cuts, http.StatusBadGateway, 1},
		"once: a forged answer is not forwarded": {table.RouteOnce, forged, http.StatusBadGateway, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := startRouter(t, table.Route{Kind: test.kind, MaxAttempts: 2}, test.upstream, test.upstream, test.upstream)
			response, _, err := router.ask(t, http.MethodPost, "body")
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, response.StatusCode, quicktest.Equals, test.status)
			quicktest.Check(t, router.handledBy(), quicktest.HasLen, test.runs)
		})
	}
}

// Guards against slow or misleading refusals: nothing was sent, so the answer is a prompt 503 with Retry-After.
func TestNoUpstream(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1, LatencyGoal: 100 * time.Millisecond})
	start := time.Now()
	response, _, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, time.Since(start) < time.Second, quicktest.IsTrue)
}

// Guards against an overloaded router queueing requests for seconds: it must refuse them at once with a short Retry-After. That
// it also closes the connections is decided by Config.Closing, which is false here.
func TestOverloadRefusal(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(writer http.ResponseWriter, _ *http.Request, _ int) {
		writeSealed(writer, http.StatusOK, "answer")
	})
	router.overloaded.Store(true)
	response, _, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Equals, "0.050")
	quicktest.Check(t, router.handledBy(), quicktest.HasLen, 0)
}

// Guards against differences between the raw refusal of an unread request and the refusal by ServeHTTP.
func TestOverloadRefusalMatchesServeHTTP(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(http.ResponseWriter, *http.Request, int) {})
	router.overloaded.Store(true)
	read, body, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	for number := range 100 {
		head := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: host.example\r\nx-request-id: id-%d\r\nContent-Length: 4\r\n\r\nX-Request-Id: other", number)
		unread, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(router.relay.OverloadRefusal([]byte(head)))), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		content, err := io.ReadAll(unread.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, string(content), quicktest.Equals, body)
		quicktest.Check(t, unread.StatusCode, quicktest.Equals, read.StatusCode)
		quicktest.Check(t, unread.Close, quicktest.IsTrue)
		quicktest.Check(t, unread.Header.Get("Retry-After"), quicktest.Equals, read.Header.Get("Retry-After"))
		quicktest.Check(t, unread.Header.Get("Content-Type"), quicktest.Equals, read.Header.Get("Content-Type"))
		quicktest.Check(t, unread.Header.Get("X-Request-Id"), quicktest.Equals, fmt.Sprintf("id-%d", number))
	}
}

// Guards against an overloaded router that forwards stream events one by one, and against batching that loses events or
// delays them beyond the deadline.
func TestOverloadedRouterBatchesEvents(t *testing.T) {
	const count = 60
	router := startRouter(t, table.Route{Kind: table.RouteStream, MaxAttempts: 1}, func(writer http.ResponseWriter, _ *http.Request, _ int) {
		stand.Seal(writer)
		for event := 1; event <= count; event++ {
			writeEvents(writer, event, event)
			time.Sleep(5 * time.Millisecond)
		}
	})
	router.batching.Store(true)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, router.server.URL+"/p/x", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Host = "host.example"
	stand.SetCallerHeaders(request.Header, "id-1", "key", 5*time.Second)
	response, err := http.DefaultClient.Do(request)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	reads, body, buffer := 0, "", make([]byte, 4096)
	for err == nil {
		var read int
		read, err = response.Body.Read(buffer)
		body += string(buffer[:read])
		reads++
	}
	quicktest.Check(t, err, quicktest.Equals, io.EOF)
	quicktest.Check(t, strings.Count(body, "data: token\n\n"), quicktest.Equals, count)
	quicktest.Check(t, reads < count/2, quicktest.IsTrue, quicktest.Commentf("%d reads", reads))
}

// Guards against a request waiting for placement although the backlog is far beyond the latency goal: it must be refused at
// once.
func TestBacklogIsRefusedAtOnce(t *testing.T) {
	route := table.Route{Kind: table.RouteStream, MaxAttempts: 1, LatencyGoal: 4 * time.Second}
	router := startEngineRouter(t, &table.Engine{Slots: 8, MemoryTokens: 500_000}, route,
		func(writer http.ResponseWriter, _ *http.Request, _ int) { writeSealed(writer, http.StatusOK, "") })
	router.board.SetPeer(usage.Source{Instance: "peer"}, map[uint32]board.Load{
		usage.Hash("upstream-0"): {Running: 4, QueuedTokens: 1_000_000},
	}, time.Now())
	start := time.Now()
	response, _, err := router.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, time.Since(start) < route.LatencyGoal/8, quicktest.IsTrue)
	quicktest.Check(t, router.handledBy(), quicktest.HasLen, 0)
}

func TestStream(t *testing.T) {
	whole := "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"
	resumes := func(writer http.ResponseWriter, request *http.Request, number int) {
		stand.Seal(writer)
		if number == 0 {
			writeEvents(writer, 1, 2)
			// The partial third event must not reach the caller, because the second upstream sends the event again.
			_, _ = io.WriteString(writer, "id: 3\nda")
			abortAnswer(writer)
		}
		if last := stand.LastEventID(request); last != "2" {
			t.Errorf("resumed after event %q, want 2", last)
		}
		writeEvents(writer, 3, 3)
	}
	fails := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			stand.Seal(writer)
			writeEvents(writer, 1, 2)
			abortAnswer(writer)
		}
		writeSealed(writer, http.StatusInternalServerError, "failed")
	}
	t.Run("resumed", func(t *testing.T) {
		router := startRouter(t, table.Route{Kind: table.RouteStream, Resumable: true, MaxAttempts: 2}, resumes, resumes)
		_, body, err := router.ask(t, http.MethodPost, "body")
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, body, quicktest.Equals, whole)
	})
	t.Run("not resumable", func(t *testing.T) {
		router := startRouter(t, table.Route{Kind: table.RouteStream, MaxAttempts: 2}, resumes, resumes)
		_, body, err := router.ask(t, http.MethodPost, "body")
		quicktest.Check(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Check(t, strings.HasPrefix(whole, body), quicktest.IsTrue)
	})
	// Guards against an error response of the second upstream ending the stream as if it were complete.
	t.Run("resume fails", func(t *testing.T) {
		router := startRouter(t, table.Route{Kind: table.RouteStream, Resumable: true, MaxAttempts: 2}, fails, fails)
		_, body, err := router.ask(t, http.MethodPost, "body")
		quicktest.Check(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Check(t, strings.HasPrefix(whole, body), quicktest.IsTrue, quicktest.Commentf("%q", body))
	})
}

// Guards against a late answer to another request being taken for the answer to this one.
func TestLateAnswerToOtherRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		for _, id := range []string{"another", stand.RequestID(request.Header)} {
			fmt.Fprint(conn, stand.SealedResponse(id, id))
		}
	}()
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1})
	router.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String()}, time.Now())
	_, body, err := router.ask(t, http.MethodGet, "")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, body, quicktest.Equals, "id-1")
}

// Guards against an upstream working on after the caller has disconnected.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	cancelled := make(chan struct{})
	started := make(chan struct{})
	router := startRouter(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 1}, func(_ http.ResponseWriter, request *http.Request, _ int) {
		close(started)
		<-request.Context().Done()
		close(cancelled)
	})
	conn, err := net.Dial("tcp", router.server.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	fmt.Fprint(conn, "GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n\r\n")
	<-started
	quicktest.Assert(t, conn.Close(), quicktest.IsNil)
	<-cancelled
}

func TestRejectedRequests(t *testing.T) {
	router := startRouter(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1})
	tests := map[string]struct {
		head   string
		status string
	}{
		"unknown key":  {"GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer other\r\n", "401"},
		"no key":       {"GET /p/ HTTP/1.1\r\nHost: host.example\r\n", "401"},
		"no route":     {"GET /q/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n", "404"},
		"unknown host": {"GET /p/ HTTP/1.1\r\nHost: other.example\r\nAuthorization: Bearer key\r\n", "404"},
		"bad deadline": {"GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n" + stand.DeadlineHeader + ": soon\r\n", "400"},
		"bad framing":  {"POST /p/ HTTP/1.1\r\nHost: host.example\r\nTransfer-Encoding: other\r\n", "501"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", router.server.Listener.Addr().String())
			quicktest.Assert(t, err, quicktest.IsNil)
			defer conn.Close()
			fmt.Fprint(conn, test.head+"\r\n")
			line, err := bufio.NewReader(conn).ReadString('\n')
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, strings.Fields(line)[1], quicktest.Equals, test.status)
		})
	}
}

// Guards against an organisation losing its fair share because its callers all stay connected to an overloaded router that
// serves only a tenth of their requests: refused requests count as demand, whether they were read or not. Another organisation,
// which gets eight times as much at other routers, is then above its share.
func TestRefusedRequestsCountAsDemand(t *testing.T) {
	head := "POST /p/x HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer %s\r\nX-Token-Count: 1000, 100\r\nContent-Length: 0\r\n\r\n"
	current := table.New(table.Configuration{
		Version: 1, Services: []table.ServiceSettings{{Name: "service", MaxConnections: 100}},
		Organisations: []table.OrganisationKeys{
			{Organisation: "Crowded", Keys: []string{"crowded"}}, {Organisation: "Other", Keys: []string{"other"}},
		},
	})
	for name, refuse := range map[string]func(t *testing.T, relay *relay.Relay, key string){
		"unread": func(_ *testing.T, relay *relay.Relay, key string) { relay.OverloadRefusal(fmt.Appendf(nil, head, key)) },
		"read": func(t *testing.T, relay *relay.Relay, key string) {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(fmt.Sprintf(head, key))))
			quicktest.Assert(t, err, quicktest.IsNil)
			recorder := httptest.NewRecorder()
			relay.ServeHTTP(recorder, request)
			quicktest.Check(t, recorder.Code, quicktest.Equals, http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			config := defaultConfig(current, board.New(board.Config{}))
			config.Overloaded = func(context.Context) bool { return true }
			refusing := relay.New(config)
			now := time.Now()
			config.Shares.AddRequested("Other", 100_000, now)
			config.Shares.AddServed("Other", 80_000, now)
			config.Shares.AddRequested("Crowded", 10_000, now)
			config.Shares.AddServed("Crowded", 10_000, now)
			standing, scarce := config.Shares.Standing("Other", now)
			quicktest.Check(t, scarce, quicktest.IsTrue)
			quicktest.Check(t, standing.Share > 0.95 && standing.Share < 1.05, quicktest.IsTrue, quicktest.Commentf("%v", standing))
			for range 100 {
				refuse(t, refusing, "crowded")
				refuse(t, refusing, "unknown")
			}
			standing, _ = config.Shares.Standing("Other", now.Add(time.Second/2))
			quicktest.Check(t, standing.Share > 1.7, quicktest.IsTrue, quicktest.Commentf("%v", standing))
		})
	}
}
