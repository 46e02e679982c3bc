package sched

import (
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
)

// Slot is the right to have one request in progress at an upstream. Its methods are safe for concurrent use. Finish must
// be called exactly once; further calls have no effect.
type Slot struct {
	owner    *Owner
	key      fair.Key
	entry    clementinewind.Session
	upstream *upstream
	ticket   admit.Ticket
	grant    uint64
	expires  time.Time
	// charged is what the account was charged, and used what the request has cost so far, in tokens.
	charged    float64
	used       float64
	dispatched time.Time
	finished   bool
	// resumed slots belong to answers that run already.
	resumed bool
}

// Upstream returns the upstream that the slot belongs to.
func (slot *Slot) Upstream() clementinewind.Upstream {
	slot.owner.mutex.Lock()
	defer slot.owner.mutex.Unlock()
	return slot.upstream.config.Upstream
}

// Dispatched must be called immediately before the first byte is written to the upstream. It reports false when the
// request must not be sent, because this router lost the upstream or the right to send since it gave the slot.
func (slot *Slot) Dispatched() bool {
	slot.owner.mutex.Lock()
	defer slot.owner.mutex.Unlock()
	if slot.finished || !slot.upstream.owned || slot.upstream.config.Leaving && !slot.resumed || !slot.owner.maySend() {
		return false
	}
	slot.dispatched = time.Now()
	return true
}

// FirstToken tells that the first token of the answer has arrived.
func (slot *Slot) FirstToken() {
	slot.owner.mutex.Lock()
	defer slot.owner.mutex.Unlock()
	if slot.finished || slot.resumed || slot.dispatched.IsZero() {
		return
	}
	now := time.Now()
	slot.upstream.limiter.FirstToken(&slot.ticket, now.Sub(slot.dispatched), now)
	slot.owner.observe(slot.upstream)
}

// Progress tells what the request has cost so far, in tokens. The cost is charged as it arises.
func (slot *Slot) Progress(tokens float64) {
	slot.owner.mutex.Lock()
	defer slot.owner.mutex.Unlock()
	if slot.finished || tokens <= slot.used {
		return
	}
	slot.used = tokens
	now := time.Now()
	changed := slot.upstream.limiter.Progress(&slot.ticket, now)
	slot.charge(max(slot.charged, slot.used))
	slot.owner.reorder(slot.key, now)
	if changed {
		slot.owner.observe(slot.upstream)
		slot.owner.dispatch(slot.owner.pool(slot.key.Pool), now)
	}
}

// charge corrects the charge of the request to an amount.
func (slot *Slot) charge(tokens float64) {
	slot.owner.ledger.Charge(slot.key, tokens-slot.charged)
	slot.charged = tokens
}

// Finish ends the request and frees the slot. The charge is corrected to the cost told by Progress.
func (slot *Slot) Finish(result admit.Result) {
	slot.owner.mutex.Lock()
	defer slot.owner.mutex.Unlock()
	if slot.finished {
		return
	}
	slot.finished = true
	slot.owner.release(slot, result, time.Now())
}
