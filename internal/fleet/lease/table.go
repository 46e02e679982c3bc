package lease

import (
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
)

// retryAfter is the time after which the router may have a new proof, or the previous owner may have stopped.
const retryAfter = time.Second

// table is what Permit needs to know about the upstreams. It is immutable except for the generations that it refers to.
type table struct {
	fence     clementinewind.Offset
	self      clementinewind.Session
	members   []clementinewind.Session
	upstreams map[clementinewind.Upstream]*sendRight
}

// sendRight is who may send to one upstream, and from when.
type sendRight struct {
	serving bool
	owner   clementinewind.Session
	// previousOwners may still send. They are set only if this router is the owner.
	previousOwners []previousOwner
}

type previousOwner struct {
	session    clementinewind.Session
	generation *generation
}

// rebuild computes the table from the view.
func (keeper *Keeper) rebuild() {
	view := keeper.view
	keeper.neighbours = append(slices.Clip(keeper.config.Neighbours(idsOf(view.Sessions), keeper.self)), keeper.self)
	keeper.updateGenerations()
	next := &table{fence: view.MembershipOffset, self: keeper.self, upstreams: map[clementinewind.Upstream]*sendRight{}}
	if !keeper.observed {
		next.fence = -1
	}
	// Most changes of the view leave the sessions alone. Then only new upstreams need an owner. Finding one is costly,
	// because it compares all sessions, 350 at the target size.
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
		right := &sendRight{serving: upstream.Serving, owner: owner}
		if owner != clementinewind.NoSession && owner == keeper.self {
			right.previousOwners = keeper.previousOwnersOf(upstream.Name)
		}
		next.upstreams[upstream.Name] = right
	}
	keeper.table.Store(next)
}

func (keeper *Keeper) previousOwnersOf(upstream clementinewind.Upstream) []previousOwner {
	var owners []previousOwner
	for _, generation := range keeper.generations {
		if generation.ring == nil {
			owners = append(owners, previousOwner{session: clementinewind.NoSession, generation: generation})
			continue
		}
		if owner, ok := generation.ring.Owner(string(upstream)); ok && owner != keeper.self && !generation.closed[owner] {
			owners = append(owners, previousOwner{session: owner, generation: generation})
		}
	}
	return owners
}

// MayServe reports whether the router may accept new requests: its replica is proven fresh, or most routers lost the log.
func (keeper *Keeper) MayServe() bool {
	now := int64(keeper.now())
	return now < keeper.provenAt.Load()+int64(Validity) || now < keeper.outageUntil.Load()
}

// MaySend returns nil if this router may send new requests to an upstream now, and a *clementinewind.Refusal otherwise.
func (keeper *Keeper) MaySend(upstream clementinewind.Upstream) error {
	_, err := keeper.Permit(upstream)
	return err
}

// Permit is like MaySend and returns the fencing token of the view that it checked. A token read from Fence after the
// check may belong to a later view, in which another router owns the upstream.
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
	case len(right.previousOwners) > 0 && !keeper.previousOwnersStopped(right.previousOwners):
		return 0, refuse(clementinewind.ReasonBusy, "a previous owner of the upstream may still send")
	default:
		return table.fence, nil
	}
}

// previousOwnersStopped reports whether all previous owners have stopped.
func (keeper *Keeper) previousOwnersStopped(owners []previousOwner) bool {
	now, pending := keeper.now(), false
	for _, owner := range owners {
		pending = pending || !owner.generation.safe(now)
	}
	if !pending {
		return true
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.updateGenerations()
	for _, owner := range owners {
		if !owner.generation.memberStopped(owner.session, now) && !owner.generation.safe(now) {
			return false
		}
	}
	return true
}

// Fence returns the fencing token: the offset of the latest session record that this router has applied, or -1.
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
