package router

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/route/call"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// Router is the daemon of one entry instance: it takes requests of callers, places them fairly, and runs them on the
// upstreams that it owns.
type Router struct {
	config Config
	logger hclog.Logger

	clock     *event.Clock
	ring      *event.Ring
	discloser *event.Discloser
	meter     *telem.Meter
	authority *auth.Authenticator

	replica *state.Replica
	keeper  *lease.Keeper
	members *member.Detector
	control *plog.Writer
	events  *plog.Writer
	fleet   *peer.Fleet

	entry    *sched.Entry
	owner    *sched.Owner
	models   *infer.Client
	services *call.Client
	claims   *claims
	jobs     *jobs
	costs    *costs
	usage    *usage
	// requests counts the requests forwarded to this router, and arrivals those of its own callers.
	requests  *requests
	arrivals  *requests
	loads     *loads
	markers   *markers
	instances *instances

	// ctx ends when the router stops; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	session    atomic.Int64
	assignment atomic.Pointer[assignment]
	// assigning serialises changes of the assignment.
	assigning sync.Mutex
	state     atomic.Int32
	// held is set while an owned upstream waits for its previous owner to stop.
	held atomic.Bool
	// loaded is set when the state has been read from the log or from a peer.
	loaded  atomic.Bool
	logLost atomic.Bool
	// leaving holds the sessions of routers that said that they drain.
	leaving   sync.Map
	drain     chan struct{}
	drainOnce sync.Once

	callerListener, peerListener, adminListener net.Listener
	callerServer, adminServer                   *http.Server
	peerServer                                  *grpc.Server
}

// New returns a router that has opened its listeners and done nothing else. Run must be called, which closes them.
func New(ctx context.Context, config Config) (*Router, error) {
	router := &Router{config: config.withDefaults(), drain: make(chan struct{})}
	router.logger = router.config.Logger.With("Instance", config.Settings.Name, "Zone", config.Settings.Zone)
	router.ctx, router.cancel = context.WithCancel(context.WithoutCancel(ctx))
	router.session.Store(int64(clementinewind.NoSession))
	if err := router.listen(ctx); err != nil {
		router.closeListeners()
		return nil, err
	}
	if err := router.build(); err != nil {
		router.closeListeners()
		return nil, err
	}
	return router, nil
}

func (router *Router) listen(ctx context.Context) error {
	settings := router.config.Settings
	for _, listen := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"callers", settings.CallerListen.String(), &router.callerListener},
		{"peers", settings.PeerListen.String(), &router.peerListener},
		{"administration", settings.AdminListen.String(), &router.adminListener},
	} {
		listener, err := router.config.Listen(ctx, "tcp", listen.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", listen.name)
		}
		*listen.listener = listener
	}
	router.config.Settings.CallerAdvertise = chosen(settings.CallerAdvertise, router.callerListener)
	router.config.Settings.PeerAdvertise = chosen(settings.PeerAdvertise, router.peerListener)
	return nil
}

// chosen returns an address with the port that the system chose, if it has none.
func chosen(address netip.AddrPort, listener net.Listener) netip.AddrPort {
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if address.Port() != 0 || err != nil {
		return address
	}
	return netip.AddrPortFrom(address.Addr(), bound.Port())
}

func (router *Router) closeListeners() {
	for _, listener := range []net.Listener{router.callerListener, router.peerListener, router.adminListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

// build creates the parts of the router.
func (router *Router) build() error {
	settings := router.config.Settings
	router.clock = event.NewClock(event.ClockConfig{})
	router.control = plog.NewWriter(plog.WriterConfig{Log: router.config.Log, Stream: clementinewind.ControlStream})
	router.events = plog.NewWriter(plog.WriterConfig{Log: router.config.Log, Stream: clementinewind.EventStream})
	router.discloser = event.NewDiscloser(event.DiscloserConfig{
		Instance: settings.Name, Zone: settings.Zone, Clock: router.clock, Appender: router.events, Logger: router.logger,
	})
	router.ring = event.NewRing(event.RingConfig{
		Instance: settings.Name, Zone: settings.Zone, Clock: router.clock, Size: settings.Events,
		// An event names its instance and zone itself.
		Logger:    router.config.Logger,
		Discloser: router.discloser,
	})
	var err error
	router.meter, err = telem.New(telem.Config{
		Instance: settings.Name, Zone: settings.Zone, State: router.telemetry, Ready: router.ready, Pprof: settings.Pprof,
		Logger: router.logger,
	})
	if err != nil {
		return err
	}
	router.replica = state.New(state.Config{})
	router.authority = auth.New(auth.Config{Store: tokens{router.replica}, Logger: router.logger})
	router.keeper = lease.New(lease.Config{Neighbours: member.Neighbours})
	router.instances = newInstances()
	router.members = member.New(member.Config{Keeper: router.keeper, InstanceGone: router.instances.gone})
	router.fleet = peer.NewFleet(router.peerConfig())
	router.buildScheduler()
	router.models = infer.New(infer.Config{Dial: router.config.Dial})
	router.services = call.New(call.Config{Dial: router.config.Dial})
	router.claims = newClaims(router)
	router.jobs = newJobs()
	router.costs = newCosts()
	router.usage = newUsage()
	router.requests = newRequests()
	router.arrivals = newRequests()
	router.loads = newLoads(router)
	router.markers = newMarkers()
	router.assignment.Store(newAssignment(clementinewind.NoSession, router.replica.View()))
	router.buildServers()
	return nil
}

func (router *Router) buildScheduler() {
	router.entry = sched.NewEntry(sched.EntryConfig{
		Send: router.fleet.Send,
		Limits: func(organisation clementinewind.Organisation) fair.Limits {
			settings, ok := router.replica.View().Tree.Organisation(organisation)
			if !ok {
				return fair.Limits{Weight: tree.DefaultWeight}
			}
			return fair.Limits{
				Weight: settings.Weight, Running: settings.MaxRunning, Queued: settings.MaxQueued, Rate: settings.RatePerSecond,
			}
		},
	})
	router.owner = sched.NewOwner(sched.OwnerConfig{
		Self: clementinewind.NoSession,
		Send: router.fleet.Send,
		Home: func(key fair.Key) clementinewind.Session {
			home, ok := router.assignment.Load().ring.Owner(string(key.Organisation))
			if !ok {
				return clementinewind.NoSession
			}
			return home.ID
		},
		Weight: func(key fair.Key) float64 {
			if settings, ok := router.replica.View().Tree.Organisation(key.Organisation); ok {
				return settings.Weight
			}
			return tree.DefaultWeight
		},
		MaySend: router.keeper.MayServe,
		Changed: router.upstreamChanged,
	})
}

// upstreamChanged records a change of the state of an upstream that this router owns.
func (router *Router) upstreamChanged(upstream clementinewind.Upstream, state clementinewind.UpstreamState, sign admit.Sign) {
	kinds := map[clementinewind.UpstreamState]clementinewind.EventKind{
		clementinewind.UpstreamCold:    clementinewind.EventColdStart,
		clementinewind.UpstreamWarm:    clementinewind.EventWarm,
		clementinewind.UpstreamEjected: clementinewind.EventEjected,
	}
	if kind, ok := kinds[state]; ok {
		router.record(clementinewind.Event{Kind: kind, Upstream: upstream, Detail: sign.String()})
	}
}

func (router *Router) record(event clementinewind.Event) {
	router.ring.Record(event)
}

// currentSession returns the session of this router, or NoSession before it has opened one.
func (router *Router) currentSession() clementinewind.Session {
	return clementinewind.Session(router.session.Load())
}

// Run runs the router until ctx ends, which ends requests in progress with typed outcomes, or until it has drained.
func (router *Router) Run(ctx context.Context) error {
	defer router.closeListeners()
	defer router.cancel()
	stop := context.AfterFunc(ctx, router.cancel)
	defer stop()
	router.record(clementinewind.Event{Kind: clementinewind.EventStarted})
	var group run.Group
	add := func(actor func(ctx context.Context) error) {
		actorCtx, cancel := context.WithCancel(router.ctx)
		group.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	for _, actor := range []func(ctx context.Context) error{
		router.ring.Run, router.control.Run, router.events.Run, router.discloser.Run,
		router.entry.Run, router.owner.Run,
		router.serveCallers, router.servePeers, router.serveAdmin,
		router.follow, router.holdSession, router.watchMembers, router.takeOver, router.followInstances, router.writeSnapshots, router.awaitDrain,
	} {
		add(actor)
	}
	err := group.Run()
	router.cancel()
	router.claims.close()
	router.loads.close()
	router.fleet.Close()
	router.models.Close()
	router.services.Close()
	router.record(clementinewind.Event{Kind: clementinewind.EventStopped})
	if errors.Is(err, errDrained) || ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// CallerAddress returns the address on which the router serves callers and operators.
func (router *Router) CallerAddress() net.Addr { return router.callerListener.Addr() }

// Ready returns nil when the router takes work, and otherwise the reason why it does not.
func (router *Router) Ready() error { return router.ready() }

// AdminAddress returns the address on which the router serves metrics and health.
func (router *Router) AdminAddress() net.Addr { return router.adminListener.Addr() }

// requests counts the requests in progress.
type requests struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func newRequests() *requests {
	requests := &requests{idle: make(chan struct{})}
	close(requests.idle)
	return requests
}

// begin counts a request and returns the function that ends it.
func (requests *requests) begin() func() {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	if requests.count == 0 {
		requests.idle = make(chan struct{})
	}
	requests.count++
	var once sync.Once
	return func() { once.Do(requests.end) }
}

func (requests *requests) end() {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.count--
	if requests.count == 0 {
		close(requests.idle)
	}
}

// running returns the number of requests in progress.
func (requests *requests) running() int {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	return requests.count
}

// done returns a channel that is closed while no request is in progress.
func (requests *requests) done() <-chan struct{} {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	return requests.idle
}
