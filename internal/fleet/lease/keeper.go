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
	// Validity is how long a proof of freshness, or a router's report that it lost the log, is valid.
	Validity = 2 * time.Second
	// Margin covers the time between the check and the write to the upstream, and the difference between clock rates.
	Margin = 500 * time.Millisecond
	// HandoverWait is how long a new owner waits for a previous one that may not have applied the change of ownership.
	HandoverWait = Validity + Margin
	// ReadWait is the longest time that a read should block at the end of the log. A proof dates from the start of its
	// read, so it gets up to twice as old before the next one, which must stay well below Validity.
	ReadWait = 500 * time.Millisecond
	// logLostTimeout is the time since the start of the last successful read after which the log counts as lost, even if no
	// read has failed. It detects a read that hangs, and leaves time for a heartbeat before Validity ends.
	logLostTimeout = 1250 * time.Millisecond
	// endedSessionGrace is the time after the expiry of a session during which its router may still report a lost log.
	// Without this bound, routers that replace a failed majority would wait forever.
	endedSessionGrace = 10 * time.Second
	noTime            = time.Duration(-1 << 62)
)

// Config is the configuration of a Keeper.
type Config struct {
	// Neighbours returns the sessions whose heartbeats this router receives; nil means all.
	Neighbours func(sessions []clementinewind.Session, self clementinewind.Session) []clementinewind.Session
}

// Report is what a heartbeat of a peer says about its replica.
type Report struct {
	Session clementinewind.Session
	// Offset is the first control offset that the peer has not applied.
	Offset clementinewind.Offset
	// ProvenAt is a local time, zero without proof. The end of the log was at most Offset at this time or at a later one.
	ProvenAt time.Time
}

// Status is what a router tells its peers about its replica.
type Status struct {
	Offset clementinewind.Offset
	// ProvenAt is zero without proof.
	ProvenAt time.Time
	// LogLost means that this router's reads of the log fail or hang.
	LogLost bool
	// Behind means that a peer has applied records that this router has not.
	Behind bool
}

// Keeper tracks whether one session may send new requests, and to which upstreams. It is safe for concurrent use.
type Keeper struct {
	config Config
	start  time.Time
	table  atomic.Pointer[table]
	// provenAt and outageUntil are durations since start, so that a request can check them without a lock.
	provenAt    atomic.Int64
	outageUntil atomic.Int64

	mu       sync.Mutex
	self     clementinewind.Session
	observed bool
	view     state.View
	// neighbours are the sessions whose heartbeats this router receives, and its own.
	neighbours     []clementinewind.Session
	generations    []*generation
	pendingProofs  []proof
	appliedOffsets map[clementinewind.Session]clementinewind.Offset
	highestOffset  clementinewind.Offset
	logLostAt      map[clementinewind.Session]time.Duration
	lastReadAt     time.Duration
	readFailing    bool
}

type proof struct {
	at   time.Duration
	tail clementinewind.Offset
}

// New returns a keeper that permits nothing until it has a proof of freshness.
func New(config Config) *Keeper {
	if config.Neighbours == nil {
		config.Neighbours = func(sessions []clementinewind.Session, _ clementinewind.Session) []clementinewind.Session {
			return sessions
		}
	}
	keeper := &Keeper{
		config:         config,
		start:          time.Now(),
		self:           clementinewind.NoSession,
		appliedOffsets: map[clementinewind.Session]clementinewind.Offset{},
		logLostAt:      map[clementinewind.Session]time.Duration{},
		lastReadAt:     noTime,
		highestOffset:  -1,
	}
	keeper.provenAt.Store(int64(noTime))
	keeper.outageUntil.Store(int64(noTime))
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

// Observe records a new view of the replica. It must be called after every change, and before ReadSucceeded for the same
// read.
func (keeper *Keeper) Observe(view state.View) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	if keeper.observed && view.Version <= keeper.view.Version {
		return
	}
	keeper.addGenerations(view)
	keeper.view, keeper.observed = view, true
	keeper.rebuild()
	keeper.pendingProofs = slices.DeleteFunc(keeper.pendingProofs, func(proof proof) bool {
		if proof.tail > view.Version {
			return false
		}
		keeper.acceptProof(proof)
		return true
	})
	keeper.updateOutage()
}

// ReadSucceeded records the proof of freshness from this router's own read of the control stream.
func (keeper *Keeper) ReadSucceeded(freshness plog.Freshness) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	sent := freshness.Sent.Sub(keeper.start)
	keeper.lastReadAt, keeper.readFailing = max(keeper.lastReadAt, sent), false
	keeper.acceptProof(proof{at: sent, tail: freshness.Tail})
	keeper.updateOutage()
}

// ReadFailed records that this router's own read of the control stream failed.
func (keeper *Keeper) ReadFailed(error) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.readFailing = true
	keeper.updateOutage()
}

// Hear records what the heartbeat of a peer says about its replica.
func (keeper *Keeper) Hear(report Report) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	keeper.appliedOffsets[report.Session] = max(keeper.appliedOffsets[report.Session], report.Offset)
	keeper.highestOffset = max(keeper.highestOffset, report.Offset)
	if !report.ProvenAt.IsZero() {
		keeper.acceptProof(proof{at: report.ProvenAt.Sub(keeper.start), tail: report.Offset})
	}
	keeper.updateGenerations()
	keeper.updateOutage()
}

// SetLost sets the sessions that reported a lost log, each with a local time that is no later than its report.
func (keeper *Keeper) SetLost(lost map[clementinewind.Session]time.Time) {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	clear(keeper.logLostAt)
	for session, at := range lost {
		keeper.logLostAt[session] = at.Sub(keeper.start)
	}
	keeper.updateOutage()
}

// Status returns what the heartbeats of this router report.
func (keeper *Keeper) Status() Status {
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	status := Status{Offset: keeper.view.Version, LogLost: keeper.logLost(), Behind: keeper.behind()}
	if at := time.Duration(keeper.provenAt.Load()); at != noTime {
		status.ProvenAt = keeper.start.Add(at)
	}
	return status
}

// acceptProof applies a proof if the replica has reached its tail, and otherwise keeps it until then.
func (keeper *Keeper) acceptProof(proof proof) {
	if keeper.observed && proof.tail <= keeper.view.Version {
		keeper.provenAt.Store(max(keeper.provenAt.Load(), int64(proof.at)))
		return
	}
	// The replica reaches the oldest tails first, so a newer proof with a higher tail must not replace them.
	const maxPending = 16
	if len(keeper.pendingProofs) < maxPending {
		keeper.pendingProofs = append(keeper.pendingProofs, proof)
	}
}

func (keeper *Keeper) logLost() bool {
	return keeper.readFailing || keeper.now()-keeper.lastReadAt > logLostTimeout
}

func (keeper *Keeper) behind() bool { return keeper.highestOffset > keeper.view.Version }

// updateOutage computes until when more than half of the live sessions count as having lost the log. A router that is
// behind a peer does not assume an outage: that peer has read a record that may have moved its upstreams. For the same
// reason a router that is behind does not relay the reports of others. So every report that counts here comes from a router
// that had applied nothing beyond the view of this one.
func (keeper *Keeper) updateOutage() {
	until := noTime
	if !keeper.behind() && keeper.logLost() {
		var ends []time.Duration
		for _, session := range keeper.view.Sessions {
			if session.ID == keeper.self {
				ends = append(ends, keeper.now()+Validity)
			} else if at, ok := keeper.logLostAt[session.ID]; ok {
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

// addGenerations adds the generations of owners that the records between two views superseded.
func (keeper *Keeper) addGenerations(view state.View) {
	now := keeper.now()
	switch {
	case keeper.observed && view.EndedSince <= keeper.view.Version:
		keeper.replaySessionRecords(view, now)
	case view.Version > 0:
		// Some changes of ownership are unknown, so any session may have been an owner until this version. More than half
		// of the sessions, both of those before and of those after the gap, must have applied it.
		if keeper.observed {
			before := newGeneration(keeper.view.Sessions, nil, view.Version-1, now)
			for _, session := range keeper.view.Sessions {
				if _, ok := view.Session(session.ID); !ok {
					before.goneAt[session.ID] = now + endedSessionGrace
				}
			}
			keeper.generations = append(keeper.generations, before)
		}
		keeper.generations = append(keeper.generations, newGeneration(view.Sessions, nil, view.Version-1, now))
	}
	for _, ended := range view.Ended {
		for _, generation := range keeper.generations {
			generation.recordEnd(ended, now)
		}
	}
	needed := func(session clementinewind.Session) bool {
		_, ok := view.Session(session)
		return ok || slices.ContainsFunc(keeper.generations, func(generation *generation) bool { return generation.hasMember(session) })
	}
	maps.DeleteFunc(keeper.appliedOffsets, func(session clementinewind.Session, _ clementinewind.Offset) bool { return !needed(session) })
}

// replaySessionRecords adds a generation for each session record between the current view and the next one.
func (keeper *Keeper) replaySessionRecords(view state.View, now time.Duration) {
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
			keeper.generations = append(keeper.generations, newGeneration(sessions, ringOf(sessions), offset, now))
		}
		sessions = next
	}
}

// dropSafeGenerations deletes generations whose owners have all stopped.
func (keeper *Keeper) dropSafeGenerations(now time.Duration) {
	keeper.generations = slices.DeleteFunc(keeper.generations, func(generation *generation) bool { return generation.safe(now) })
}

// updateGenerations deletes safe generations. For the others it updates which sessions have applied the record that
// superseded them, and from when they are safe.
func (keeper *Keeper) updateGenerations() {
	now := keeper.now()
	keeper.dropSafeGenerations(now)
	for _, generation := range keeper.generations {
		generation.recordApplied(keeper.self, keeper.view.Version, now)
		for session, offset := range keeper.appliedOffsets {
			generation.recordApplied(session, offset, now)
		}
		generation.updateSafeAt(keeper.neighbours, now)
	}
}
