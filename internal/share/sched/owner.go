package sched

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// spareInterval is the time between two spare hints of one pool.
	spareInterval = time.Second
	// clientTime is how long a router that sent work counts as a receiver of spare hints.
	clientTime = 10 * time.Second
	// maxHints is the number of routers that receive a spare hint.
	maxHints = 16
	// maxPause is the longest time without grants for an ask whose grants expire.
	maxPause = 4 * time.Second
	// averageSamples is the number of requests over which the cost is averaged.
	averageSamples = 128
	// reportInterval is the time between service reports.
	reportInterval = 100 * time.Millisecond
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self clementinewind.Session
	Send SendFunc
	// Home returns the session that aggregates the service of an organisation.
	Home func(key fair.Key) clementinewind.Session
	// Weight returns the weight of an organisation in the settings; nil means 1.
	Weight func(key fair.Key) float64
	// MaySend reports whether this router may send new work at this moment; nil means always.
	MaySend func() bool
	// Changed is called, with internal locks held, when the state of an upstream changes; nil means never.
	Changed func(upstream clementinewind.Upstream, state clementinewind.UpstreamState, sign admit.Sign)
	// GrantLifetime takes DefaultGrantLifetime when 0.
	GrantLifetime time.Duration
	// ChargeEstimates charges the estimate of a request at dispatch, and orders by the charges alone. It exists to be
	// measured.
	ChargeEstimates bool
	// Damping takes DefaultDamping when 0.
	Damping float64
	// Quantum, FineQuantum, Budget and Credit are passed to the fair.Ledger.
	Quantum     float64
	FineQuantum float64
	Budget      float64
	Credit      float64
}

// UpstreamConfig describes an upstream that this router owns.
type UpstreamConfig struct {
	Upstream clementinewind.Upstream
	Pool     clementinewind.Pool
	// Cold and Max bound the concurrency limit.
	Cold int
	Max  int
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// PoolSize is the number of upstreams of the pool in service in the whole fleet; 0 stands for those of this owner.
	PoolSize int
	// Adopted says that a previous owner may have work in progress there.
	Adopted bool
}

// Owner admits work to the upstreams that this router owns.
type Owner struct {
	config    OwnerConfig
	mutex     sync.Mutex
	ledger    *fair.Ledger
	pools     map[clementinewind.Pool]*pool
	upstreams map[clementinewind.Upstream]*upstream
	sessions  []clementinewind.Session
	grants    map[uint64]*Slot
	// expiring holds the grants in the order of their expiry.
	expiring  []*Slot
	lastGrant uint64
	reported  time.Time
	// services holds the reports of a tick, which are sent together.
	services map[clementinewind.Session][]*peerv1.Service
}

type upstream struct {
	config  UpstreamConfig
	owned   bool
	limiter *admit.Limiter
	state   clementinewind.UpstreamState
}

func (upstream *upstream) usable() bool {
	return upstream.owned && !upstream.config.Leaving
}

// NewOwner returns an owner without upstreams.
func NewOwner(config OwnerConfig) *Owner {
	config.Damping = cmp.Or(config.Damping, DefaultDamping)
	config.GrantLifetime = cmp.Or(config.GrantLifetime, DefaultGrantLifetime)
	owner := &Owner{
		config:    config,
		pools:     make(map[clementinewind.Pool]*pool),
		upstreams: make(map[clementinewind.Upstream]*upstream),
		grants:    make(map[uint64]*Slot),
		services:  make(map[clementinewind.Session][]*peerv1.Service),
	}
	owner.ledger = fair.NewLedger(fair.LedgerConfig{
		Self: config.Self, Home: config.Home, Weight: config.Weight,
		Send: func(session clementinewind.Session, service *peerv1.Service) {
			owner.services[session] = append(owner.services[session], service)
		},
		Quantum: config.Quantum, FineQuantum: config.FineQuantum, Budget: config.Budget, Credit: config.Credit,
	})
	return owner
}

// Run does the periodic tasks until the context ends.
func (owner *Owner) Run(ctx context.Context) error {
	return runTicks(ctx, owner.Tick)
}

// Tick does the periodic tasks once: expiry of grants, service reports, ejection and spare hints.
func (owner *Owner) Tick() {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.expire(now)
	if now.Sub(owner.reported) >= reportInterval {
		owner.reported = now
		for _, key := range owner.ledger.Tick(now) {
			owner.reorder(key, now)
		}
		for _, session := range slices.Sorted(maps.Keys(owner.services)) {
			owner.config.Send(session, &peerv1.ControlFrame{Services: owner.services[session]})
		}
		clear(owner.services)
	}
	for _, pool := range owner.sortedPools() {
		if !owner.config.ChargeEstimates {
			owner.ledger.Advance(pool.name, owner.level(pool, now))
		}
		for _, demand := range pool.demands {
			owner.place(pool, demand, now)
		}
		limiters := make([]*admit.Limiter, 0, len(pool.upstreams))
		for _, upstream := range pool.upstreams {
			limiters = append(limiters, upstream.limiter)
		}
		admit.OpenBreakers(limiters, now)
		for _, upstream := range pool.upstreams {
			owner.observe(upstream)
		}
		owner.dispatch(pool, now)
		owner.hint(pool, now)
	}
}

// observe reports a change of the state of an upstream.
func (owner *Owner) observe(upstream *upstream) {
	state := upstream.limiter.State()
	if upstream.config.Leaving {
		state = clementinewind.UpstreamLeaving
	}
	if state == upstream.state {
		return
	}
	upstream.state = state
	if owner.config.Changed != nil && upstream.owned {
		owner.config.Changed(upstream.config.Upstream, state, upstream.limiter.Sign())
	}
}

// SetSessions tells which routers live. Asks and interests of the others are dropped.
func (owner *Owner) SetSessions(sessions []clementinewind.Session) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.sessions = slices.Clone(sessions)
	slices.Sort(owner.sessions)
	owner.ledger.SetSessions(owner.sessions)
	for _, pool := range owner.sortedPools() {
		for _, demand := range pool.demands {
			demand.asks = slices.DeleteFunc(demand.asks, func(ask *ask) bool {
				return !slices.Contains(owner.sessions, ask.session)
			})
			owner.settle(pool, demand, now)
		}
	}
}

// Connected tells that the control link to a session was set up again, so that reports to it may have been lost.
func (owner *Owner) Connected(session clementinewind.Session) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	owner.ledger.Connected(session)
}

// PeerConnected tells that a session has set up its control link to this router again. Its asks are dropped, because it
// repeats them.
func (owner *Owner) PeerConnected(session clementinewind.Session) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, pool := range owner.sortedPools() {
		for _, demand := range pool.demands {
			demand.asks = slices.DeleteFunc(demand.asks, func(ask *ask) bool { return ask.session == session })
			owner.settle(pool, demand, now)
		}
	}
}

// SetSelf tells that this router has opened another session.
func (owner *Owner) SetSelf(session clementinewind.Session) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	if owner.config.Self == session {
		return
	}
	owner.config.Self = session
	owner.ledger.SetSelf(session)
	for _, pool := range owner.pools {
		for _, demand := range pool.demands {
			demand.offset = owner.offset(demand.key.Organisation)
		}
	}
}

// SetUpstreams replaces the set of owned upstreams. Requests in progress at others continue; grants for them are void.
func (owner *Owner) SetUpstreams(configs []UpstreamConfig) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, upstream := range owner.upstreams {
		upstream.owned = false
	}
	for _, pool := range owner.pools {
		pool.upstreams = nil
	}
	for _, config := range configs {
		entry := owner.upstreams[config.Upstream]
		bounds := admit.Config{Cold: config.Cold, Max: config.Max, Adopted: config.Adopted}
		if entry == nil {
			entry = &upstream{limiter: admit.NewLimiter(bounds, now)}
			owner.upstreams[config.Upstream] = entry
		} else {
			entry.limiter.SetConfig(bounds)
			if entry.config.Leaving && !config.Leaving {
				entry.limiter.RecordColdStart(admit.SignNew, now)
			}
		}
		entry.config = config
		entry.owned = true
		pool := owner.pool(config.Pool)
		pool.upstreams = append(pool.upstreams, entry)
		owner.observe(entry)
	}
	for name, upstream := range owner.upstreams {
		if !upstream.owned {
			// A later return starts anew, because another owner has served the upstream in between.
			delete(owner.upstreams, name)
		}
	}
	for _, pool := range owner.sortedPools() {
		slices.SortFunc(pool.upstreams, func(a, b *upstream) int {
			return cmp.Compare(a.config.Upstream, b.config.Upstream)
		})
		owner.dispatch(pool, now)
	}
}

// HandleServices takes service reports of another router.
func (owner *Owner) HandleServices(session clementinewind.Session, services []*peerv1.Service) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, service := range services {
		if key, changed := owner.ledger.Handle(session, service, now); changed {
			owner.reorder(key, now)
		}
	}
}

// Report takes a load report of an owned upstream.
func (owner *Owner) Report(name clementinewind.Upstream, load admit.Load) {
	owner.withUpstream(name, func(upstream *upstream, now time.Time) { upstream.limiter.Report(load, now) })
}

// Cool tells of a sign of a cold start of an owned upstream.
func (owner *Owner) Cool(name clementinewind.Upstream, sign admit.Sign) {
	owner.withUpstream(name, func(upstream *upstream, now time.Time) { upstream.limiter.RecordColdStart(sign, now) })
}

func (owner *Owner) withUpstream(name clementinewind.Upstream, act func(upstream *upstream, now time.Time)) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	if upstream := owner.upstreams[name]; upstream != nil {
		act(upstream, now)
		owner.observe(upstream)
		owner.dispatch(owner.pool(upstream.config.Pool), now)
	}
}

// UpstreamStatus describes an owned upstream.
type UpstreamStatus struct {
	Upstream clementinewind.Upstream
	Pool     clementinewind.Pool
	State    clementinewind.UpstreamState
	Limit    int
	InFlight int
}

// Upstreams returns the status of the owned upstreams, ordered by name.
func (owner *Owner) Upstreams() []UpstreamStatus {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	var statuses []UpstreamStatus
	for _, upstream := range owner.upstreams {
		statuses = append(statuses, UpstreamStatus{
			Upstream: upstream.config.Upstream, Pool: upstream.config.Pool, State: upstream.state,
			Limit: upstream.limiter.Limit(), InFlight: upstream.limiter.InFlight(),
		})
	}
	slices.SortFunc(statuses, func(a, b UpstreamStatus) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return statuses
}
