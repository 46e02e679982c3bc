package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/place"
)

// maxSnapshotAge is how long a snapshot is used while the roster does not change. That a router reached silenceTimeout is noticed
// with this delay.
const maxSnapshotAge = 20 * time.Millisecond

// snapshot is an immutable view of the fleet, so that concurrent requests read it without lock contention.
type snapshot struct {
	takenAt time.Time
	// alive are the live routers by name, this one included.
	alive []Member
	// meanLoad is their mean load, excessFraction the fraction of this router's load that should move to others.
	meanLoad       float64
	excessFraction float64
	// owners returns the rendezvous hash that decides which of the serving routers owns a key. It is built on first use.
	owners func() *place.Rendezvous[Member]
}

// snapshotAt returns a view of the fleet that is less than maxSnapshotAge old.
func (roster *Roster) snapshotAt(now time.Time) *snapshot {
	if current := roster.currentSnapshot.Load(); current.isFresh(now) {
		return current
	}
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if current := roster.currentSnapshot.Load(); current.isFresh(now) {
		return current
	}
	built := roster.newSnapshotLocked(now)
	roster.currentSnapshot.Store(built)
	return built
}

func (snapshot *snapshot) isFresh(now time.Time) bool {
	return snapshot != nil && !now.Before(snapshot.takenAt) && now.Sub(snapshot.takenAt) < maxSnapshotAge
}

func (roster *Roster) newSnapshotLocked(now time.Time) *snapshot {
	alive := []Member{roster.self}
	for _, member := range roster.members {
		if now.Sub(member.heardAt) <= silenceTimeout {
			alive = append(alive, member.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	built := &snapshot{takenAt: now, alive: alive, meanLoad: meanLoad(alive), owners: sync.OnceValue(func() *place.Rendezvous[Member] {
		return place.New(place.Config[Member]{Members: serving(alive), ID: memberID})
	})}
	if load := roster.self.Load; isHot(load, built.meanLoad, len(alive)) {
		built.excessFraction = 1 - hotFactor*built.meanLoad/load
	}
	return built
}

// serving returns the routers that accept requests.
func serving(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.Leaving || !member.Ready })
}
