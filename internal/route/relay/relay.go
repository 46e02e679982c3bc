package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// defaultPatience bounds requests of callers that do not tell how long they wait, on routes without a time-out.
	defaultPatience = 30 * time.Second
	// streamLimit bounds streams of such callers; it is above the time that any sound one takes.
	streamLimit = time.Hour
	// defaultBodyBytes bounds bodies while the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// startRetry is when to return to a router that knows no configuration yet.
	startRetry = 200 * time.Millisecond
	// overloadRetry is when to return after a refusal by an overloaded router, on a new connection and probably elsewhere.
	overloadRetry = 50 * time.Millisecond
	// overloadDetail tells the caller why.
	overloadDetail = "router is overloaded"
	// connectionShare is the part of an upstream's connections that all routers together use. The rest is for health checks
	// and for connections that the upstream still counts after they were closed.
	connectionShare = 0.8
	// fewestConnections are allowed to each router, whatever the others use.
	fewestConnections = 8
)

// Config configures a Relay.
type Config struct {
	Zone   clementinewind.Zone
	Board  *board.Board
	Shares *usage.Shares
	// Table returns the configuration in force, or nil before the first one.
	Table func() *table.Table
	// RouterCount returns the size of the fleet.
	RouterCount func() int
	// Closing reports whether callers should open their next connection elsewhere, Refusing whether requests of a kind are refused
	// because the router stops.
	Closing  func() bool
	Draining func(kind table.RouteKind) bool
	// Stale reports whether the process was paused and does not know yet what changed meanwhile; nothing is sent then.
	Stale func() bool
	// CallerDisconnected reports whether the caller of the request with this context is known to have left.
	CallerDisconnected func(ctx context.Context) bool
	// Overloaded decides for the request with this context whether it is refused because the processor is not enough for all.
	Overloaded func(ctx context.Context) bool
	// EventBatchDelay returns how long events of a stream gather before they are passed on together; it is 0 unless the processor is
	// short.
	EventBatchDelay func() time.Duration
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	// ProcessStalled is that of link.Config.
	ProcessStalled func() bool
	// RetryBudget returns the bound of repeated requests for all routers together.
	RetryBudget func() budget.Config
	Meter       Meter
	Logger      hclog.Logger
}

// Meter counts what the relay does.
type Meter interface {
	// Ended counts a request by its kind of end.
	Ended(service table.Service, outcome string, took time.Duration)
	// FirstEvent tells how long an upstream took to the first event, and how long was expected.
	FirstEvent(service table.Service, took, expected time.Duration)
	// Connected counts a new connection to an upstream.
	Connected(service table.Service)
}

// Relay is an http.Handler for the requests of callers.
type Relay struct {
	config Config

	unread unread
	ledger *usage.Ledger

	mutex   sync.Mutex
	pools   map[clementinewind.Upstream]*link.Pool
	budgets map[table.Service]*budget.Budget
}

// New returns a relay.
func New(config Config) *Relay {
	return &Relay{config: config, ledger: usage.NewLedger(), pools: map[clementinewind.Upstream]*link.Pool{}, budgets: map[table.Service]*budget.Budget{}}
}

// RemoveUpstream closes the connections to an upstream that is gone.
func (relay *Relay) RemoveUpstream(upstream clementinewind.Upstream) {
	relay.mutex.Lock()
	pool, ok := relay.pools[upstream]
	delete(relay.pools, upstream)
	relay.mutex.Unlock()
	if ok {
		pool.Retire()
	}
}

// pool returns the connections to an upstream, of which others are in use by other routers.
func (relay *Relay) pool(entry table.Entry, settings table.ServiceSettings, others int) *link.Pool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	connections := max(int(connectionShare*float64(settings.MaxConnections))-others, fewestConnections)
	if pool, ok := relay.pools[entry.Upstream]; ok {
		pool.SetConnections(connections)
		return pool
	}
	pool := link.New(link.Config{
		Address: entry.Address, Dial: relay.config.Dial, Connections: connections,
		Opened: func() { relay.config.Meter.Connected(entry.Service) }, Delayed: relay.config.ProcessStalled,
	})
	relay.pools[entry.Upstream] = pool
	return pool
}

// budget returns the part of this router in the bound of a service. It counts routers that fell silent too, so that parts
// of a fleet that cannot reach each other do not exceed the bound together.
func (relay *Relay) budget(service table.Service) *budget.Budget {
	config := relay.config.RetryBudget()
	config.Extra /= float64(max(relay.config.RouterCount(), 1))
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	known, ok := relay.budgets[service]
	if !ok {
		known = budget.New(config)
		relay.budgets[service] = known
	}
	known.SetConfig(config)
	return known
}

// ServeHTTP implements http.Handler.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := &exchange{relay: relay, writer: writer, request: request, arrived: time.Now(), logger: relay.config.Logger}
	if relay.config.Closing() {
		writer.Header().Set("Connection", "close")
	}
	if relay.config.Overloaded(request.Context()) {
		// Another router serves the request sooner; the caller opens a new connection.
		exchange.call.RequestID = platform.RequestID(request.Header)
		if call, err := platform.DecodeRequest(request.Header); err == nil {
			relay.ask(call.Key, call.Prompt.InputTokens, call.Prompt.OutputTokens)
		}
		exchange.refuse(clementinewind.ReasonBusy, overloadRetry, overloadDetail)
		return
	}
	if !exchange.admit() || !exchange.read() {
		return
	}
	exchange.run()
}

// admit selects the route and checks the caller. It answers the request itself if it is not allowed.
func (exchange *exchange) admit() bool {
	call, err := platform.DecodeRequest(exchange.request.Header)
	exchange.call = call
	if err != nil {
		return exchange.deny(http.StatusBadRequest, clementinewind.ReasonInvalid, err.Error())
	}
	current := exchange.relay.config.Table()
	if current == nil {
		return exchange.refuse(clementinewind.ReasonStale, startRetry, "no configuration yet")
	}
	exchange.table = current
	if !strings.HasPrefix(exchange.request.RequestURI, "/") {
		return exchange.deny(http.StatusBadRequest, clementinewind.ReasonInvalid, "the target is not a path")
	}
	path, _, _ := strings.Cut(exchange.request.RequestURI, "?")
	route, ok := current.Match(exchange.request.Host, path)
	if !ok {
		return exchange.deny(http.StatusNotFound, clementinewind.ReasonInvalid, "no route")
	}
	exchange.route = route
	if current.Keyed() {
		organisation, known := current.Organisation(call.Key)
		if !known && !route.Anonymous {
			return exchange.deny(http.StatusUnauthorized, clementinewind.ReasonUnauthorized, "unknown key")
		}
		exchange.organisation = organisation
	}
	// The choice needs no secrecy.
	service, ok := route.Choose(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if !ok {
		return exchange.refuse(clementinewind.ReasonNoCapacity, startRetry, "the route has no service")
	}
	exchange.service = current.Service(service)
	exchange.setDeadline()
	if exchange.relay.config.Draining(exchange.route.Kind) {
		return exchange.refuse(clementinewind.ReasonShutdown, 0, "router stops")
	}
	return true
}

func (exchange *exchange) setDeadline() {
	patience := exchange.call.Timeout
	if timeout := exchange.route.Timeout; timeout > 0 && (patience == 0 || timeout < patience) {
		patience = timeout
	}
	if patience == 0 {
		patience = defaultPatience
		// The length of a stream is not known in advance; only a stalled one is cut.
		if exchange.unbounded = exchange.route.Kind == table.RouteStream; exchange.unbounded {
			patience = streamLimit
		}
	}
	exchange.deadline = exchange.arrived.Add(patience)
}

// read reads the body of the request.
func (exchange *exchange) read() bool {
	limit := exchange.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(exchange.writer, exchange.request.Body, limit))
	if err == nil {
		exchange.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return exchange.deny(http.StatusRequestEntityTooLarge, clementinewind.ReasonInvalid, "body too large")
	}
	if exchange.request.Context().Err() != nil {
		exchange.abandon("caller left while it sent the body")
	}
	return exchange.deny(http.StatusBadRequest, clementinewind.ReasonInvalid, err.Error())
}
