package lease

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/place"
	"github.com/clementinewind/clementinewind/internal/store/state"
)

// generation is a set of owners that the session record at offset superseded. A router that has not read the record may
// still send as an owner of this generation. It stops when its proof of freshness expires, at most Validity after the
// record was appended, unless it assumes a log outage. That takes reports of a lost log from more than half of the members,
// at versions without the record. So once more than half of the members are known to have applied the record, such a
// router stops within Validity too.
type generation struct {
	members []clementinewind.Session
	// ring maps upstreams to owners; nil if the owners are unknown.
	ring       *place.Rendezvous[clementinewind.Session]
	offset     clementinewind.Offset
	observedAt time.Duration
	// closed members have sent their last request. goneAt is the time from which a member cannot report a lost log any
	// more. appliedAt is when this router learned that a member had applied the record.
	closed    map[clementinewind.Session]bool
	goneAt    map[clementinewind.Session]time.Duration
	appliedAt map[clementinewind.Session]time.Duration
	// safeAt is the time from which no owner of this generation can send, or -1 while it is unknown.
	safeAt atomic.Int64
}

func newGeneration(sessions []state.Session, ring *place.Rendezvous[clementinewind.Session], offset clementinewind.Offset, now time.Duration) *generation {
	generation := &generation{
		ring:       ring,
		offset:     offset,
		observedAt: now,
		closed:     map[clementinewind.Session]bool{},
		goneAt:     map[clementinewind.Session]time.Duration{},
		appliedAt:  map[clementinewind.Session]time.Duration{},
	}
	for _, session := range sessions {
		generation.members = append(generation.members, session.ID)
	}
	generation.safeAt.Store(-1)
	return generation
}

func ringOf(sessions []state.Session) *place.Rendezvous[clementinewind.Session] {
	return place.New(place.Config[clementinewind.Session]{
		Members: idsOf(sessions),
		ID:      func(session clementinewind.Session) uint64 { return uint64(session) },
	})
}

func idsOf(sessions []state.Session) []clementinewind.Session {
	ids := make([]clementinewind.Session, len(sessions))
	for i, session := range sessions {
		ids[i] = session.ID
	}
	return ids
}

func (generation *generation) hasMember(session clementinewind.Session) bool {
	return slices.Contains(generation.members, session)
}

// memberStopped reports whether a member closed its session or applied the record at least Margin ago. Margin covers
// requests that it was sending when it applied the record.
func (generation *generation) memberStopped(session clementinewind.Session, now time.Duration) bool {
	at, ok := generation.appliedAt[session]
	return generation.closed[session] || ok && now >= at+Margin
}

// safe reports whether no owner of the generation can send any more.
func (generation *generation) safe(now time.Duration) bool {
	safeAt := time.Duration(generation.safeAt.Load())
	return safeAt >= 0 && now >= safeAt
}

// recordEnd records that a session ended.
func (generation *generation) recordEnd(ended state.EndedSession, now time.Duration) {
	id := ended.Session.ID
	if _, known := generation.goneAt[id]; known || ended.Offset < generation.offset || !generation.hasMember(id) {
		return
	}
	switch {
	case ended.Closed:
		generation.closed[id] = true
		generation.goneAt[id] = now
	case ended.Replaced:
		generation.goneAt[id] = now
	default:
		generation.goneAt[id] = now + endedSessionGrace
	}
}

// recordApplied records that a member has applied the records below an offset.
func (generation *generation) recordApplied(session clementinewind.Session, offset clementinewind.Offset, now time.Duration) {
	// Until this router has a session, its own offset says nothing about a member.
	if _, known := generation.appliedAt[session]; !known && offset > generation.offset && session != clementinewind.NoSession {
		generation.appliedAt[session] = now
	}
}

// updateSafeAt sets safeAt when more than half of the members have applied the record or are gone. In a large fleet a
// router does not receive heartbeats from all members. Then it is enough that all its neighbours but one, which may have
// failed, have applied the record. That is a sample and no proof: if half of the fleet had not applied it, about one sample
// in thirty would still pass.
func (generation *generation) updateSafeAt(neighbours []clementinewind.Session, now time.Duration) {
	if generation.safeAt.Load() >= 0 {
		return
	}
	appliedOrGone, unheard := 0, 0
	for _, session := range generation.members {
		goneAt, ended := generation.goneAt[session]
		if _, applied := generation.appliedAt[session]; applied || ended && now >= goneAt {
			appliedOrGone++
		} else if !ended && !slices.Contains(neighbours, session) {
			unheard++
		}
	}
	notApplied := 0
	for _, session := range neighbours {
		if _, applied := generation.appliedAt[session]; !applied {
			notApplied++
		}
	}
	if 2*appliedOrGone > len(generation.members) || len(generation.members) == 0 || unheard > 0 && notApplied <= 1 {
		generation.safeAt.Store(int64(max(generation.observedAt, now) + HandoverWait))
	}
}
