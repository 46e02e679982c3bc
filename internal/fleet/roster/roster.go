// Package roster keeps which routers of the fleet are alive.
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
	// silence is the time without a beat after which a router is left out of answers to callers. It lets one of the beats
	// between zones be lost, which come every 0.8 s in a large fleet.
	silence = 2 * time.Second
	// forget is the time after which a router gets no more beats.
	forget = time.Minute
	// fewestPerZone is the number of routers that a zone must have for its callers to use only those.
	fewestPerZone = 2
	// crowdedFactor is the load against the mean of the fleet from which a router, or a zone, is crowded. Below crowdedLoad
	// requests a second for each core the processor does not bind, and callers stay where they are.
	crowdedFactor = 1.6
	crowdedLoad   = 120.0
	// OverloadedRPSPerCore is the least load of a router whose processor is not enough for what it gets.
	OverloadedRPSPerCore = 1000.0
	// answerSize is the number of routers that one caller is told. Callers of one organisation may all prefer the same
	// router of those they know, so that each caller gets other ones; with 4 it rarely happens that all of them are gone.
	answerSize = 4
	// leastCores stands for routers that do not tell how much processor time they have.
	leastCores = 0.01
	// weightExponent names routers in proportion to their processor time when callers are told of a quarter of them.
	weightExponent = 1.5
	// startFanout is the number of routers to which one passes the topics on while a fleet starts. With 4 the last of sixty in a zone
	// is three steps from the store.
	startFanout = 4
	// isolation is the share of the other routers whose silence means that this router is cut off.
	isolation = 0.5
)

// Member is one router.
type Member struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Incarnation is the start of the process in Unix nanoseconds.
	Incarnation int64
	// CallerAddress is where callers connect, PeerAddress where routers connect.
	CallerAddress string
	PeerAddress   string
	Ready         bool
	Leaving       bool
	// StoreReachable is set while the router's own calls to the platform's store succeed.
	StoreReachable bool
	// Load is the requests a second that the router gets for each core of its instance.
	Load float64
	// Cores is the processor time that the instance has in a second, in seconds.
	Cores float64
}

// Busy reports whether the processor of the router is not enough for what it gets.
func (member Member) Busy() bool { return member.Load >= OverloadedRPSPerCore }

// SameButLoad reports whether two states of a router differ in its load at most, which others may know a moment later.
func (member Member) SameButLoad(other Member) bool {
	member.Load = other.Load
	return member == other
}

// Config configures a Roster.
type Config struct {
	Self Member
}

// Roster holds the routers that are known. Its methods may be called by many goroutines.
type Roster struct {
	// name is that of the router itself.
	name clementinewind.Instance

	mutex   sync.Mutex
	self    Member
	members map[clementinewind.Instance]*known
	// names finds routers by the hash of their names.
	names map[uint32]clementinewind.Instance
	// storeReached is when another router last said that it reaches the platform's store.
	storeReached time.Time
	// current is the last snapshot, or nil if something has changed since.
	current atomic.Pointer[snapshot]
}

type known struct {
	Member
	// heard is when the last beat arrived, or when the router was first listed.
	heard time.Time
	// beaten is set after the first beat of the incarnation.
	beaten bool
}

// New returns a roster with only the router itself.
func New(config Config) *Roster {
	return &Roster{
		name: config.Self.Instance, self: config.Self,
		members: map[clementinewind.Instance]*known{}, names: map[uint32]clementinewind.Instance{},
	}
}

// AddFromStore adds a router that is listed in the platform's store. It counts as alive for a short time only, because entries
// outlive the processes that wrote them.
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
	roster.names[usage.Hash(member.Instance)] = member.Instance
	roster.members[member.Instance] = &known{Member: member, heard: now}
	roster.current.Store(nil)
}

// RecordHeartbeat records that a router was heard, by this one or by another. It reports whether the router was silent, or unknown,
// before. What is older than what is known changes nothing.
func (roster *Roster) RecordHeartbeat(member Member, heard time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.hearLocked(member, heard)
}

func (roster *Roster) hearLocked(member Member, heard time.Time) bool {
	if member.Instance == roster.self.Instance {
		return false
	}
	old, ok := roster.members[member.Instance]
	if ok && (old.Incarnation > member.Incarnation || (old.Incarnation == member.Incarnation && old.beaten && heard.Before(old.heard))) {
		return false
	}
	fresh := !ok || old.Incarnation < member.Incarnation || heard.Sub(old.heard) > silence
	if fresh || !old.SameButLoad(member) {
		roster.current.Store(nil)
	}
	roster.names[usage.Hash(member.Instance)] = member.Instance
	roster.members[member.Instance] = &known{Member: member, heard: heard, beaten: true}
	if member.StoreReachable && heard.After(roster.storeReached) {
		roster.storeReached = heard
	}
	return fresh
}

// Sighting is what the head of a zone says of a router there.
type Sighting struct {
	// Name is a hash of the router's name, Incarnation the lower half of its incarnation.
	Name        uint32
	Incarnation uint32
	Heard       time.Time
	Load        float64

	Ready, Leaving, StoreReachable bool
}

// SightingOf returns what a head says of a router that it heard.
func SightingOf(member Member, heard time.Time) Sighting {
	return Sighting{
		Name: usage.Hash(member.Instance), Incarnation: uint32(member.Incarnation), Heard: heard, Load: member.Load,
		Ready: member.Ready, Leaving: member.Leaving, StoreReachable: member.StoreReachable,
	}
}

// Sightings returns the other routers that are alive, with the time at which each was heard.
func (roster *Roster) Sightings(now time.Time) []Sighting {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var sightings []Sighting
	for _, member := range roster.members {
		if now.Sub(member.heard) <= silence {
			sightings = append(sightings, SightingOf(member.Member, member.heard))
		}
	}
	return sightings
}

// Sight records what the head of a zone heard. Routers that are not known are left out; their description is sent too.
func (roster *Roster) Sight(sightings []Sighting) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	for _, sighting := range sightings {
		old, ok := roster.members[roster.names[sighting.Name]]
		if !ok || uint32(old.Incarnation) != sighting.Incarnation {
			continue
		}
		member := old.Member
		member.Load, member.Ready, member.Leaving = sighting.Load, sighting.Ready, sighting.Leaving
		member.StoreReachable = sighting.StoreReachable
		roster.hearLocked(member, sighting.Heard)
	}
}

// PeerReachedStoreAt returns when another router last said that it reaches the platform's store.
func (roster *Roster) PeerReachedStoreAt() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.storeReached
}

// Silent returns the routers whose silence has just begun, and forgets those that were silent for long.
func (roster *Roster) Silent(now time.Time, since time.Time) []Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var silent []Member
	for instance, member := range roster.members {
		switch end := member.heard.Add(silence); {
		case now.Sub(member.heard) > forget:
			delete(roster.members, instance)
			delete(roster.names, usage.Hash(instance))
			roster.current.Store(nil)
		case end.After(since) && !end.After(now):
			silent = append(silent, member.Member)
		}
	}
	return silent
}

// UpdateSelf changes the router's own state.
func (roster *Roster) UpdateSelf(ready, leaving, storeReachable bool, load float64) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	updated := roster.self
	updated.Ready, updated.Leaving, updated.StoreReachable, updated.Load = ready, leaving, storeReachable, load
	if updated != roster.self {
		roster.self = updated
		roster.current.Store(nil)
	}
}

// Self returns the router itself.
func (roster *Roster) Self() Member {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.self
}

// Peers returns all other routers that are not forgotten.
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

// Count returns how many routers there are, including those that fell silent a short time ago.
func (roster *Roster) Count() int {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return len(roster.members) + 1
}

// Alive returns the routers that are heard, and the router itself.
func (roster *Roster) Alive(now time.Time) []Member { return slices.Clone(roster.view(now).alive) }

// ExcessFraction returns the part of the load of this router that should go elsewhere; it is 0 unless the router is crowded.
func (roster *Roster) ExcessFraction(now time.Time) float64 { return roster.view(now).excess }

func crowded(load, mean float64, members int) bool {
	return members > 1 && load > crowdedLoad && load > crowdedFactor*mean
}

func meanLoad(members []Member) float64 {
	total := 0.0
	for _, member := range members {
		total += member.Load
	}
	return total / float64(max(len(members), 1))
}

// Addresses returns where a caller connects: at a few routers of its zone, or of all zones if its own has too few or much
// more load than the fleet. Crowded routers are left out, and those with more processor time are named to more callers. A
// router that hears hardly any other one is cut off itself, and goes on to name those it knows.
func (roster *Roster) Addresses(zone clementinewind.Zone, caller string, now time.Time) []string {
	members := roster.view(now).alive
	if beaten, cutOff := roster.isolated(len(members) - 1); cutOff {
		members = beaten
	}
	members = serving(members)
	mean := meanLoad(members)
	var near []Member
	for _, member := range members {
		if member.Zone == zone {
			near = append(near, member)
		}
	}
	if len(near) >= fewestPerZone && !crowded(meanLoad(near), mean, len(members)) {
		members = near
	}
	chosen := place.New(place.Config[Member]{Members: uncrowded(members, mean), ID: memberID, Weight: memberWeight}).Top(caller, answerSize)
	addresses := make([]string, len(chosen))
	for i, member := range chosen {
		addresses[i] = member.CallerAddress
	}
	slices.Sort(addresses)
	return addresses
}

// isolated reports whether the router hears so few others that it is cut off itself, and returns all that it ever heard.
func (roster *Roster) isolated(heard int) ([]Member, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if all := len(roster.members); all == 0 || float64(heard) >= isolation*float64(all) {
		return nil, false
	}
	beaten := []Member{roster.self}
	for _, member := range roster.members {
		if member.beaten {
			beaten = append(beaten, member.Member)
		}
	}
	return beaten, true
}

// uncrowded returns the routers that are not crowded, or all if too few are left.
func uncrowded(members []Member, mean float64) []Member {
	var quiet []Member
	for _, member := range members {
		if !crowded(member.Load, mean, len(members)) {
			quiet = append(quiet, member)
		}
	}
	if len(quiet) < fewestPerZone {
		return members
	}
	return quiet
}

// Owns reports whether this router is the owner of a key. While routers disagree on the members, several may be.
func (roster *Roster) Owns(key string, now time.Time) bool {
	owner, ok := roster.view(now).owners().Owner(key)
	return ok && owner.Instance == roster.name
}

// StoreReader returns the router from which this one reads the topics of the platform's store: the first of its zone that
// reaches the store, or the first of all zones. Busy ones come last, because what they pass on is late, and the one with the
// name in passed does not count; "" passes over none. It is false if this router is to read the store itself.
func (roster *Roster) StoreReader(now time.Time, passed clementinewind.Instance) (Member, bool) {
	self := roster.Self()
	var reader *Member
	for _, member := range roster.view(now).alive {
		if !member.StoreReachable || member.Leaving || member.Instance == passed {
			continue
		}
		if reader == nil || readsBefore(member, *reader, self.Zone) {
			reader = &member
		}
	}
	if reader == nil || reader.Instance == self.Instance {
		return Member{}, false
	}
	return *reader, true
}

// readsBefore reports whether a router of a zone rather reads from the first of two than from the second.
func readsBefore(first, second Member, zone clementinewind.Zone) bool {
	if first.Busy() != second.Busy() {
		return second.Busy()
	}
	return first.Zone == zone && second.Zone != zone
}

// StartupParent returns the router from which this one loads the topics while a fleet starts: the routers of a zone form a tree by their names,
// in which each has startFanout below it, so that none has to pass everything on to all. The one with the name in passed does not
// count. It is false if this router is the first of its zone, or the one above it and the first do not count.
func (roster *Roster) StartupParent(now time.Time, passed clementinewind.Instance) (Member, bool) {
	self := roster.Self()
	var above []Member
	for _, member := range roster.view(now).alive {
		if member.Zone == self.Zone && member.Instance < self.Instance {
			above = append(above, member)
		}
	}
	if len(above) == 0 {
		return Member{}, false
	}
	for _, candidate := range []Member{above[(len(above)-1)/startFanout], above[0]} {
		if candidate.Instance != passed && !candidate.Leaving {
			return candidate, true
		}
	}
	return Member{}, false
}

// ServingPeer returns any other router that serves requests, in the own zone if there is one, and so knows the configuration. It
// is false if none is heard.
func (roster *Roster) ServingPeer(now time.Time) (Member, bool) {
	self := roster.Self()
	var near, all []Member
	for _, member := range serving(roster.view(now).alive) {
		if member.Instance == self.Instance {
			continue
		}
		all = append(all, member)
		if member.Zone == self.Zone {
			near = append(near, member)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return Member{}, false
	}
	// Routers that start together spread over those that serve; the choice needs no secrecy.
	return all[rand.IntN(len(all))], true
}

func memberID(member Member) uint64 { return xxhash.Sum64String(string(member.Instance)) }

// memberWeight is how often a router is named to callers against the others. No caller is told of a router twice, which
// favours small ones; the exponent makes up for it.
func memberWeight(member Member) float64 {
	return math.Pow(max(member.Cores, leastCores), weightExponent)
}
