package router

import (
	"slices"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/place"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// assignment is the placement of all work on the live sessions of one view of the state. It is immutable.
type assignment struct {
	self   clementinewind.Session
	view   state.View
	ring   *place.Rendezvous[state.Session]
	owners map[clementinewind.Upstream]clementinewind.Session
	// weight is the sum of the weights of all organisations.
	weight float64
}

func newAssignment(self clementinewind.Session, view state.View) *assignment {
	assignment := &assignment{
		self:   self,
		view:   view,
		owners: map[clementinewind.Upstream]clementinewind.Session{},
		weight: view.Tree.TotalWeight(),
		ring: place.New(place.Config[state.Session]{
			Members: view.Sessions,
			ID:      func(session state.Session) uint64 { return uint64(session.ID) },
			Zone:    func(session state.Session) string { return string(session.Zone) },
		}),
	}
	for _, upstream := range view.Tree.AllUpstreams() {
		if owner, ok := assignment.ring.Owner(string(upstream.Name)); ok {
			assignment.owners[upstream.Name] = owner.ID
		}
	}
	return assignment
}

// owner returns the session that owns an upstream.
func (assignment *assignment) owner(upstream clementinewind.Upstream) (clementinewind.Session, bool) {
	session, ok := assignment.owners[upstream]
	return session, ok
}

// poolOwners returns the sessions that own serving upstreams of a pool.
func (assignment *assignment) poolOwners(pool clementinewind.Pool) []clementinewind.Session {
	var owners []clementinewind.Session
	for _, upstream := range assignment.view.Tree.AllUpstreams() {
		if owner, ok := assignment.owners[upstream.Name]; ok && upstream.Pool == pool && upstream.Serving {
			owners = append(owners, owner)
		}
	}
	slices.Sort(owners)
	return slices.Compact(owners)
}

// owned returns the upstreams that this router owns.
func (assignment *assignment) owned() []tree.Upstream {
	var owned []tree.Upstream
	for _, upstream := range assignment.view.Tree.AllUpstreams() {
		if assignment.owners[upstream.Name] == assignment.self {
			owned = append(owned, upstream)
		}
	}
	return owned
}

// upstreamConfigs returns what the scheduler needs to know of the owned upstreams. Those for which stopped is true take no
// new work. An upstream that another session may have owned before can still run its work.
func (assignment *assignment) upstreamConfigs(stopped func(tree.Upstream) bool) []sched.UpstreamConfig {
	var configs []sched.UpstreamConfig
	for _, upstream := range assignment.owned() {
		pool, ok := assignment.view.Tree.Pool(upstream.Pool)
		if !ok {
			continue
		}
		configs = append(configs, sched.UpstreamConfig{
			Upstream: upstream.Name,
			Pool:     upstream.Pool,
			Cold:     pool.ColdLimit,
			Max:      pool.MaxLimit,
			Leaving:  !upstream.Serving || stopped(upstream),
			PoolSize: assignment.serving(upstream.Pool),
			Adopted:  pool.Kind == clementinewind.PoolModel,
		})
	}
	return configs
}

// serving returns the number of upstreams of a pool in service in the whole fleet.
func (assignment *assignment) serving(pool clementinewind.Pool) int {
	count := 0
	for _, upstream := range assignment.view.Tree.Upstreams(pool) {
		if upstream.Serving {
			count++
		}
	}
	return count
}

// peers returns the addresses of all live sessions, this router's own included: requests for its own upstreams go the
// same way as all others.
func (assignment *assignment) peers() map[clementinewind.Session]string {
	addresses := make(map[clementinewind.Session]string, len(assignment.view.Sessions))
	for _, session := range assignment.view.Sessions {
		addresses[session.ID] = session.PeerAddress
	}
	return addresses
}

func (assignment *assignment) sessions() []clementinewind.Session {
	sessions := make([]clementinewind.Session, len(assignment.view.Sessions))
	for i, session := range assignment.view.Sessions {
		sessions[i] = session.ID
	}
	return sessions
}

const (
	// minAddresses is the number of addresses that a caller gets at least, so that it can go on when routers fail.
	minAddresses = 3
	// spreadFactor is how many more routers an organisation uses than its share of the weight asks for, so that one
	// large organisation does not overload single routers.
	spreadFactor = 2
)

// locate returns the addresses for the callers of an organisation, spread over the availability zones. Small
// organisations keep to few routers, so that their queues and service counts stay in few places.
func (assignment *assignment) locate(organisation clementinewind.Organisation, leaving func(state.Session) bool) []string {
	count := minAddresses
	if settings, ok := assignment.view.Tree.Organisation(organisation); ok && assignment.weight > 0 {
		count = max(count, int(spreadFactor*settings.Weight/assignment.weight*float64(assignment.ring.Len())+1))
	}
	var addresses, last []string
	for _, session := range assignment.ring.TopAcrossZones(string(organisation), assignment.ring.Len()) {
		switch {
		case leaving(session):
			last = append(last, session.CallerAddress)
		case len(addresses) < count:
			addresses = append(addresses, session.CallerAddress)
		}
	}
	if len(addresses) == 0 {
		return last
	}
	return addresses
}
