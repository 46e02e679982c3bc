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
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

type noMeter struct{}

func (noMeter) Ended(table.Service, string, time.Duration)             {}
func (noMeter) FirstEvent(table.Service, time.Duration, time.Duration) {}
func (noMeter) Connected(table.Service)                                {}

// fleet is one router before upstreams whose handlers the test gives.
type fleet struct {
	relay  *relay.Relay
	server *httptest.Server
	board  *board.Board

	overloaded atomic.Bool
	busy       atomic.Bool
	stale      atomic.Bool
	left       atomic.Bool

	mutex sync.Mutex
	// ran are the upstreams that got a request, in order.
	ran []string
}

// runs returns the upstreams that got a request, in order.
func (fleet *fleet) runs() []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return slices.Clone(fleet.ran)
}

// gather is what a busy router waits for events.
func (fleet *fleet) gather() time.Duration {
	if fleet.busy.Load() {
		return 50 * time.Millisecond
	}
	return 0
}

// upstream handles a request at an upstream; number counts the requests of all upstreams from 0.
type upstream func(writer http.ResponseWriter, request *http.Request, number int)

func start(t *testing.T, route table.Route, upstreams ...upstream) *fleet {
	t.Helper()
	return startEngine(t, nil, route, upstreams...)
}

// startEngine starts a router whose upstreams are model engines, unless engine is nil.
func startEngine(t *testing.T, engine *table.Engine, route table.Route, upstreams ...upstream) *fleet {
	t.Helper()
	started := &fleet{}
	route.Host, route.PathPrefix = "host.example", "/p/"
	route.TrafficSplit = []table.ServiceWeight{{Service: "service", Weight: 1}}
	current := table.New(table.Configuration{
		Version: 1, Routes: []table.Route{route}, Services: []table.ServiceSettings{
			{Name: "service", MaxConnections: 100, Engine: engine},
		},
		Organisations: []table.OrganisationKeys{{Organisation: "Patel", Keys: []string{"key"}}},
	})
	started.board = board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	started.board.SetServices(current.Services())
	for i, handle := range upstreams {
		name := fmt.Sprintf("upstream-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			started.mutex.Lock()
			number := len(started.ran)
			started.ran = append(started.ran, name)
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
	config := calm(current, started.board)
	config.Stale, config.EventBatchDelay = started.stale.Load, started.gather
	config.CallerDisconnected = func(context.Context) bool { return started.left.Load() }
	config.Overloaded = func(context.Context) bool { return started.overloaded.Load() }
	started.relay = relay.New(config)
	started.server = httptest.NewServer(started.relay)
	t.Cleanup(started.server.Close)
	return started
}

// calm returns the configuration of a router alone, with time to spare, that neither stops nor was paused.
func calm(current *table.Table, upstreams *board.Board) relay.Config {
	never := func() bool { return false }
	neither := func(context.Context) bool { return false }
	return relay.Config{
		Board: upstreams, Shares: usage.NewShares(time.Second), Table: func() *table.Table { return current }, RouterCount: func() int { return 1 },
		Closing: never, Draining: func(table.RouteKind) bool { return false }, Stale: never, CallerDisconnected: neither, Overloaded: neither,
		EventBatchDelay: func() time.Duration { return 0 },
		Dial:            new(net.Dialer).DialContext,
		RetryBudget:     func() budget.Config { return budget.Config{Window: time.Second, Extra: 100} },
		Meter:           noMeter{}, Logger: hclog.NewNullLogger(),
	}
}

// ask sends a request and returns the status, the body and the error of reading it.
func (fleet *fleet) ask(t *testing.T, method, body string) (*http.Response, string, error) {
	t.Helper()
	response, err := fleet.send(t, method, body, 2*time.Second)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// send sends a request whose caller waits for the given time, and does not tell it if that is 0.
func (fleet *fleet) send(t *testing.T, method, body string, patience time.Duration) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, fleet.server.URL+"/p/x?y=%2f", strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Host = "host.example"
	stand.SetCallerHeaders(request.Header, "id-1", "key", patience)
	if patience == 0 {
		request.Header.Del(stand.DeadlineHeader)
	}
	stand.SetPromptHeaders(request.Header, "subject", 5000, 4000, 10)
	return http.DefaultClient.Do(request)
}

func sealed(writer http.ResponseWriter, status int, body string) {
	stand.Seal(writer)
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

func events(writer http.ResponseWriter, first, last int) {
	for i := first; i <= last; i++ {
		fmt.Fprintf(writer, "id: %d\ndata: token\n\n", i)
	}
	_ = http.NewResponseController(writer).Flush()
}

// breakOff resets the connection in the middle of an answer.
func breakOff(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

func TestForward(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(writer http.ResponseWriter, request *http.Request, _ int) {
		body, err := io.ReadAll(request.Body)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(body), quicktest.Equals, "body")
		quicktest.Check(t, request.RequestURI, quicktest.Equals, "/p/x?y=%2f")
		quicktest.Check(t, request.Host, quicktest.Equals, "host.example")
		quicktest.Check(t, stand.Organisation(request), quicktest.Equals, "Patel")
		quicktest.Check(t, request.Header.Get("Authorization"), quicktest.Equals, "")
		writer.Header().Set("X-Other", "kept")
		sealed(writer, http.StatusCreated, "answer")
	})
	response, body, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusCreated)
	quicktest.Check(t, body, quicktest.Equals, "answer")
	quicktest.Check(t, stand.Sealed(response.Header), quicktest.IsTrue)
	quicktest.Check(t, response.Header.Get("X-Other"), quicktest.Equals, "kept")
}

func TestAttempts(t *testing.T) {
	fails := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			sealed(writer, http.StatusInternalServerError, "failed")
			return
		}
		sealed(writer, http.StatusOK, "answer")
	}
	declines := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			stand.Decline(writer)
			return
		}
		sealed(writer, http.StatusOK, "answer")
	}
	breaks := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			panic(http.ErrAbortHandler)
		}
		sealed(writer, http.StatusOK, "answer")
	}
	cuts := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			writer.Header().Set("Content-Length", "100")
			sealed(writer, http.StatusOK, "ans")
			breakOff(writer)
		}
		sealed(writer, http.StatusOK, "answer")
	}
	forged := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			_, _ = io.WriteString(writer, "not sealed")
			return
		}
		sealed(writer, http.StatusOK, "answer")
	}
	tests := map[string]struct {
		kind     table.RouteKind
		upstream upstream
		status   int
		runs     int
	}{
		"idempotent request whose upstream fails":        {table.RouteIdempotent, fails, http.StatusOK, 2},
		"request whose upstream declines":                {table.RouteOnce, declines, http.StatusOK, 2},
		"idempotent request whose connection breaks":     {table.RouteIdempotent, breaks, http.StatusOK, 2},
		"idempotent request whose answer is cut":         {table.RouteIdempotent, cuts, http.StatusOK, 2},
		"idempotent request whose answer is not sealed":  {table.RouteIdempotent, forged, http.StatusOK, 2},
		"once: the failure of the upstream is passed on": {table.RouteOnce, fails, http.StatusInternalServerError, 1},
		// 503 would promise that the request has not run.
		"once: a lost connection is no refusal":  {table.RouteOnce, breaks, http.StatusBadGateway, 1},
		"once: a cut answer is no refusal":       {table.RouteOnce, cuts, http.StatusBadGateway, 1},
		"once: a forged answer is not passed on": {table.RouteOnce, forged, http.StatusBadGateway, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := start(t, table.Route{Kind: test.kind, MaxAttempts: 2}, test.upstream, test.upstream, test.upstream)
			response, _, err := fleet.ask(t, http.MethodPost, "body")
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, response.StatusCode, quicktest.Equals, test.status)
			quicktest.Check(t, fleet.runs(), quicktest.HasLen, test.runs)
		})
	}
}

// Guards against refusals that come late or promise what is not true: nothing was sent, so 503 with a time to return.
func TestNoUpstream(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1, LatencyGoal: 100 * time.Millisecond})
	began := time.Now()
	response, _, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, time.Since(began) < time.Second, quicktest.IsTrue)
}

// Replays callers that stay with a router whose processor is not enough: it refuses them at once and closes their
// connections, instead of reading their requests seconds later.
func TestOverloaded(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(writer http.ResponseWriter, _ *http.Request, _ int) {
		sealed(writer, http.StatusOK, "answer")
	})
	fleet.overloaded.Store(true)
	response, _, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, response.Header.Get("Retry-After"), quicktest.Equals, "0.050")
	quicktest.Check(t, fleet.runs(), quicktest.HasLen, 0)
}

// Guards against a refusal of an unread request that callers understand differently from one of a request that was read.
func TestRefusalOfUnreadRequest(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1}, func(http.ResponseWriter, *http.Request, int) {})
	fleet.overloaded.Store(true)
	read, body, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	for number := range 100 {
		head := fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: host.example\r\nx-request-id: id-%d\r\nContent-Length: 4\r\n\r\nX-Request-Id: other", number)
		unread, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(fleet.relay.OverloadRefusal([]byte(head)))), nil)
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

// Replays many streams at a router whose processor is short: events are passed on several at a time, none is lost, and none
// waits for longer than callers allow.
func TestBusyRouterGathersEvents(t *testing.T) {
	const count = 60
	fleet := start(t, table.Route{Kind: table.RouteStream, MaxAttempts: 1}, func(writer http.ResponseWriter, _ *http.Request, _ int) {
		stand.Seal(writer)
		for event := 1; event <= count; event++ {
			events(writer, event, event)
			time.Sleep(5 * time.Millisecond)
		}
	})
	fleet.busy.Store(true)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fleet.server.URL+"/p/x", nil)
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

// Replays a backlog that is far beyond the goal: the request is refused at once with the time to return, and does not wait
// until it would be refused anyway.
func TestBacklogIsRefusedAtOnce(t *testing.T) {
	route := table.Route{Kind: table.RouteStream, MaxAttempts: 1, LatencyGoal: 4 * time.Second}
	fleet := startEngine(t, &table.Engine{Slots: 8, MemoryTokens: 500_000}, route,
		func(writer http.ResponseWriter, _ *http.Request, _ int) { sealed(writer, http.StatusOK, "") })
	fleet.board.SetPeer(usage.Source{Instance: "peer"}, map[uint32]board.Load{
		usage.Hash("upstream-0"): {Running: 4, QueuedTokens: 1_000_000},
	}, time.Now())
	began := time.Now()
	response, _, err := fleet.ask(t, http.MethodPost, "body")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, time.Since(began) < route.LatencyGoal/8, quicktest.IsTrue)
	quicktest.Check(t, fleet.runs(), quicktest.HasLen, 0)
}

func TestStream(t *testing.T) {
	whole := "id: 1\ndata: token\n\nid: 2\ndata: token\n\nid: 3\ndata: token\n\n"
	resumes := func(writer http.ResponseWriter, request *http.Request, number int) {
		stand.Seal(writer)
		if number == 0 {
			events(writer, 1, 2)
			// A piece of the third event must not reach the caller twice.
			_, _ = io.WriteString(writer, "id: 3\nda")
			breakOff(writer)
		}
		if last := stand.LastEventID(request); last != "2" {
			t.Errorf("resumed after event %q, want 2", last)
		}
		events(writer, 3, 3)
	}
	fails := func(writer http.ResponseWriter, _ *http.Request, number int) {
		if number == 0 {
			stand.Seal(writer)
			events(writer, 1, 2)
			breakOff(writer)
		}
		sealed(writer, http.StatusInternalServerError, "failed")
	}
	t.Run("resumed", func(t *testing.T) {
		fleet := start(t, table.Route{Kind: table.RouteStream, Resumable: true, MaxAttempts: 2}, resumes, resumes)
		_, body, err := fleet.ask(t, http.MethodPost, "body")
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, body, quicktest.Equals, whole)
	})
	t.Run("not resumable", func(t *testing.T) {
		fleet := start(t, table.Route{Kind: table.RouteStream, MaxAttempts: 2}, resumes, resumes)
		_, body, err := fleet.ask(t, http.MethodPost, "body")
		quicktest.Check(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Check(t, strings.HasPrefix(whole, body), quicktest.IsTrue)
	})
	// Guards against a failure of the second upstream that ends the answer as if it were complete.
	t.Run("resume fails", func(t *testing.T) {
		fleet := start(t, table.Route{Kind: table.RouteStream, Resumable: true, MaxAttempts: 2}, fails, fails)
		_, body, err := fleet.ask(t, http.MethodPost, "body")
		quicktest.Check(t, errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
		quicktest.Check(t, strings.HasPrefix(whole, body), quicktest.IsTrue, quicktest.Commentf("%q", body))
	})
}

// Guards against an answer to an earlier request that arrives where the next answer is due.
func TestStrayAnswer(t *testing.T) {
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
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1})
	fleet.board.Set(table.Entry{Upstream: "u", Service: "service", Address: listener.Addr().String()}, time.Now())
	_, body, err := fleet.ask(t, http.MethodGet, "")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, body, quicktest.Equals, "id-1")
}

// Guards against work that goes on at an upstream after its caller left.
func TestCallerLeaves(t *testing.T) {
	left := make(chan struct{})
	started := make(chan struct{})
	fleet := start(t, table.Route{Kind: table.RouteIdempotent, MaxAttempts: 1}, func(_ http.ResponseWriter, request *http.Request, _ int) {
		close(started)
		<-request.Context().Done()
		close(left)
	})
	conn, err := net.Dial("tcp", fleet.server.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	fmt.Fprint(conn, "GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n\r\n")
	<-started
	quicktest.Assert(t, conn.Close(), quicktest.IsNil)
	<-left
}

func TestDenied(t *testing.T) {
	fleet := start(t, table.Route{Kind: table.RouteOnce, MaxAttempts: 1})
	tests := map[string]struct {
		head   string
		status string
	}{
		"unknown key":  {"GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer other\r\n", "401"},
		"no key":       {"GET /p/ HTTP/1.1\r\nHost: host.example\r\n", "401"},
		"no route":     {"GET /q/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n", "404"},
		"no host":      {"GET /p/ HTTP/1.1\r\nHost: other.example\r\nAuthorization: Bearer key\r\n", "404"},
		"bad deadline": {"GET /p/ HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n" + stand.DeadlineHeader + ": soon\r\n", "400"},
		"bad framing":  {"POST /p/ HTTP/1.1\r\nHost: host.example\r\nTransfer-Encoding: other\r\n", "501"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", fleet.server.Listener.Addr().String())
			quicktest.Assert(t, err, quicktest.IsNil)
			defer conn.Close()
			fmt.Fprint(conn, test.head+"\r\n")
			line, err := bufio.NewReader(conn).ReadString('\n')
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, strings.Fields(line)[1], quicktest.Equals, test.status)
		})
	}
}

// Replays an organisation whose callers stay with a router that serves a tenth of them, beside one that gets eight times as much at
// other routers. Guards against shares that take the first for one that asks for little: refused requests count as asked, whether
// they were read or not, and the second is above its share then.
func TestRefusedRequestsAreAsked(t *testing.T) {
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
			config := calm(current, board.New(board.Config{}))
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
