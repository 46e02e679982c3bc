package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/gate"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/boot"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// locateTTL is how long callers may cache a response of Locate: long enough to keep the rate of lookups low, short
	// enough that few callers still use a router that stops.
	locateTTL = time.Second
	// Fractions of the grace period after which new streams are refused, after which all new requests and connections
	// are refused at the latest, and after which the process exits whatever still runs. The refusals begin late because
	// some callers cache addresses for three times locateTTL and some stay with one router.
	streamRefusalFraction  = 0.35
	requestRefusalFraction = 0.8
	exitFraction           = 0.92
	// flushFraction is the fraction of the grace period reserved for flushing the last responses.
	flushFraction = 0.05
	// heldMemoryFraction is the fraction of the memory that callers and upstreams may hold. As much again may be garbage that was not
	// collected yet.
	heldMemoryFraction = 0.25
	// drainPollInterval is how often a draining router checks whether it is idle. It exits after idlePollsBeforeExit
	// idle polls in a row, because a request that has just been accepted is not counted yet.
	drainPollInterval   = 50 * time.Millisecond
	idlePollsBeforeExit = 4
)

// Config configures a Router.
type Config struct {
	Settings conf.Entry
	Meter    Meter
	Logger   hclog.Logger
}

// Meter records the metrics of a router.
type Meter interface {
	relay.Meter
	// StoreCall records a call to the platform's store.
	StoreCall(call string, status int, took time.Duration)
	// Handler serves the metrics.
	Handler() http.Handler
}

// Router serves callers over HTTP. It finds its peers through the platform's store and shares state with them by gossip.
type Router struct {
	settings atomic.Pointer[conf.Entry]
	config   Config

	roster *roster.Roster
	board  *board.Board
	shares *usage.Shares
	poison *poison.Registry
	view   *view.View
	relay  *relay.Relay
	// memory limits what callers and upstreams make the router hold.
	memory *bound.Budget
	store  *platform.Store
	topics topics
	// quarantines keeps the prompt parts in quarantine in the store.
	quarantines *quarantineRecords
	rollouts    *rollouts
	// origins keeps at which versions streams began.
	origins *origins
	// gossiper and callers, which accepts the connections of callers, are nil until Run.
	gossiper atomic.Pointer[gossip.Gossip]
	callers  atomic.Pointer[gate.Listener]

	// era is the last era of the store in which it is known to have come back from a copy. eraBegan receives after it has changed.
	era      atomic.Int64
	eraBegan chan struct{}
	// registrationLost is set while the store may have lost the registration of this router; registrationWanted receives then.
	registrationLost   atomic.Bool
	registrationWanted chan struct{}

	// started is when the process started. discovered is set after the first attempt to discover peers.
	started    time.Time
	discovered atomic.Bool

	inFlight    atomic.Int64
	requestRate *rateMeter
	cpu         cpuMonitor
	draining    atomic.Bool
	// refusingStreams and refusingAll are set while new streams, or all new requests, are refused because the router is
	// draining.
	refusingStreams atomic.Bool
	refusingAll     atomic.Bool
	// exitAt is when a draining router stops at the latest; nil before.
	exitAt        atomic.Pointer[time.Time]
	stopRequested chan struct{}
	stopCalled    atomic.Bool
}

// New returns a router that does not serve until Run is called.
func New(config Config) *Router {
	router := &Router{
		config: config, started: time.Now(), stopRequested: make(chan struct{}), requestRate: newRateMeter(config.Settings.CoreShare),
		eraBegan: make(chan struct{}, 1), registrationWanted: make(chan struct{}, 1),
	}
	router.settings.Store(&config.Settings)
	settings := config.Settings
	self := roster.Member{
		Instance: settings.Name, Zone: settings.Zone, Incarnation: time.Now().UnixNano(),
		CallerAddress: settings.CallerListen.String(), PeerAddress: router.peerAddress().String(), Cores: settings.CoreShare,
	}
	router.roster = roster.New(roster.Config{Self: self})
	router.board = board.New(board.Config{
		ColdRatio: settings.ColdRatio, ColdExtra: settings.ColdExtra,
		Owns: func(upstream clementinewind.Upstream) bool { return router.roster.Owns(string(upstream), time.Now()) },
	})
	router.shares = usage.NewShares(settings.ShareWindow)
	router.poison = poison.New(poison.Config{
		Owns: router.ownsPart, OnQuarantine: func() { router.relay.WithdrawQuarantined() }, Logger: config.Logger,
	})
	router.poison.Allow(settings.AllowedParts)
	router.quarantines = &quarantineRecords{router: router, stored: map[prompt.PartHash]bool{}}
	router.rollouts = &rollouts{router: router, failures: map[table.Service]failure{}, ordered: make(chan struct{}, 1), registry: canary.New(canary.Config{
		Share: settings.RolloutShare, RollbackTime: settings.RollbackTime, Loads: router.board.Versions, Logger: config.Logger,
	})}
	router.view = view.New(view.Config{
		Board: router.board, Logger: config.Logger,
		OnRemoved: func(upstream clementinewind.Upstream) { router.relay.RemoveUpstream(upstream) },
	})
	router.memory = bound.NewBudget(int64(heldMemoryFraction * float64(settings.MemoryBytes)))
	storeDialer, upstreamDialer := dialer(0), dialer(receiveBuffer(settings))
	router.store = platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress.String(), Dial: storeDialer.DialContext, Observe: config.Meter.StoreCall, OnEra: router.beginEra,
	})
	router.origins = newOrigins(router)
	router.relay = relay.New(relay.Config{
		Origins: router.origins, Zone: settings.Zone, Board: router.board, Shares: router.shares, Poison: router.poison, Table: router.view.Table, Rollouts: router.rollouts.registry,
		RouterCount: router.roster.Count,
		Memory:      router.memory, MaxConnections: socketsFor(settings, upstreamSocketFraction),
		Closing: router.shouldCloseConnections, Draining: router.drainRefuses, Stale: router.stale, CallerDisconnected: callerDisconnected,
		Overloaded: router.shouldShed, EventBatchDelay: router.eventBatchDelay,
		Dial: upstreamDialer.DialContext, ProcessStalled: router.cpu.recentlyDelayed, RetryBudget: router.retryBudget,
		Meter: config.Meter, Logger: config.Logger,
	})
	router.topics = newTopics(router)
	router.cpu.shed = newShedController(settings.MaxRefusedFraction)
	router.cpu.pauseDetector = boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: boot.Now, PauseThreshold: pauseThreshold, StaleTimeout: pauseStaleTimeout,
		RefreshedAt: router.topics.currentAsOf, OnResume: router.afterPause,
	})
	return router
}

func (router *Router) retryBudget() budget.Config {
	settings := router.settings.Load()
	return budget.Config{Window: settings.RetryWindow, Ratio: settings.RetryRatio, Extra: settings.RetryExtra}
}

// peerAddress returns the first of the ports reserved for traffic between routers.
func (router *Router) peerAddress() netip.AddrPort {
	settings := router.settings.Load()
	return netip.AddrPortFrom(settings.CallerListen.Addr(), uint16(settings.FirstPort))
}

// ready reports whether the router can serve requests.
func (router *Router) ready() bool {
	callers := router.callers.Load()
	return !router.draining.Load() && router.view.Table() != nil && router.board.Count() > 0 &&
		!router.rollouts.registry.Awaiting() && (callers == nil || !callers.Full())
}

// stale reports whether this router may have missed recent changes, because the process was paused or has too little
// processor time to keep reading.
func (router *Router) stale() bool {
	return router.cpu.pauseDetector.Stale() || (router.cpu.overloaded() && router.topics.stale())
}

// drainRefuses reports whether requests of a kind are refused because the router is draining. Once streams are refused, so are requests
// that may not end before the router exits.
func (router *Router) drainRefuses(kind table.RouteKind, endsBy time.Time) bool {
	if router.refusingAll.Load() || !router.refusingStreams.Load() {
		return router.refusingAll.Load()
	}
	exitAt := router.exitAt.Load()
	return kind == table.RouteStream || (exitAt != nil && endsBy.After(*exitAt))
}

// shouldShed decides whether a request is refused because the processor is overloaded. For the first request of a
// connection that was decided when the connection was accepted.
func (router *Router) shouldShed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*gate.Conn)
	return (!ok || !conn.TakeAdmission()) && router.cpu.shouldRefuse()
}

// eventBatchDelay returns how long stream events are held back to be sent in a batch.
func (router *Router) eventBatchDelay() time.Duration {
	return router.cpu.batchDelay(router.settings.Load().EventDelay)
}

// afterPause discards and rereads state that became outdated while the process was paused.
func (router *Router) afterPause(paused time.Duration) {
	router.config.Logger.Warn("process was paused, refreshing state", "Paused", paused)
	router.topics.readNow()
	if gossiper := router.gossiper.Load(); gossiper != nil {
		gossiper.DiscardZoneState()
	}
}

// updateSelf updates the state of this router in its roster.
func (router *Router) updateSelf() {
	load := router.requestRate.measure(time.Now())
	if router.cpu.overloaded() {
		load = max(load, roster.OverloadedRPSPerCore)
	}
	router.roster.RecordStoreReached(router.topics.store.lastReachedAt())
	router.roster.UpdateSelf(router.ready(), router.draining.Load(), router.topics.store.reachable(), load)
}

func (router *Router) locate(zone clementinewind.Zone, caller string) ([]string, time.Duration) {
	router.updateSelf()
	return router.roster.Addresses(zone, caller, time.Now()), min(locateTTL, router.settings.Load().AddressTimeToLive)
}

// Reload applies new settings. Changed listen addresses take effect only at the next start.
func (router *Router) Reload(settings conf.Entry) {
	router.settings.Store(&settings)
	router.poison.Allow(settings.AllowedParts)
	router.config.Logger.Info("settings reloaded", "Name", settings.Name)
}

// Run serves until Stop is called and all requests have ended, or until the context ends.
func (router *Router) Run(ctx context.Context) error {
	settings := router.settings.Load()
	logger := router.config.Logger
	conn, err := net.ListenPacket("udp4", router.peerAddress().String())
	if err != nil {
		return errors.Wrap(err, "listen for gossip")
	}
	defer conn.Close()
	gossiper := gossip.New(gossip.Config{
		Conn: conn, Roster: router.roster, Board: router.board, Shares: router.shares, Poison: router.poison, Canary: router.rollouts.registry, Offsets: router.topics.offsets,
		OnPeerAhead: router.topics.observePeerOffsets, ConfigurationVersion: router.configurationVersion, Refresh: router.updateSelf, Logger: logger,
	})
	router.gossiper.Store(gossiper)
	callers, err := router.callerServer()
	if err != nil {
		return err
	}
	servers := []*server{callers}
	for _, other := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		gate    gate.Config
	}{
		{"Ready", settings.ReadyListen, platform.ReadyHandler(router.ready), gate.Config{}},
		{
			"Locate", settings.LocateListen, platform.LocateHandler(router.locate, logger),
			gate.Config{
				MaxConnections: min(maxLocateConnections, socketsFor(*settings, locateSocketFraction)), IdleTimeout: router.idleTimeout,
				ReceiveBuffer: minReceiveBytes, Memory: router.memory,
			},
		},
		{"Peer", router.peerAddress(), gossip.FeedHandler(router.topics.mirrors(), logger), gate.Config{}},
		{"Metrics", settings.MetricsListen, router.config.Meter.Handler(), gate.Config{}},
	} {
		if !other.address.IsValid() {
			continue
		}
		started, err := listen(other.address, other.handler, other.gate, logger)
		if err != nil {
			return errors.Wrapf(err, "listen at [Listen] %s", other.name)
		}
		servers = append(servers, started)
	}
	logger.Info("started", "Instance", settings.Name, "Zone", settings.Zone, "Callers", settings.CallerListen, "Store", settings.StoreAddress)
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actor := func(work func(ctx context.Context) error) {
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	actor(router.topics.operator.follower.Run)
	actor(router.topics.upstreams.follower.Run)
	actor(router.topics.retryStore)
	actor(router.joinFleet)
	actor(router.followEras)
	actor(router.cpu.run)
	actor(router.relay.LogLoad)
	actor(router.quarantines.run)
	actor(router.rollouts.run)
	actor(router.origins.list)
	actor(router.origins.store)
	actor(gossiper.Send)
	group.Add(func() error { return gossiper.Receive(ctx) }, func(error) { cancel(); conn.Close() })
	for _, server := range servers {
		group.Add(server.serve, func(error) { server.close() })
	}
	group.Add(func() error { return router.drain(ctx, callers) }, func(error) { cancel() })
	err = group.Run()
	logger.Info("stopped", "Instance", settings.Name, "InFlight", router.inFlight.Load())
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// State returns the current state for the metrics.
func (router *Router) State() telem.EntryState {
	state := telem.EntryState{
		Ready: router.ready(), Version: router.configurationVersion(), Routers: len(router.roster.Alive(time.Now())), Upstreams: router.board.Count(),
		InFlight: router.inFlight.Load(), RefusedFraction: router.cpu.shed.RefusedFraction(), CaughtUpAge: boot.Now(), Memory: router.memory.State(),
	}
	if callers := router.callers.Load(); callers != nil {
		state.Connections = callers.Open()
	}
	state.SuspectedParts, state.QuarantinedParts = router.poison.Counts(time.Now())
	state.RolloutsServing, state.RolloutsComplete, state.RolloutsRolledBack = router.rollouts.registry.Counts()
	state.StreamVersions, state.Streams = router.origins.registry.Counts()
	if asOf := router.topics.currentAsOf(); asOf > 0 {
		state.CaughtUpAge -= asOf
	}
	return state
}

func (router *Router) configurationVersion() int64 {
	if current := router.view.Table(); current != nil {
		return int64(current.Version())
	}
	return 0
}

// shouldCloseConnections reports whether a caller should not leave its connection open, or open its next one to another router.
func (router *Router) shouldCloseConnections() bool {
	if callers := router.callers.Load(); callers != nil && callers.NearlyFull() {
		return true
	}
	return router.draining.Load() || router.cpu.overloaded() || rand.Float64() < router.roster.ExcessFraction(time.Now())
}

// refusalResponse returns the response to a request that is refused before the HTTP server reads it.
func (router *Router) refusalResponse(head []byte) []byte {
	router.requestRate.requests.Add(1)
	return router.relay.OverloadRefusal(head)
}

// countRequests counts the requests that a handler serves.
func (router *Router) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		router.inFlight.Add(1)
		router.requestRate.requests.Add(1)
		defer router.inFlight.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// errDrained ends the run group after a graceful stop.
var errDrained = errors.New("drained")

// Stop starts the drain. Further calls have no effect.
func (router *Router) Stop() {
	if router.stopCalled.CompareAndSwap(false, true) {
		close(router.stopRequested)
	}
}

// drain waits for Stop and then shuts down in steps. Callers are told to connect elsewhere at once. After streamRefusalFraction new
// streams are refused, which could no longer end in time, and other requests that may not end before the exit. All requests are refused
// from then on if the router is idle, and otherwise after requestRefusalFraction. Until then requests are served, because in a rolling
// restart callers with cached addresses still arrive while the last streams run. What still runs at exitFraction gets an error as its
// answer.
func (router *Router) drain(ctx context.Context, callers *server) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-router.stopRequested:
	}
	drainStart := time.Now()
	grace := router.settings.Load().Grace
	router.draining.Store(true)
	router.updateSelf()
	router.config.Logger.Info("stopping", "Grace", grace, "InFlight", router.inFlight.Load())
	ofGrace := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	exitAt := drainStart.Add(ofGrace(exitFraction))
	router.exitAt.Store(&exitAt)
	callers.flushTimeoutNanos.Store(int64(ofGrace(flushFraction)))
	refusingAll, idlePolls := false, 0
	for ; ; time.Sleep(drainPollInterval) {
		elapsed, idle := time.Since(drainStart), router.inFlight.Load() == 0 && callers.listener.PendingRefusals() == 0
		router.refusingStreams.Store(elapsed >= ofGrace(streamRefusalFraction))
		if !refusingAll && (elapsed >= ofGrace(requestRefusalFraction) || (elapsed >= ofGrace(streamRefusalFraction) && idle)) {
			refusingAll = true
			router.refusingAll.Store(true)
			callers.stopAccepting()
		}
		if idlePolls++; !refusingAll || !idle {
			idlePolls = 0
		}
		if idlePolls >= idlePollsBeforeExit || elapsed >= ofGrace(exitFraction) {
			router.relay.Stop()
			return errDrained
		}
	}
}
