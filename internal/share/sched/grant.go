package sched

import (
	"context"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

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
