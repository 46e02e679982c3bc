package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// defaultTimeout applies when neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxStreamDuration replaces defaultTimeout for streams; no healthy stream takes as long.
	maxStreamDuration = time.Hour
	// defaultMaxBodyBytes limits request bodies if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// unconfiguredRetryAfter is the Retry-After while the router has no usable configuration.
	unconfiguredRetryAfter = 200 * time.Millisecond
	// overloadRetryAfter is the Retry-After of an overloaded router. It is short because the retry opens a new connection,
	// which probably reaches another router.
	overloadRetryAfter = 50 * time.Millisecond
	overloadDetail     = "router is overloaded"
	// defaultMemoryBytes is the default of Config.Memory. Each answer may hold freeBufferBytes beside it, which is more than an event.
	defaultMemoryBytes = 32 << 20
	freeBufferBytes    = 16 << 10
	// connectionFraction is the fraction of an upstream's connection limit that all routers together use. The rest is left for
	// health checks and for closed connections that the upstream still counts.
	connectionFraction = 0.8
	// maxUpstreamDivisor divides the connections to all upstreams; the quotient is what a single one, which may not answer, can use.
	maxUpstreamDivisor = 2
	// minConnections is the connection limit of a router if the others use up the rest.
	minConnections = 8
)

// Config configures a Relay.
type Config struct {
	Zone   clementinewind.Zone
	Board  *board.Board
	Shares *usage.Shares
	// Poison holds the prompt parts that crash upstreams; nil is a registry that no other router knows.
	Poison *poison.Registry
	// Table returns the configuration in force, or nil before the first one.
	Table func() *table.Table
	// Rollouts says which versions of a service may get requests; nil means all.
	Rollouts *canary.Registry
	// Origins tells at which versions streams began; nil lets streams that callers take up go on at any version.
	Origins Origins
	// RouterCount returns the number of known routers, including this one and unreachable ones.
	RouterCount func() int
	// Memory limits what callers and upstreams make the router hold; nil is a budget of 32 MiB.
	Memory *bound.Budget
	// MaxConnections limits the connections to all upstreams together; 0 means no limit.
	MaxConnections int
	// Closing reports whether answers close the caller's connection, so that the next one is opened to another router.
	Closing func() bool
	// Draining reports whether requests of a route kind that end by a time are refused because the router is shutting down.
	Draining func(kind table.RouteKind, endsBy time.Time) bool
	// Stale reports whether the process was paused and has not refreshed its state since. No request is sent then.
	Stale func() bool
	// CallerDisconnected reports whether the caller whose request has this context is known to have disconnected.
	CallerDisconnected func(ctx context.Context) bool
	// Overloaded reports whether the request with this context must be shed because the CPU is overloaded.
	Overloaded func(ctx context.Context) bool
	// EventBatchDelay returns how long to collect stream events before they are forwarded together. It is 0 unless the CPU is
	// overloaded.
	EventBatchDelay func() time.Duration
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	// ProcessStalled is passed to link.Config.
	ProcessStalled func() bool
	// RetryBudget returns the retry budget of all routers together.
	RetryBudget func() budget.Config
	Meter       Meter
	Logger      hclog.Logger
}

// Meter records the metrics of a Relay.
type Meter interface {
	// Ended counts a finished request by its outcome.
	Ended(service table.Service, outcome string, took time.Duration)
	// FirstEvent records the actual and the expected time to the first event.
	FirstEvent(service table.Service, took, expected time.Duration)
	// Connected counts a new connection to an upstream.
	Connected(service table.Service)
	// LoadReport counts a report of load in an answer of an upstream by what became of it.
	LoadReport(service table.Service, result string)
	// ReportUsed records the age of the report by which an upstream was chosen; corrected is set if it said something else than was
	// known without it.
	ReportUsed(service table.Service, age time.Duration, corrected bool)
}

// Relay is an http.Handler that forwards the requests of callers to upstreams.
type Relay struct {
	config Config

	// stopped ends at Stop.
	stopped     context.Context
	stop        context.CancelFunc
	memory      *bound.Budget
	durations   durations
	overloadLog logLimiter
	// waitingBodies has one element per request body that waits for memory.
	waitingBodies chan struct{}
	// uploads limits the large bodies that an upstream has not read.
	uploads *bound.Keyed[clementinewind.Upstream]
	// connections limits the connections to all upstreams; nil means no limit.
	connections *link.Limit
	ledger      *usage.Ledger

	mutex        sync.Mutex
	pools        map[clementinewind.Upstream]*upstreamPool
	retryBudgets map[table.Service]*budget.Budget
	crashChecks  map[incarnation]*crashCheck
	// waiting holds the attempts without a response header whose prompts have shared parts.
	waiting map[*exchange]context.CancelCauseFunc
}

// New returns a Relay without connections.
func New(config Config) *Relay {
	if config.Poison == nil {
		config.Poison = poison.New(poison.Config{Logger: config.Logger})
	}
	if config.Rollouts == nil {
		config.Rollouts = canary.New(canary.Config{})
	}
	if config.Memory == nil {
		config.Memory = bound.NewBudget(defaultMemoryBytes)
	}
	limit := config.Memory.State().Limit
	stopped, stop := context.WithCancel(context.Background())
	relay := &Relay{
		config: config, stopped: stopped, stop: stop, memory: config.Memory, ledger: usage.NewLedger(),
		durations: durations{byService: map[table.Service]longest{}}, pools: map[clementinewind.Upstream]*upstreamPool{},
		retryBudgets: map[table.Service]*budget.Budget{}, crashChecks: map[incarnation]*crashCheck{},
		waiting:       map[*exchange]context.CancelCauseFunc{},
		waitingBodies: make(chan struct{}, max(1, limit/waitingDivisor/ReceiveBufferBytes)),
		uploads:       bound.NewKeyed[clementinewind.Upstream](limit / uploadDivisor),
	}
	if config.MaxConnections > 0 {
		relay.connections = link.NewLimit(config.MaxConnections, relay.freeConnections)
	}
	return relay
}

// Stop ends all requests. Those without an answer get an error, which tells whether they may have run; streams are broken off.
func (relay *Relay) Stop() { relay.stop() }

// RemoveUpstream closes the connections to an upstream that no longer exists.
func (relay *Relay) RemoveUpstream(upstream clementinewind.Upstream) {
	relay.mutex.Lock()
	pool, ok := relay.pools[upstream]
	delete(relay.pools, upstream)
	relay.mutex.Unlock()
	if ok {
		pool.Close()
	}
}

// freeConnections closes the idle connections to all upstreams. If the limit is still reached, it makes the caller that has read nothing
// for longest lose its answer, whose connection is free soon.
func (relay *Relay) freeConnections() {
	relay.mutex.Lock()
	pools := slices.Collect(maps.Values(relay.pools))
	relay.mutex.Unlock()
	for _, pool := range pools {
		pool.CloseIdle()
	}
	if relay.connections.Full() {
		relay.memory.EvictStalled(time.Now(), bound.KindAnswer, bound.KindStream)
	}
}

// upstreamPool is the connection pool of an upstream at the address of one of its incarnations.
type upstreamPool struct {
	*link.Pool
	address     string
	incarnation int64
}

// pool returns the connection pool of an upstream; others is the number of connections that other routers use.
func (relay *Relay) pool(entry table.Entry, settings table.ServiceSettings, others int) *link.Pool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	connections := max(int(connectionFraction*float64(settings.MaxConnections))-others, minConnections)
	if most := relay.config.MaxConnections / maxUpstreamDivisor; most > 0 {
		connections = min(connections, most)
	}
	if known, ok := relay.pools[entry.Upstream]; ok {
		if known.address == entry.Address || known.incarnation > entry.Incarnation {
			known.incarnation = max(known.incarnation, entry.Incarnation)
			known.SetMaxConnections(connections)
			return known.Pool
		}
		known.Close()
	}
	pool := link.New(link.Config{
		Address: entry.Address, Dial: relay.config.Dial, MaxConnections: connections, Limit: relay.connections,
		Opened: func() { relay.config.Meter.Connected(entry.Service) }, ProcessStalled: relay.config.ProcessStalled,
	})
	relay.pools[entry.Upstream] = &upstreamPool{Pool: pool, address: entry.Address, incarnation: entry.Incarnation}
	return pool
}

// retryBudget returns this router's part of a service's retry budget. Unreachable routers count too, so that the two sides of a
// network partition together stay within the budget.
func (relay *Relay) retryBudget(service table.Service) *budget.Budget {
	config := relay.config.RetryBudget()
	config.Extra /= float64(max(relay.config.RouterCount(), 1))
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	retryBudget, ok := relay.retryBudgets[service]
	if !ok {
		retryBudget = budget.New(config)
		relay.retryBudgets[service] = retryBudget
	}
	retryBudget.SetConfig(config)
	return retryBudget
}

// ServeHTTP implements http.Handler.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{
		relay: relay, writer: writer, request: request, arrived: time.Now(), logger: relay.config.Logger, endStream: func(bool) {},
	}
	if relay.config.Closing() {
		writer.Header().Set("Connection", "close")
	}
	if relay.config.Overloaded(request.Context()) {
		// Another router serves the request sooner if the caller retries on a new connection.
		exchange.call.RequestID = platform.RequestID(request.Header)
		if call, err := platform.DecodeRequest(request.Header); err == nil {
			relay.recordRefusedDemand(call.Key, call.Prompt.InputTokens, call.Prompt.OutputTokens)
		}
		exchange.rejectUnavailable(clementinewind.ReasonBusy, overloadRetryAfter, overloadDetail)
		return
	}
	if !exchange.admit() || !exchange.readBody() {
		return
	}
	defer exchange.releaseMemory()
	exchange.run()
}

// admit matches the route and authenticates the caller. If it returns false, it has answered the request.
func (exchange *exchange) admit() bool {
	call, err := platform.DecodeRequest(exchange.request.Header)
	exchange.call = call
	if err != nil {
		return exchange.reject(http.StatusBadRequest, clementinewind.ReasonInvalid, err.Error())
	}
	current := exchange.relay.config.Table()
	if current == nil {
		return exchange.rejectUnavailable(clementinewind.ReasonStale, unconfiguredRetryAfter, "no configuration yet")
	}
	exchange.table = current
	if !strings.HasPrefix(exchange.request.RequestURI, "/") {
		return exchange.reject(http.StatusBadRequest, clementinewind.ReasonInvalid, "the target is not a path")
	}
	path, _, _ := strings.Cut(exchange.request.RequestURI, "?")
	route, ok := current.Match(exchange.request.Host, path)
	if !ok {
		return exchange.reject(http.StatusNotFound, clementinewind.ReasonInvalid, "no route")
	}
	exchange.route = route
	if current.RequiresKey() {
		organisation, known := current.Organisation(call.Key)
		if !known && !route.Anonymous {
			return exchange.reject(http.StatusUnauthorized, clementinewind.ReasonUnauthorized, "unknown key")
		}
		exchange.organisation = organisation
	}
	// Traffic splitting needs no cryptographic randomness.
	service, ok := route.ChooseService(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if !ok {
		return exchange.rejectUnavailable(clementinewind.ReasonNoCapacity, unconfiguredRetryAfter, "the route has no service")
	}
	exchange.service = current.Service(service)
	exchange.setDeadline()
	if exchange.relay.config.Draining(exchange.route.Kind, exchange.endsBy()) {
		return exchange.rejectUnavailable(clementinewind.ReasonShutdown, 0, "router stops")
	}
	return true
}

func (exchange *exchange) setDeadline() {
	timeout := exchange.call.Timeout
	if routeTimeout := exchange.route.Timeout; routeTimeout > 0 && (timeout == 0 || routeTimeout < timeout) {
		timeout = routeTimeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
		// The duration of a stream is not known in advance; it is cut only if it stalls.
		if exchange.noTimeLimit = exchange.route.Kind == table.RouteStream; exchange.noTimeLimit {
			timeout = maxStreamDuration
		}
	}
	exchange.deadline = exchange.arrived.Add(timeout)
}
