package lease

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/place"
	"github.com/clementinewind/clementinewind/internal/store/state"
)

// past is a set of owners that the session record at offset superseded. A router that has not read the record may still
// send as an owner of this ring. It stops when its proof of freshness lapses, at most Validity after the record was
// appended, unless it counts itself in a log outage. For that it needs more than half of the members to say that they
// lost the log, and to say it at a version without the record. So once more than half of the members are known to have
// applied the record, such a router stops within Validity as well.
type past struct {
	members []clementinewind.Session
	// ring is nil when the owners are not known.
	ring   *place.Rendezvous[clementinewind.Session]
	offset clementinewind.Offset
	readAt time.Duration
	// closed members have sent their last request. gone members cannot be witnesses of an outage from the given time on.
	// applied members were known at the given time to have applied the record.
	closed  map[clementinewind.Session]bool
	gone    map[clementinewind.Session]time.Duration
	applied map[clementinewind.Session]time.Duration
	// clearAt is the time from which no owner of this ring can send, or -1 while it is not known.
	clearAt atomic.Int64
}

func newPast(sessions []state.Session, ring *place.Rendezvous[clementinewind.Session], offset clementinewind.Offset, now time.Duration) *past {
	past := &past{
		ring:    ring,
		offset:  offset,
		readAt:  now,
		closed:  map[clementinewind.Session]bool{},
		gone:    map[clementinewind.Session]time.Duration{},
		applied: map[clementinewind.Session]time.Duration{},
	}
	for _, session := range sessions {
		past.members = append(past.members, session.ID)
	}
	past.clearAt.Store(-1)
	return past
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

func (past *past) has(session clementinewind.Session) bool {
	return slices.Contains(past.members, session)
}

// stopped reports whether one member has stopped by itself. Margin covers the requests that it had in hand when it applied
// the record.
func (past *past) stopped(session clementinewind.Session, now time.Duration) bool {
	at, ok := past.applied[session]
	return past.closed[session] || ok && now >= at+Margin
}

// passed reports whether no owner of the ring can send any more.
func (past *past) passed(now time.Duration) bool {
	clearAt := time.Duration(past.clearAt.Load())
	return clearAt >= 0 && now >= clearAt
}

// end notes that a session ended.
func (past *past) end(ended state.EndedSession, now time.Duration) {
	id := ended.Session.ID
	if _, known := past.gone[id]; known || ended.Offset < past.offset || !past.has(id) {
		return
	}
	switch {
	case ended.Closed:
		past.closed[id] = true
		past.gone[id] = now
	case ended.Replaced:
		past.gone[id] = now
	default:
		past.gone[id] = now + goneAfter
	}
}

// hear notes that a member has applied the records below an offset.
func (past *past) hear(session clementinewind.Session, offset clementinewind.Offset, now time.Duration) {
	// Before this router has a session, its own progress says nothing about any member.
	if _, known := past.applied[session]; !known && offset > past.offset && session != clementinewind.NoSession {
		past.applied[session] = now
	}
}

// count sets clearAt when more than half of the members have applied the record or are gone. A router of a large fleet does
// not hear all members. Then all of those that it hears, but for one that may have failed, must have applied the record.
// That is a sample and no proof: were half of a fleet behind, about one sample in thirty would show so few of them.
func (past *past) count(neighbours []clementinewind.Session, now time.Duration) {
	if past.clearAt.Load() >= 0 {
		return
	}
	count, unheard := 0, 0
	for _, session := range past.members {
		goneAt, ended := past.gone[session]
		if _, applied := past.applied[session]; applied || ended && now >= goneAt {
			count++
		} else if !ended && !slices.Contains(neighbours, session) {
			unheard++
		}
	}
	late := 0
	for _, session := range neighbours {
		if _, applied := past.applied[session]; !applied {
			late++
		}
	}
	if 2*count > len(past.members) || len(past.members) == 0 || unheard > 0 && late <= 1 {
		past.clearAt.Store(int64(max(past.readAt, now) + HandoverWait))
	}
}
