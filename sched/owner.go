package sched

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/admit"
	"github.com/clementinewind/clementinewind/fair"
	"github.com/clementinewind/clementinewind/wire/peerv1"
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

// pool holds the demand for, and the upstreams of, one pool at this owner.
type pool struct {
	name      clementinewind.Pool
	upstreams []*upstream
	demands   map[clementinewind.Organisation]*demand
	// queue holds the demands that may be granted a slot now.
	queue   demandQueue
	clients map[clementinewind.Session]time.Time
	hinted  time.Time
	hint    int
	// affinity tells where requests with a prefix went last.
	affinity affinity
	// average is the average cost of the requests that ended, in tokens. It starts with the estimate of the first one.
	average float64
}

// demand is the wish of one organisation for slots of a pool.
type demand struct {
	key      fair.Key
	weight   float64
	rank     float64
	asks     []*ask
	inFlight int
	// offset is a number from 0 to 1 that is fixed for this owner and organisation.
	offset float64
	// index is the position in the pool's queue, or -1.
	index int
}

// ask is the standing ask of one entry router.
type ask struct {
	session  clementinewind.Session
	waiting  int
	estimate float64
	granted  int
	pause    time.Duration
	paused   time.Time
}

func (ask *ask) ready(now time.Time) bool {
	return ask.waiting > ask.granted && !now.Before(ask.paused)
}

// part returns the part of the pool's upstreams that this owner has.
func (pool *pool) part() float64 {
	size := max(len(pool.upstreams), 1)
	for _, upstream := range pool.upstreams {
		size = max(size, upstream.config.PoolSize)
	}
	return float64(max(len(pool.upstreams), 1)) / float64(size)
}

// level returns the average normalised service of the backlogged organisations.
func (owner *Owner) level(pool *pool, now time.Time) float64 {
	weight, sum := 0.0, 0.0
	for _, demand := range pool.demands {
		if len(demand.asks) > 0 {
			weight += demand.weight
			sum += demand.weight * owner.ledger.Tag(demand.key, now)
		}
	}
	if weight <= 0 {
		return 0
	}
	return sum / weight
}

// rank returns the key by which the pool's queue is ordered: the normalised service, and the average cost for each
// request in progress. This owner sees its own requests only, and takes it that the other owners have as many for their
// part of the pool. The offset differs between owners, so that they do not all give their next slot to the same
// organisation.
func (owner *Owner) rank(pool *pool, demand *demand, now time.Time) float64 {
	tag := owner.ledger.Tag(demand.key, now)
	if owner.config.ChargeEstimates {
		return tag
	}
	part := pool.part()
	slots := (float64(demand.inFlight) + demand.offset*(1-part)) / part
	return tag + owner.config.Damping*pool.average*slots/demand.weight
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			owner.Tick()
		}
	}
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
		admit.Eject(limiters, now)
		for _, upstream := range pool.upstreams {
			owner.observe(upstream)
		}
		owner.dispatch(pool, now)
		owner.hint(pool, now)
	}
}

func (owner *Owner) sortedPools() []*pool {
	pools := make([]*pool, 0, len(owner.pools))
	for _, pool := range owner.pools {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	return pools
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
	owner.ledger.SetSelf(session)
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
				entry.limiter.Cool(admit.SignNew, now)
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

func (owner *Owner) pool(name clementinewind.Pool) *pool {
	entry := owner.pools[name]
	if entry == nil {
		entry = &pool{
			name:    name,
			demands: make(map[clementinewind.Organisation]*demand),
			clients: make(map[clementinewind.Session]time.Time),
		}
		owner.pools[name] = entry
	}
	return entry
}

// HandleAsks takes the asks of an entry router.
func (owner *Owner) HandleAsks(session clementinewind.Session, asks []*peerv1.Ask) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, message := range asks {
		pool := owner.pool(clementinewind.Pool(message.Pool))
		pool.clients[session] = now
		organisation := clementinewind.Organisation(message.Organisation)
		entry := pool.demands[organisation]
		if message.Waiting <= 0 {
			if entry != nil {
				owner.withdraw(pool, entry, session, now)
			}
			continue
		}
		entry = owner.demand(pool, organisation)
		if len(entry.asks) == 0 {
			owner.ledger.Deactivate(entry.key, now)
		}
		entry.setWeight(message.Weight)
		owner.ledger.Activate(entry.key, entry.weight, message.Tag, now)
		standing := entry.ask(session)
		if standing == nil {
			standing = &ask{session: session}
			entry.asks = append(entry.asks, standing)
		}
		standing.waiting = int(message.Waiting)
		standing.estimate = max(message.Estimate, 1)
		standing.pause, standing.paused = 0, time.Time{}
		owner.place(pool, entry, now)
		owner.dispatch(pool, now)
	}
}

func (owner *Owner) demand(pool *pool, organisation clementinewind.Organisation) *demand {
	entry := pool.demands[organisation]
	if entry == nil {
		entry = &demand{key: fair.Key{Pool: pool.name, Organisation: organisation}, index: -1, weight: 1}
		hash := xxhash.Sum64String(fmt.Sprintf("%d/%s", owner.config.Self, organisation))
		entry.offset = float64(hash>>11) / (1 << 53)
		pool.demands[organisation] = entry
	}
	return entry
}

func (demand *demand) setWeight(weight float64) {
	if weight > 0 {
		demand.weight = weight
	}
}

func (demand *demand) ask(session clementinewind.Session) *ask {
	for _, ask := range demand.asks {
		if ask.session == session {
			return ask
		}
	}
	return nil
}

// withdraw ends the standing ask of a session.
func (owner *Owner) withdraw(pool *pool, demand *demand, session clementinewind.Session, now time.Time) {
	demand.asks = slices.DeleteFunc(demand.asks, func(ask *ask) bool { return ask.session == session })
	owner.settle(pool, demand, now)
}

// settle updates a demand after its asks or requests changed, and forgets it when it has none.
func (owner *Owner) settle(pool *pool, demand *demand, now time.Time) {
	owner.place(pool, demand, now)
	if len(demand.asks) > 0 {
		return
	}
	owner.ledger.Deactivate(demand.key, now)
	if demand.inFlight == 0 {
		delete(pool.demands, demand.key.Organisation)
	}
}

// place updates the position of a demand in the queue of its pool.
func (owner *Owner) place(pool *pool, demand *demand, now time.Time) {
	ready := slices.ContainsFunc(demand.asks, func(ask *ask) bool { return ask.ready(now) })
	demand.rank = owner.rank(pool, demand, now)
	switch {
	case ready && demand.index < 0:
		heap.Push(&pool.queue, demand)
	case ready:
		heap.Fix(&pool.queue, demand.index)
	case demand.index >= 0:
		heap.Remove(&pool.queue, demand.index)
	}
}

// reorder updates the position of a demand whose tag has changed.
func (owner *Owner) reorder(key fair.Key, now time.Time) {
	if pool := owner.pools[key.Pool]; pool != nil {
		if demand := pool.demands[key.Organisation]; demand != nil {
			owner.place(pool, demand, now)
		}
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

// HandleReturns takes grants that an entry router cannot use. The return of a grant also withdraws the ask.
func (owner *Owner) HandleReturns(session clementinewind.Session, returns []*peerv1.GrantReturn) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	for _, message := range returns {
		slot := owner.grants[message.GrantId]
		if slot == nil || slot.entry != session {
			continue
		}
		delete(owner.grants, message.GrantId)
		pool := owner.pool(slot.key.Pool)
		if demand := pool.demands[slot.key.Organisation]; demand != nil {
			owner.withdraw(pool, demand, session, now)
		}
		owner.release(slot, admit.ResultUnused, now)
	}
}

// Admit admits a request that was forwarded without a grant, if a slot is free and nothing waits. Otherwise it refuses
// with ReasonBusy.
func (owner *Owner) Admit(_ context.Context, request Request) (*Slot, *clementinewind.Refusal) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	pool := owner.pool(request.Pool)
	pool.clients[request.Entry] = now
	if !owner.maySend() {
		return nil, busy("the router may not send new work")
	}
	owner.expire(now)
	upstream := pool.choose(request.Prefix, now)
	if upstream == nil {
		return nil, busy("no slot is free")
	}
	if pool.queue.Len() > 0 {
		return nil, busy("other requests wait")
	}
	demand := owner.demand(pool, request.Organisation)
	demand.setWeight(request.Weight)
	owner.ledger.Open(demand.key, demand.weight, now)
	owner.ledger.Advance(pool.name, owner.ledger.Tag(demand.key, now))
	slot := owner.take(pool, demand, upstream, request.Estimate, now)
	slot.entry = request.Entry
	owner.settle(pool, demand, now)
	pool.affinity.put(request.Prefix, upstream)
	return slot, nil
}

// Resume gives a slot for an answer that already runs at an owned upstream, after the previous owner or the connection to
// it was lost. used is what the answer had cost until then, in tokens. The slot is given beyond the limit and also on an
// upstream that is leaving, because the answer runs in any case.
func (owner *Owner) Resume(name clementinewind.Upstream, request Request, used float64) (*Slot, *clementinewind.Refusal) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	upstream := owner.upstreams[name]
	if upstream == nil || upstream.config.Pool != request.Pool {
		return nil, busy("the router does not own the upstream")
	}
	if !owner.maySend() {
		return nil, busy("the router may not send")
	}
	pool := owner.pool(request.Pool)
	demand := owner.demand(pool, request.Organisation)
	demand.setWeight(request.Weight)
	owner.ledger.Open(demand.key, demand.weight, now)
	owner.ledger.Hold(demand.key)
	demand.inFlight++
	owner.settle(pool, demand, now)
	return &Slot{
		owner: owner, key: demand.key, entry: request.Entry, upstream: upstream, ticket: upstream.limiter.Resume(now),
		charged: used, used: used, resumed: true,
	}, nil
}

func busy(detail string) *clementinewind.Refusal {
	return clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonBusy, detail)
}

func (owner *Owner) maySend() bool {
	return owner.config.MaySend == nil || owner.config.MaySend()
}

// choose returns the usable upstream with a free slot that has served the prefix, or else the least loaded one.
func (pool *pool) choose(prefix uint64, now time.Time) *upstream {
	preferred := pool.affinity.get(prefix)
	var best *upstream
	bestShare := 0.0
	for _, upstream := range pool.upstreams {
		if !upstream.usable() {
			continue
		}
		free := upstream.limiter.Free(now)
		if free <= 0 {
			continue
		}
		if upstream == preferred {
			return upstream
		}
		if share := float64(free) / float64(upstream.limiter.Limit()); best == nil || share > bestShare {
			best, bestShare = upstream, share
		}
	}
	return best
}

// take holds a slot of an upstream and charges the estimate.
func (owner *Owner) take(pool *pool, demand *demand, upstream *upstream, estimate float64, now time.Time) *Slot {
	slot := &Slot{owner: owner, key: demand.key, upstream: upstream, ticket: upstream.limiter.Acquire(now)}
	if pool.average == 0 {
		pool.average = max(estimate, 1)
	}
	if owner.config.ChargeEstimates {
		owner.ledger.Advance(pool.name, owner.ledger.Tag(demand.key, now))
		slot.charge(estimate)
	}
	owner.ledger.Hold(demand.key)
	demand.inFlight++
	return slot
}

// dispatch grants free slots to the asks with the lowest tags.
func (owner *Owner) dispatch(pool *pool, now time.Time) {
	for pool.queue.Len() > 0 && owner.maySend() {
		upstream := pool.choose(0, now)
		if upstream == nil {
			return
		}
		demand := pool.queue[0]
		position := slices.IndexFunc(demand.asks, func(ask *ask) bool { return ask.ready(now) })
		if position < 0 {
			owner.place(pool, demand, now)
			continue
		}
		// The asks of one organisation take turns.
		ask := demand.asks[position]
		demand.asks = append(slices.Delete(demand.asks, position, position+1), ask)
		tag := owner.ledger.Tag(demand.key, now)
		slot := owner.take(pool, demand, upstream, ask.estimate, now)
		slot.entry = ask.session
		slot.expires = now.Add(owner.config.GrantLifetime)
		owner.lastGrant++
		slot.grant = owner.lastGrant
		ask.granted++
		owner.grants[slot.grant] = slot
		owner.expiring = append(owner.expiring, slot)
		owner.place(pool, demand, now)
		owner.config.Send(ask.session, &peerv1.ControlFrame{Grants: []*peerv1.Grant{{
			GrantId: slot.grant, Upstream: string(upstream.config.Upstream), Pool: string(pool.name),
			Organisation: string(demand.key.Organisation), VirtualTime: tag,
		}}})
	}
}

// expire takes back grants that were not used in time.
func (owner *Owner) expire(now time.Time) {
	for len(owner.expiring) > 0 && !now.Before(owner.expiring[0].expires) {
		slot := owner.expiring[0]
		owner.expiring[0] = nil
		owner.expiring = owner.expiring[1:]
		if owner.grants[slot.grant] != slot {
			continue
		}
		delete(owner.grants, slot.grant)
		if ask := owner.askOf(slot); ask != nil {
			// A grant that expires was lost or came too late; more would idle further slots.
			ask.granted--
			ask.pause = min(max(2*ask.pause, owner.config.GrantLifetime), maxPause)
			ask.paused = now.Add(ask.pause)
		}
		owner.release(slot, admit.ResultUnused, now)
	}
}

// askOf returns the standing ask to which a grant was given.
func (owner *Owner) askOf(slot *Slot) *ask {
	if pool := owner.pools[slot.key.Pool]; pool != nil {
		if demand := pool.demands[slot.key.Organisation]; demand != nil {
			return demand.ask(slot.entry)
		}
	}
	return nil
}

// Redeem turns a grant into a slot for a request. It reports false when the grant has expired or is void.
func (owner *Owner) Redeem(grantID uint64, request Request) (*Slot, bool) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := time.Now()
	owner.expire(now)
	slot := owner.grants[grantID]
	if slot == nil || slot.entry != request.Entry || slot.key.Pool != request.Pool ||
		slot.key.Organisation != request.Organisation {
		return nil, false
	}
	delete(owner.grants, grantID)
	pool := owner.pool(slot.key.Pool)
	pool.clients[request.Entry] = now
	if ask := owner.askOf(slot); ask != nil {
		ask.granted--
		ask.pause = 0
	}
	if !slot.upstream.usable() || !owner.maySend() {
		owner.release(slot, admit.ResultUnused, now)
		return nil, false
	}
	if preferred := pool.affinity.get(request.Prefix); preferred != nil && preferred != slot.upstream {
		if upstream := pool.choose(request.Prefix, now); upstream == preferred {
			slot.upstream.limiter.Finish(slot.ticket, admit.ResultUnused, now)
			slot.upstream = upstream
			slot.ticket = upstream.limiter.Acquire(now)
		}
	}
	pool.affinity.put(request.Prefix, slot.upstream)
	if owner.config.ChargeEstimates {
		slot.charge(request.Estimate)
	}
	owner.reorder(slot.key, now)
	owner.dispatch(pool, now)
	return slot, true
}

// release ends the use of a slot: corrects the charge, tells the limiter, and grants the slot to the next ask.
func (owner *Owner) release(slot *Slot, result admit.Result, now time.Time) {
	slot.charge(slot.used)
	owner.ledger.Release(slot.key)
	slot.upstream.limiter.Finish(slot.ticket, result, now)
	owner.observe(slot.upstream)
	pool := owner.pool(slot.key.Pool)
	if result == admit.ResultCompleted && slot.used > 0 {
		pool.average += (slot.used - pool.average) / averageSamples
	}
	if demand := pool.demands[slot.key.Organisation]; demand != nil {
		demand.inFlight--
		owner.settle(pool, demand, now)
	}
	owner.dispatch(pool, now)
}

// hint tells routers how many slots are free while nothing waits.
func (owner *Owner) hint(pool *pool, now time.Time) {
	free := 0
	if pool.queue.Len() == 0 && owner.maySend() {
		for _, upstream := range pool.upstreams {
			if upstream.usable() {
				free += upstream.limiter.Free(now)
			}
		}
	}
	if now.Sub(pool.hinted) < spareInterval || free == pool.hint && now.Sub(pool.hinted) < 2*spareInterval {
		return
	}
	if free == 0 && pool.hint == 0 {
		return
	}
	pool.hinted = now
	pool.hint = free
	for session, used := range pool.clients {
		if now.Sub(used) > clientTime {
			delete(pool.clients, session)
		}
	}
	receivers := owner.sessions
	if len(receivers) > maxHints {
		receivers = receivers[:0:0]
		for session := range pool.clients {
			receivers = append(receivers, session)
		}
		slices.Sort(receivers)
		receivers = receivers[:min(len(receivers), maxHints)]
	}
	for _, session := range receivers {
		owner.config.Send(session, &peerv1.ControlFrame{Spares: []*peerv1.Spare{{
			Pool: string(pool.name), Slots: int32(free), VirtualTime: owner.ledger.VirtualTime(pool.name),
		}}})
	}
}

// Report takes a load report of an owned upstream.
func (owner *Owner) Report(name clementinewind.Upstream, load admit.Load) {
	owner.withUpstream(name, func(upstream *upstream, now time.Time) { upstream.limiter.Report(load, now) })
}

// Cool tells of a sign of a cold start of an owned upstream.
func (owner *Owner) Cool(name clementinewind.Upstream, sign admit.Sign) {
	owner.withUpstream(name, func(upstream *upstream, now time.Time) { upstream.limiter.Cool(sign, now) })
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

// demandQueue is a heap of demands by rank.
type demandQueue []*demand

func (queue demandQueue) Len() int { return len(queue) }

func (queue demandQueue) Less(i, j int) bool {
	if queue[i].rank != queue[j].rank {
		return queue[i].rank < queue[j].rank
	}
	return queue[i].key.Organisation < queue[j].key.Organisation
}

func (queue demandQueue) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index, queue[j].index = i, j
}

// Push implements heap.Interface.
func (queue *demandQueue) Push(value any) {
	demand := value.(*demand)
	demand.index = len(*queue)
	*queue = append(*queue, demand)
}

// Pop implements heap.Interface.
func (queue *demandQueue) Pop() any {
	last := len(*queue) - 1
	demand := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	demand.index = -1
	return demand
}

const affinitySize = 4096

// affinity remembers where prefixes were sent, in two generations, so that it stays bounded without a list.
type affinity struct {
	young map[uint64]*upstream
	old   map[uint64]*upstream
}

func (affinity *affinity) get(prefix uint64) *upstream {
	if prefix == 0 {
		return nil
	}
	if upstream := affinity.young[prefix]; upstream != nil {
		return upstream
	}
	return affinity.old[prefix]
}

func (affinity *affinity) put(prefix uint64, target *upstream) {
	if prefix == 0 {
		return
	}
	if affinity.young == nil || len(affinity.young) >= affinitySize {
		affinity.old = affinity.young
		affinity.young = make(map[uint64]*upstream)
	}
	affinity.young[prefix] = target
}
