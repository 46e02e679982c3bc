package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/place"
)

// snapshotTime is how long a snapshot is used while nothing is heard. The ends of silences are noticed with this delay.
const snapshotTime = 20 * time.Millisecond

// snapshot is the fleet at one moment. It does not change, so that the requests of a busy router read it without waiting for
// each other.
type snapshot struct {
	at time.Time
	// alive are the routers that are heard, and the router itself, by name.
	alive []Member
	// mean is their mean load, and excess the part of the router's own load that should go elsewhere.
	mean   float64
	excess float64
	// owners returns the ring that decides which of those that serve requests owns a key. It is built when a cold upstream
	// is first looked up.
	owners func() *place.Rendezvous[Member]
}

// view returns the fleet as it was at most snapshotTime before now.
func (roster *Roster) view(now time.Time) *snapshot {
	if current := roster.current.Load(); current.covers(now) {
		return current
	}
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if current := roster.current.Load(); current.covers(now) {
		return current
	}
	taken := roster.takeLocked(now)
	roster.current.Store(taken)
	return taken
}

func (snapshot *snapshot) covers(now time.Time) bool {
	return snapshot != nil && !now.Before(snapshot.at) && now.Sub(snapshot.at) < snapshotTime
}

func (roster *Roster) takeLocked(now time.Time) *snapshot {
	alive := []Member{roster.self}
	for _, member := range roster.members {
		if now.Sub(member.heard) <= silence {
			alive = append(alive, member.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	taken := &snapshot{at: now, alive: alive, mean: meanLoad(alive), owners: sync.OnceValue(func() *place.Rendezvous[Member] {
		return place.New(place.Config[Member]{Members: serving(alive), ID: memberID})
	})}
	if load := roster.self.Load; crowded(load, taken.mean, len(alive)) {
		taken.excess = 1 - crowdedFactor*taken.mean/load
	}
	return taken
}

// serving returns those that take requests.
func serving(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Leaving || !member.Ready })
}
