package lease

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
)

const (
	// Validity is how long a proof of freshness, or the statement of a router that it lost the log, counts.
	Validity = 2 * time.Second
	// Margin covers the time between the check and the write to the upstream, and the difference of clock rates.
	Margin = 500 * time.Millisecond
	// HandoverWait is how long a new owner waits for a previous one that it cannot hear.
	HandoverWait = Validity + Margin
	// ReadWait is the longest useful wait of a read at the end of the log. A proof dates from the start of its read, so
	// between two reads it is up to twice as old, which must stay well below Validity.
	ReadWait = 500 * time.Millisecond
	// lostAfter is the age of the newest own proof from which the log counts as lost, although no read has failed. It
	// covers a read that hangs, and leaves time for a heartbeat before Validity ends.
	lostAfter = 1250 * time.Millisecond
	// goneAfter is how long after its expiry a session no longer counts as a possible witness of an outage. Without it,
	// routers that replace a failed majority would wait for ever.
	goneAfter = 10 * time.Second
	never     = time.Duration(-1 << 62)
)

// Config is the configuration of a Keeper.
type Config struct {
	// Neighbours selects the sessions whose heartbeats the router receives; nil selects all.
	Neighbours func(sessions []clementinewind.Session, self clementinewind.Session) []clementinewind.Session
}

// Report is what a heartbeat of a peer says about its replica.
type Report struct {
	Session clementinewind.Session
	// Offset is the first control offset that the peer has not applied.
	Offset clementinewind.Offset
	// ProvenAt is a local time at which, or after which, the end of the log was at Offset or below; zero without proof.
	ProvenAt time.Time
}

// Status is what a router tells its peers about its replica.
type Status struct {
	Offset clementinewind.Offset
	// ProvenAt is zero without proof.
	ProvenAt time.Time
	// LogLost reports that the router's own reads fail.
	LogLost bool
	// Behind reports that a peer has applied records that this router has not.
	Behind bool
}

// Keeper holds the right of one session to send new work. It may be used by many goroutines.
type Keeper struct {
	config Config
	start  time.Time
	table  atomic.Pointer[table]
	// provenAt and outageUntil are durations since start, so that a request checks them without a lock.
	provenAt    atomic.Int64
	outageUntil atomic.Int64

	mu       sync.Mutex
	self     clementinewind.Session
	observed bool
	view     state.View
	// neighbours are the sessions that this router hears, and its own.
	neighbours []clementinewind.Session
	pasts      []*past
	pending    []proof
	heard      map[clementinewind.Session]clementinewind.Offset
	highest    clementinewind.Offset
	lost       map[clementinewind.Session]time.Duration
	readAt     time.Duration
	failed     bool
}

type proof struct {
	at   time.Duration
	tail clementinewind.Offset
}

// New returns a keeper that may not send until it has a proof of freshness.
func New(config Config) *Keeper {
	if config.Neighbours == nil {
		config.Neighbours = func(sessions []clementinewind.Session, _ clementinewind.Session) []clementinewind.Session {
			return sessions
		}
	}
	keeper := &Keeper{
		config:  config,
		start:   time.Now(),
		self:    clementinewind.NoSession,
		heard:   map[clementinewind.Session]clementinewind.Offset{},
		lost:    map[clementinewind.Session]time.Duration{},
		readAt:  never,
		highest: -1,
	}
	keeper.provenAt.Store(int64(never))
	keeper.outageUntil.Store(int64(never))
	keeper.table.Store(&table{fence: -1, self: clementinewind.NoSession})
	return keeper
}

func (keeper *Keeper) now() time.Duration { return time.Since(keeper.start) }

// SetSession sets the session of this router.
func (keeper *Keeper) SetSession(self clementinewind.Session) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.self = self
	keeper.rebuild()
}

// Observe takes a new view of the replica. It must be called after every change, before ReadSucceeded for the same read.
func (keeper *Keeper) Observe(view state.View) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.observed && view.Version <= keeper.view.Version {
		return
	}
	keeper.step(view)
	keeper.view, keeper.observed = view, true
	keeper.rebuild()
	keeper.pending = slices.DeleteFunc(keeper.pending, func(proof proof) bool {
		if proof.tail > view.Version {
			return false
		}
		keeper.prove(proof)
		return true
	})
	keeper.judgeOutage()
}

// ReadSucceeded takes the proof of an own read of the control stream.
func (keeper *Keeper) ReadSucceeded(freshness plog.Freshness) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	sent := freshness.Sent.Sub(keeper.start)
	keeper.readAt, keeper.failed = max(keeper.readAt, sent), false
	keeper.prove(proof{at: sent, tail: freshness.Tail})
	keeper.judgeOutage()
}

// ReadFailed takes the failure of an own read of the control stream.
func (keeper *Keeper) ReadFailed(error) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.failed = true
	keeper.judgeOutage()
}

// Hear takes what a heartbeat says about the replica of a peer.
func (keeper *Keeper) Hear(report Report) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.heard[report.Session] = max(keeper.heard[report.Session], report.Offset)
	keeper.highest = max(keeper.highest, report.Offset)
	if !report.ProvenAt.IsZero() {
		keeper.prove(proof{at: report.ProvenAt.Sub(keeper.start), tail: report.Offset})
	}
	keeper.countApplied()
	keeper.judgeOutage()
}

// SetLost takes the sessions that are known to have lost the log, with the local time at which, or after which, each said
// so.
func (keeper *Keeper) SetLost(lost map[clementinewind.Session]time.Time) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	clear(keeper.lost)
	for session, at := range lost {
		keeper.lost[session] = at.Sub(keeper.start)
	}
	keeper.judgeOutage()
}

// Status returns what a heartbeat says about this router.
func (keeper *Keeper) Status() Status {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	status := Status{Offset: keeper.view.Version, LogLost: keeper.logLost(), Behind: keeper.behind()}
	if at := time.Duration(keeper.provenAt.Load()); at != never {
		status.ProvenAt = keeper.start.Add(at)
	}
	return status
}

// prove takes a proof when the replica has reached its tail, and keeps it for later otherwise.
func (keeper *Keeper) prove(proof proof) {
	if keeper.observed && proof.tail <= keeper.view.Version {
		keeper.provenAt.Store(max(keeper.provenAt.Load(), int64(proof.at)))
		return
	}
	// The oldest tails are reached first, so a newer proof of a higher tail must not replace them.
	const maxPending = 16
	if len(keeper.pending) < maxPending {
		keeper.pending = append(keeper.pending, proof)
	}
}

func (keeper *Keeper) logLost() bool { return keeper.failed || keeper.now()-keeper.readAt > lostAfter }

func (keeper *Keeper) behind() bool { return keeper.highest > keeper.view.Version }

// judgeOutage finds the time until which more than half of the live sessions count as having lost the log. A router that
// is behind a peer does not count itself in an outage: then someone has read a record that may have moved its upstreams.
// For the same reason a router that is behind does not relay the statements of others, so that every statement that
// counts here was made by a router that had applied nothing above the view of this one.
func (keeper *Keeper) judgeOutage() {
	until := never
	if !keeper.behind() && keeper.logLost() {
		var ends []time.Duration
		for _, session := range keeper.view.Sessions {
			if session.ID == keeper.self {
				ends = append(ends, keeper.now()+Validity)
			} else if at, ok := keeper.lost[session.ID]; ok {
				ends = append(ends, at+Validity)
			}
		}
		slices.Sort(ends)
		if majority := len(keeper.view.Sessions)/2 + 1; len(ends) >= majority {
			until = ends[len(ends)-majority]
		}
	}
	keeper.outageUntil.Store(int64(until))
}

// step notes the rings of owners that the records between two views have superseded.
func (keeper *Keeper) step(view state.View) {
	now := keeper.now()
	switch {
	case keeper.observed && view.EndedSince <= keeper.view.Version:
		keeper.replay(view, now)
	case view.Version > 0:
		// Some changes of ownership are not known, so any session may have been the owner until this version. Most of the
		// sessions before and after the gap must have left it behind.
		if keeper.observed {
			before := newPast(keeper.view.Sessions, nil, view.Version-1, now)
			for _, session := range keeper.view.Sessions {
				if _, ok := view.Session(session.ID); !ok {
					before.gone[session.ID] = now + goneAfter
				}
			}
			keeper.pasts = append(keeper.pasts, before)
		}
		keeper.pasts = append(keeper.pasts, newPast(view.Sessions, nil, view.Version-1, now))
	}
	for _, ended := range view.Ended {
		for _, past := range keeper.pasts {
			past.end(ended, now)
		}
	}
	live := func(session clementinewind.Session) bool {
		_, ok := view.Session(session)
		return ok || slices.ContainsFunc(keeper.pasts, func(past *past) bool { return past.has(session) })
	}
	maps.DeleteFunc(keeper.heard, func(session clementinewind.Session, _ clementinewind.Offset) bool { return !live(session) })
}

// replay walks through the session records between the current view and the next one.
func (keeper *Keeper) replay(view state.View, now time.Duration) {
	sessions := keeper.view.Sessions
	opened := map[clementinewind.Offset]state.Session{}
	ended := map[clementinewind.Offset][]clementinewind.Session{}
	for _, session := range view.Sessions {
		opened[clementinewind.Offset(session.ID)] = session
	}
	for _, end := range view.Ended {
		opened[clementinewind.Offset(end.Session.ID)] = end.Session
		ended[end.Offset] = append(ended[end.Offset], end.Session.ID)
	}
	for offset := keeper.view.Version; offset < view.Version; offset++ {
		if _, ok := opened[offset]; !ok && len(ended[offset]) == 0 {
			continue
		}
		next := slices.DeleteFunc(slices.Clone(sessions), func(session state.Session) bool {
			return slices.Contains(ended[offset], session.ID)
		})
		if session, ok := opened[offset]; ok {
			next = append(next, session)
		}
		if len(sessions) > 0 {
			keeper.pasts = append(keeper.pasts, newPast(sessions, ringOf(sessions), offset, now))
		}
		sessions = next
	}
}

// dropPasts forgets superseded rings that can hold nobody back any more.
func (keeper *Keeper) dropPasts(now time.Duration) {
	keeper.pasts = slices.DeleteFunc(keeper.pasts, func(past *past) bool { return past.passed(now) })
}

// countApplied finds out which superseded rings most of their members have left behind.
func (keeper *Keeper) countApplied() {
	now := keeper.now()
	keeper.dropPasts(now)
	for _, past := range keeper.pasts {
		past.hear(keeper.self, keeper.view.Version, now)
		for session, offset := range keeper.heard {
			past.hear(session, offset, now)
		}
		past.count(keeper.neighbours, now)
	}
}
