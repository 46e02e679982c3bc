// Package roster tracks the routers of the fleet: which are alive, and what follows from that for callers, for the ownership of
// keys and for reads of the platform's store.
package roster

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/share/place"
)

const (
	// silenceTimeout is the time without a heartbeat after which a router counts as down, and its address is no longer given to
	// callers. In a large fleet the zone heads list the routers of their zones to the other zones every 0.4 s, so that a few lists in
	// a row may be lost.
	silenceTimeout = 2 * time.Second
	// forgetTimeout is the time without a heartbeat after which a router is removed, and gets no more heartbeats itself.
	forgetTimeout = time.Minute
	// maxForgotten limits how many removed routers are remembered.
	maxForgotten = 4096
	// minZoneRouters is the number of serving routers that a zone needs for its callers to get only addresses of their own zone.
	minZoneRouters = 2
	// A router, or a zone, is hot if its load exceeds hotFactor times the mean of the fleet. Below minHotRPSPerCore the CPU is no
	// bottleneck, and callers stay where they are.
	hotFactor        = 1.6
	minHotRPSPerCore = 120.0
	// OverloadedRPSPerCore is the load from which the CPU of a router counts as too small for its requests.
	OverloadedRPSPerCore = 1000.0
	// addressesPerCaller is the number of addresses that a caller gets. The callers of an organisation may all prefer the same
	// router of those they know, so each caller gets different ones. With 4 it is rare that all of them are down.
	addressesPerCaller = 4
	// minCores is assumed for routers that do not report their CPU capacity.
	minCores = 0.01
	// weightExponent makes the share of callers that get a router's address proportional to its CPU, if each caller gets the
	// addresses of a quarter of the routers.
	weightExponent = 1.5
	// startFanout is the number of routers that load the topics from one router while a fleet starts. With 4 the last of sixty in a
	// zone is three hops from the first, which reads the store.
	startFanout = 4
	// minAliveRatio is the ratio of live to known other routers below which this router may be cut off itself.
	minAliveRatio = 0.5
)

// Member is one router.
type Member struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// CallerAddress is the address for callers, PeerAddress the one for other routers.
	CallerAddress string
	PeerAddress   string
	Ready         bool
	Leaving       bool
	// StoreReachable is set while the router's own calls to the platform's store succeed.
	StoreReachable bool
	// Load is the number of requests per second and core that the router gets.
	Load float64
	// Cores is the CPU capacity of the instance, in CPU seconds per second.
	Cores float64
}

// Overloaded reports whether the CPU of the router is too small for its requests.
func (member Member) Overloaded() bool { return member.Load >= OverloadedRPSPerCore }

// EqualExceptLoad reports whether two states of a router are equal apart from the load. A change of the load need not be
// announced at once.
func (member Member) EqualExceptLoad(other Member) bool {
	member.Load = other.Load
	return member == other
}

// Config configures a Roster.
type Config struct {
	Self Member
}

// Roster holds the known routers. It is safe for concurrent use.
type Roster struct {
	// selfInstance is the name of this router. It never changes, and is read without the mutex.
	selfInstance clementinewind.Instance

	mutex   sync.Mutex
	self    Member
	members map[clementinewind.Instance]*memberState
	// forgotten holds the incarnations of routers that were removed because they were silent.
	forgotten map[clementinewind.Instance]int64
	// instancesByHash maps the hash of a router's name to the name.
	instancesByHash map[uint32]clementinewind.Instance
	// peerReachedStoreAt is when another router last reported that it reaches the platform's store, selfReachedStoreAt when this one
	// last reached it.
	peerReachedStoreAt, selfReachedStoreAt time.Time
	// currentSnapshot is the last snapshot, or nil if something changed since then.
	currentSnapshot atomic.Pointer[snapshot]
}

type memberState struct {
	Member
	// heardAt is when the router was last heard, or when its registration in the store was first read.
	heardAt time.Time
	// heartbeatSeen is set after the first heartbeat of the incarnation.
	heartbeatSeen bool
}

// New returns a Roster that only holds this router.
func New(config Config) *Roster {
	return &Roster{
		selfInstance: config.Self.Instance, self: config.Self,
		members: map[clementinewind.Instance]*memberState{}, instancesByHash: map[uint32]clementinewind.Instance{},
		forgotten: map[clementinewind.Instance]int64{},
	}
}

// AddFromStore adds a router that is registered in the platform's store. Without a heartbeat it counts as alive only for
// silenceTimeout, because registrations outlive the processes that wrote them; one that was forgotten does not count as alive until it is
// heard.
func (roster *Roster) AddFromStore(member Member, now time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if member.Instance == roster.self.Instance {
		return
	}
	if old, ok := roster.members[member.Instance]; ok && old.Incarnation >= member.Incarnation {
		return
	}
	member.Ready, member.StoreReachable = true, false
	roster.instancesByHash[usage.Hash(member.Instance)] = member.Instance
	heardAt := now
	if incarnation, ok := roster.forgotten[member.Instance]; ok && member.Incarnation <= incarnation {
		heardAt = now.Add(-2 * silenceTimeout)
	}
	roster.members[member.Instance] = &memberState{Member: member, heardAt: heardAt}
	roster.currentSnapshot.Store(nil)
}

// RecordHeartbeat records that a router was heard, by this one or by another. It reports whether the router is new or restarted, or
// was silent before. A state that is older than the known one is ignored.
func (roster *Roster) RecordHeartbeat(member Member, heardAt time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.recordHeartbeatLocked(member, heardAt)
}

func (roster *Roster) recordHeartbeatLocked(member Member, heardAt time.Time) bool {
	if member.Instance == roster.self.Instance {
		return false
	}
	old, ok := roster.members[member.Instance]
	if ok && (old.Incarnation > member.Incarnation || (old.Incarnation == member.Incarnation && old.heartbeatSeen && heardAt.Before(old.heardAt))) {
		return false
	}
	becameAlive := !ok || old.Incarnation < member.Incarnation || heardAt.Sub(old.heardAt) > silenceTimeout
	if becameAlive || !old.EqualExceptLoad(member) {
		roster.currentSnapshot.Store(nil)
	}
	roster.instancesByHash[usage.Hash(member.Instance)] = member.Instance
	roster.members[member.Instance] = &memberState{Member: member, heardAt: heardAt, heartbeatSeen: true}
	if member.StoreReachable && heardAt.After(roster.peerReachedStoreAt) {
		roster.peerReachedStoreAt = heardAt
	}
	return becameAlive
}

// Presence is the short form in which a zone head reports the state of a router.
type Presence struct {
	// NameHash is the hash of the router's name, Incarnation the lower half of its incarnation.
	NameHash    uint32
	Incarnation uint32
	HeardAt     time.Time
	Load        float64

	Ready, Leaving, StoreReachable bool
}

// PresenceOf returns the presence of a router that was last heard at the given time.
func PresenceOf(member Member, heardAt time.Time) Presence {
	return Presence{
		NameHash: usage.Hash(member.Instance), Incarnation: uint32(member.Incarnation), HeardAt: heardAt, Load: member.Load,
		Ready: member.Ready, Leaving: member.Leaving, StoreReachable: member.StoreReachable,
	}
}

// Presences returns the presences of the other live routers.
func (roster *Roster) Presences(now time.Time) []Presence {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var presences []Presence
	for _, member := range roster.members {
		if now.Sub(member.heardAt) <= silenceTimeout {
			presences = append(presences, PresenceOf(member.Member, member.heardAt))
		}
	}
	return presences
}

// ApplyPresences records the presences that a zone head reports. Unknown routers are skipped: a presence without a description
// does not tell their names.
func (roster *Roster) ApplyPresences(presences []Presence) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, presence := range presences {
		old, ok := roster.members[roster.instancesByHash[presence.NameHash]]
		if !ok || uint32(old.Incarnation) != presence.Incarnation {
			continue
		}
		member := old.Member
		member.Load, member.Ready, member.Leaving = presence.Load, presence.Ready, presence.Leaving
		member.StoreReachable = presence.StoreReachable
		roster.recordHeartbeatLocked(member, presence.HeardAt)
	}
}

// PeerReachedStoreAt returns when another router last reported that it reaches the platform's store.
func (roster *Roster) PeerReachedStoreAt() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.peerReachedStoreAt
}

// Sweep returns the routers that reached silenceTimeout after since, and removes those that reached forgetTimeout.
func (roster *Roster) Sweep(now time.Time, since time.Time) []Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var silent []Member
	for instance, member := range roster.members {
		switch silentAt := member.heardAt.Add(silenceTimeout); {
		case now.Sub(member.heardAt) > forgetTimeout:
			if len(roster.forgotten) >= maxForgotten {
				clear(roster.forgotten)
			}
			roster.forgotten[instance] = member.Incarnation
			delete(roster.members, instance)
			delete(roster.instancesByHash, usage.Hash(instance))
			roster.currentSnapshot.Store(nil)
		case silentAt.After(since) && !silentAt.After(now):
			silent = append(silent, member.Member)
		}
	}
	return silent
}

// UpdateSelf changes the state of this router; load is that of Member.
func (roster *Roster) UpdateSelf(ready, leaving, storeReachable bool, load float64) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	updated := roster.self
	updated.Ready, updated.Leaving, updated.StoreReachable, updated.Load = ready, leaving, storeReachable, load
	if updated != roster.self {
		roster.self = updated
		roster.currentSnapshot.Store(nil)
	}
}

// RecordStoreReached records that a call of this router to the platform's store succeeded.
func (roster *Roster) RecordStoreReached(reachedAt time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.selfReachedStoreAt = reachedAt
}

// Self returns the state of this router.
func (roster *Roster) Self() Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.self
}

// Peers returns all other known routers by name, silent ones too.
func (roster *Roster) Peers() []Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var peers []Member
	for _, member := range roster.members {
		peers = append(peers, member.Member)
	}
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return peers
}

// Count returns the number of known routers, this one and silent ones included.
func (roster *Roster) Count() int {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return len(roster.members) + 1
}

// Alive returns the live routers by name, this one included.
func (roster *Roster) Alive(now time.Time) []Member {
	return slices.Clone(roster.snapshotAt(now).alive)
}

// ExcessFraction returns the fraction of this router's load that should move to other routers. It is 0 unless the router is hot.
func (roster *Roster) ExcessFraction(now time.Time) float64 {
	return roster.snapshotAt(now).excessFraction
}

func isHot(load, mean float64, members int) bool {
	return members > 1 && load > minHotRPSPerCore && load > hotFactor*mean
}

func meanLoad(members []Member) float64 {
	total := 0.0
	for _, member := range members {
		total += member.Load
	}
	return total / float64(max(len(members), 1))
}

// Addresses returns the addresses for a caller: those of a few routers of its zone, or of all zones if its own has too few or is
// hot. Hot routers are left out, and those with more CPU are returned to more callers. A router that is cut off itself goes on
// returning the addresses of those that it knows.
func (roster *Roster) Addresses(zone clementinewind.Zone, caller string, now time.Time) []string {
	members := roster.snapshotAt(now).alive
	if everHeard, cutOff := roster.isolated(members, now); cutOff {
		members = everHeard
	}
	members = serving(members)
	mean := meanLoad(members)
	var inZone []Member
	for _, member := range members {
		if member.Zone == zone {
			inZone = append(inZone, member)
		}
	}
	if len(inZone) >= minZoneRouters && !isHot(meanLoad(inZone), mean, len(members)) {
		members = inZone
	}
	chosen := place.New(place.Config[Member]{Members: withoutHot(members, mean), ID: memberID, Weight: memberWeight}).Top(caller, addressesPerCaller)
	addresses := make([]string, len(chosen))
	for i, member := range chosen {
		addresses[i] = member.CallerAddress
	}
	slices.Sort(addresses)
	return addresses
}

// isolated reports whether this router, or its zone, is cut off from the others. Few live routers alone don't show that: the others may
// be lost. It is not cut off if it reaches the platform's store, or hears a router that does or one of another zone. If it is, isolated
// returns all known routers that were ever heard, this one included.
func (roster *Roster) isolated(alive []Member, now time.Time) ([]Member, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	others := len(roster.members)
	if float64(len(alive)-1) >= minAliveRatio*float64(others) || now.Sub(roster.selfReachedStoreAt) <= silenceTimeout {
		return nil, false
	}
	for _, member := range alive {
		if member.Instance != roster.selfInstance && (member.StoreReachable || member.Zone != roster.self.Zone) {
			return nil, false
		}
	}
	everHeard := []Member{roster.self}
	for _, member := range roster.members {
		if member.heartbeatSeen {
			everHeard = append(everHeard, member.Member)
		}
	}
	return everHeard, true
}

// withoutHot returns the routers that are not hot, or all if too few are left.
func withoutHot(members []Member, mean float64) []Member {
	var rest []Member
	for _, member := range members {
		if !isHot(member.Load, mean, len(members)) {
			rest = append(rest, member)
		}
	}
	if len(rest) < minZoneRouters {
		return members
	}
	return rest
}

// Owns reports whether this router is the owner of a key. While routers disagree about which are alive, a key may have several
// owners.
func (roster *Roster) Owns(key string, now time.Time) bool {
	owner, ok := roster.snapshotAt(now).owners().Owner(key)
	return ok && owner.Instance == roster.selfInstance
}

// StoreReader returns the router from which this one reads the topics of the platform's store: the first by name of its zone that
// reaches the store, or else the first of all zones. Overloaded routers come last, because they respond late, and the one named
// excluded, if any, is skipped because a read from it failed. It returns false if this router should read the store itself.
func (roster *Roster) StoreReader(now time.Time, excluded clementinewind.Instance) (Member, bool) {
	self := roster.Self()
	var reader *Member
	for _, member := range roster.snapshotAt(now).alive {
		if !member.StoreReachable || member.Leaving || member.Instance == excluded {
			continue
		}
		if reader == nil || preferReader(member, *reader, self.Zone) {
			reader = &member
		}
	}
	if reader == nil || reader.Instance == self.Instance {
		return Member{}, false
	}
	return *reader, true
}

// preferReader reports whether routers of a zone should read from the first of two rather than from the second.
func preferReader(first, second Member, zone clementinewind.Zone) bool {
	if first.Overloaded() != second.Overloaded() {
		return second.Overloaded()
	}
	return first.Zone == zone && second.Zone != zone
}

// StartupParent returns the router from which this one loads the topics while a fleet starts. The routers of a zone form a tree by
// name, with startFanout children each, so that no router has to serve all others. If the parent is leaving or is the one named
// excluded, the root replaces it. It returns false if this router is the root, or if the root can't be used either.
func (roster *Roster) StartupParent(now time.Time, excluded clementinewind.Instance) (Member, bool) {
	self := roster.Self()
	var above []Member
	for _, member := range roster.snapshotAt(now).alive {
		if member.Zone == self.Zone && member.Instance < self.Instance {
			above = append(above, member)
		}
	}
	if len(above) == 0 {
		return Member{}, false
	}
	for _, candidate := range []Member{above[(len(above)-1)/startFanout], above[0]} {
		if candidate.Instance != excluded && !candidate.Leaving {
			return candidate, true
		}
	}
	return Member{}, false
}

// ServingPeer returns a random other router that serves requests, and so knows the configuration, of the own zone if possible. It
// returns false if there is none.
func (roster *Roster) ServingPeer(now time.Time) (Member, bool) {
	self := roster.Self()
	var inZone, all []Member
	for _, member := range serving(roster.snapshotAt(now).alive) {
		if member.Instance == self.Instance {
			continue
		}
		all = append(all, member)
		if member.Zone == self.Zone {
			inZone = append(inZone, member)
		}
	}
	if len(inZone) > 0 {
		all = inZone
	}
	if len(all) == 0 {
		return Member{}, false
	}
	// Random, so that routers that start together spread over the serving ones. The choice is not security-sensitive.
	return all[rand.IntN(len(all))], true
}

func memberID(member Member) uint64 { return xxhash.Sum64String(string(member.Instance)) }

// memberWeight returns the weight of a router in the choice of addresses for callers. No caller gets an address twice, which
// favours small routers; the exponent compensates for it.
func memberWeight(member Member) float64 {
	return math.Pow(max(member.Cores, minCores), weightExponent)
}
