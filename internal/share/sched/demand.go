package sched

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

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

func (owner *Owner) sortedPools() []*pool {
	pools := make([]*pool, 0, len(owner.pools))
	for _, pool := range owner.pools {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	return pools
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
		entry.offset = owner.offset(organisation)
		pool.demands[organisation] = entry
	}
	return entry
}

// offset returns a number in [0, 1) that differs by owner, so that owners do not round the slots of an organisation in the
// same direction.
func (owner *Owner) offset(organisation clementinewind.Organisation) float64 {
	hash := xxhash.Sum64String(fmt.Sprintf("%d/%s", owner.config.Self, organisation))
	return float64(hash>>11) / (1 << 53)
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
