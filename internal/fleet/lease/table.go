package lease

import (
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
)

// retryAfter is when a refused request may find a router that proved its freshness, or that finished its wait.
const retryAfter = time.Second

// table is what a request needs to know about the upstreams. It is immutable but for the waits inside.
type table struct {
	fence     clementinewind.Offset
	self      clementinewind.Session
	members   []clementinewind.Session
	upstreams map[clementinewind.Upstream]*right
}

// right tells who may send to one upstream.
type right struct {
	serving bool
	owner   clementinewind.Session
	// waits are the previous owners that may still send. They are known only where this router is the owner.
	waits []wait
}

type wait struct {
	session clementinewind.Session
	past    *past
}

// rebuild computes the table from the view.
func (keeper *Keeper) rebuild() {
	view := keeper.view
	keeper.neighbours = append(slices.Clip(keeper.config.Neighbours(idsOf(view.Sessions), keeper.self)), keeper.self)
	keeper.countApplied()
	next := &table{fence: view.MembershipOffset, self: keeper.self, upstreams: map[clementinewind.Upstream]*right{}}
	if !keeper.observed {
		next.fence = -1
	}
	// Most edits change no session. Then only new upstreams need an owner, of 350 sessions at the target size.
	last := keeper.table.Load()
	if next.members = idsOf(view.Sessions); !slices.Equal(next.members, last.members) {
		last = &table{}
	}
	ring := ringOf(view.Sessions)
	for _, upstream := range view.Tree.AllUpstreams() {
		owner := clementinewind.NoSession
		if known, ok := last.upstreams[upstream.Name]; ok {
			owner = known.owner
		} else if found, ok := ring.Owner(string(upstream.Name)); ok {
			owner = found
		}
		right := &right{serving: upstream.Serving, owner: owner}
		if owner != clementinewind.NoSession && owner == keeper.self {
			right.waits = keeper.waitsFor(upstream.Name)
		}
		next.upstreams[upstream.Name] = right
	}
	keeper.table.Store(next)
}

func (keeper *Keeper) waitsFor(upstream clementinewind.Upstream) []wait {
	var waits []wait
	for _, past := range keeper.pasts {
		if past.ring == nil {
			waits = append(waits, wait{session: clementinewind.NoSession, past: past})
			continue
		}
		if owner, ok := past.ring.Owner(string(upstream)); ok && owner != keeper.self && !past.closed[owner] {
			waits = append(waits, wait{session: owner, past: past})
		}
	}
	return waits
}

// MayServe reports whether the router may take new work: its replica is proven fresh, or most routers lost the log.
func (keeper *Keeper) MayServe() bool {
	now := int64(keeper.now())
	return now < keeper.provenAt.Load()+int64(Validity) || now < keeper.outageUntil.Load()
}

// MaySend returns nil when this router may send new work to an upstream now, and a *clementinewind.Refusal otherwise.
func (keeper *Keeper) MaySend(upstream clementinewind.Upstream) error {
	_, err := keeper.Permit(upstream)
	return err
}

// Permit is MaySend together with the fencing token of the view that was checked. A token that is read after the check
// may belong to a later view, in which another router owns the upstream.
func (keeper *Keeper) Permit(upstream clementinewind.Upstream) (clementinewind.Offset, error) {
	table := keeper.table.Load()
	right, ok := table.upstreams[upstream]
	switch {
	case !keeper.MayServe():
		return 0, refuse(clementinewind.ReasonStale, "the settings of this router are not proven current")
	case !ok || !right.serving:
		return 0, refuse(clementinewind.ReasonNoCapacity, "the upstream or its zone is out of service")
	case table.self == clementinewind.NoSession || right.owner != table.self:
		return 0, refuse(clementinewind.ReasonBusy, "another router owns the upstream")
	case len(right.waits) > 0 && !keeper.waited(right.waits):
		return 0, refuse(clementinewind.ReasonBusy, "a previous owner of the upstream may still send")
	default:
		return table.fence, nil
	}
}

// waited reports whether every previous owner has stopped.
func (keeper *Keeper) waited(waits []wait) bool {
	now, pending := keeper.now(), false
	for _, wait := range waits {
		pending = pending || !wait.past.passed(now)
	}
	if !pending {
		return true
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.countApplied()
	for _, wait := range waits {
		if !wait.past.stopped(wait.session, now) && !wait.past.passed(now) {
			return false
		}
	}
	return true
}

// Fence returns the fencing token: the offset of the newest session record that this router has applied, or -1.
func (keeper *Keeper) Fence() clementinewind.Offset { return keeper.table.Load().fence }

// Owner returns the session that owns an upstream.
func (keeper *Keeper) Owner(upstream clementinewind.Upstream) (clementinewind.Session, bool) {
	right, ok := keeper.table.Load().upstreams[upstream]
	if !ok || right.owner == clementinewind.NoSession {
		return clementinewind.NoSession, false
	}
	return right.owner, true
}

func refuse(reason clementinewind.Reason, detail string) error {
	return clementinewind.NewRefusal(clementinewind.ProgressQueued, reason, detail).WithRetryAfter(retryAfter)
}
