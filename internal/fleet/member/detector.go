package member

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// Interval is the time between two heartbeats to a peer.
	Interval = time.Second
	// slack is added to a number of intervals, so that the jitter of two timers counts as no missed heartbeat.
	slack       = 250 * time.Millisecond
	missedLimit = 3
	// suspectAfter is the silence after which a peer is suspected.
	suspectAfter = missedLimit*Interval + slack
	slowAfter    = Interval + slack
	// pauseLimit is the silence of this router itself that shows a pause. Its peers could not be heard in that time, so
	// they are not suspected for it.
	pauseLimit = Interval + 2*slack
	// replyInterval bounds extra heartbeats to a peer that has lost the log.
	replyInterval = Interval / 2
	// expireDelay is added before a session is expired by another router than the first of those that suspect it.
	expireDelay = Interval
	// sentKept is the number of own heartbeats to a peer whose time is known. Older echoes prove nothing that is of use.
	sentKept = 16
)

// Config is the configuration of a Detector.
type Config struct {
	// Keeper gets what peers say about their replicas, and tells what to say about the own one. Required.
	Keeper *lease.Keeper
	// InstanceGone reports whether the platform's instance list lacks an instance; nil takes none to be gone.
	InstanceGone func(clementinewind.Instance) bool
}

// Detector suspects routers that no longer answer. It may be used by many goroutines.
type Detector struct {
	config Config
	urgent chan struct{}

	mu       sync.Mutex
	self     clementinewind.Session
	view     state.View
	draining bool
	failed   bool
	peers    map[clementinewind.Session]*peer
	// ring has the sessions that this router exchanges heartbeats with, without those that it adds for an agreement.
	ring     []clementinewind.Session
	lost     map[clementinewind.Session]time.Time
	regained map[clementinewind.Session]time.Time
	// active is when this router last did anything here.
	active time.Time
}

// peer is what is known of one router.
type peer struct {
	// sequence is that of the last heartbeat to the peer, and sent has the times of the last ones.
	sequence uint64
	sent     [sentKept]time.Time
	// heard and echo are the highest sequence and echo received.
	heard     uint64
	echo      uint64
	offset    clementinewind.Offset
	draining  bool
	suspects  []clementinewind.Session
	repliedAt time.Time
	// goodAt is when the peer last showed that heartbeats pass in both directions.
	goodAt time.Time
}

// Peer is what a router thinks of a peer.
type Peer struct {
	Session clementinewind.Session
	State   State
	// Offset is the first control offset that the peer is not known to have applied.
	Offset clementinewind.Offset
	// HeardAt is when the last heartbeat came that shows a connection in both directions; zero for a router that is not
	// a neighbour.
	HeardAt time.Time
}

// New returns a detector that knows no sessions.
func New(config Config) *Detector {
	if config.InstanceGone == nil {
		config.InstanceGone = func(clementinewind.Instance) bool { return false }
	}
	return &Detector{
		config:   config,
		urgent:   make(chan struct{}, 1),
		self:     clementinewind.NoSession,
		view:     state.View{MembershipOffset: -1},
		peers:    map[clementinewind.Session]*peer{},
		lost:     map[clementinewind.Session]time.Time{},
		regained: map[clementinewind.Session]time.Time{},
		active:   time.Now(),
	}
}

// SetSession sets the session of this router, also for the keeper.
func (detector *Detector) SetSession(self clementinewind.Session) {
	detector.config.Keeper.SetSession(self)
	detector.mu.Lock()
	defer detector.mu.Unlock()
	if detector.self != self {
		// The peers count the heartbeats to each session from 1, so what was heard under another session says nothing.
		clear(detector.peers)
		detector.ring = nil
	}
	detector.self = self
	detector.chooseRing(detector.wake())
}

// SetDraining makes heartbeats say that this router is leaving.
func (detector *Detector) SetDraining() {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.draining = true
	detector.signal()
}

// Observe takes a new view of the replica, and passes it on to the keeper.
func (detector *Detector) Observe(view state.View) {
	detector.config.Keeper.Observe(view)
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.wake()
	if view.Version <= detector.view.Version {
		return
	}
	if view.MembershipOffset > detector.view.MembershipOffset {
		// A new owner waits until the previous one, and most others, are known to have applied the record.
		detector.signal()
	}
	detector.view = view
	detector.chooseRing(now)
	detector.forget(now)
	gone := func(session clementinewind.Session, _ time.Time) bool { return !detector.live(session) }
	maps.DeleteFunc(detector.lost, gone)
	maps.DeleteFunc(detector.regained, gone)
}

// Forget drops sessions that have ended and no longer answer. Call it once an Interval: the last heartbeat of a session that
// was expired may arrive after the record of its end, and nothing else may follow for hours.
func (detector *Detector) Forget() {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	detector.forget(detector.wake())
}

func (detector *Detector) forget(now time.Time) {
	maps.DeleteFunc(detector.peers, func(session clementinewind.Session, peer *peer) bool {
		return !detector.live(session) && now.Sub(peer.goodAt) > suspectAfter
	})
}

// chooseRing finds the neighbours. A session is heard, or suspected, only from the time at which it becomes a neighbour.
func (detector *Detector) chooseRing(now time.Time) {
	ring := Neighbours(detector.sessions(), detector.self)
	for _, session := range ring {
		if !slices.Contains(detector.ring, session) {
			peer := detector.peer(session, now)
			peer.goodAt = now
		}
	}
	detector.ring = ring
}

// Failed passes the failure of an own read of the log on to the keeper, and tells the peers early about the first one.
func (detector *Detector) Failed(err error) {
	detector.config.Keeper.ReadFailed(err)
	detector.mu.Lock()
	defer detector.mu.Unlock()
	if !detector.failed {
		detector.failed = true
		detector.signal()
	}
}

// Urgent returns a channel that receives when heartbeats to all peers should be sent at once.
func (detector *Detector) Urgent() <-chan struct{} { return detector.urgent }

func (detector *Detector) signal() {
	select {
	case detector.urgent <- struct{}{}:
	default:
	}
}

// Heartbeat returns the next heartbeat to a peer, or nil when the peer is none to exchange heartbeats with.
func (detector *Detector) Heartbeat(session clementinewind.Session) *peerv1.Heartbeat {
	status := detector.config.Keeper.Status()
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.wake()
	detector.failed = status.LogLost
	if detector.self == clementinewind.NoSession || session == detector.self {
		return nil
	}
	if !detector.live(session) && detector.peers[session] == nil {
		return nil
	}
	peer := detector.peer(session, now)
	peer.sequence++
	peer.sent[peer.sequence%sentKept] = now
	heartbeat := &peerv1.Heartbeat{
		Session:        int64(detector.self),
		Sequence:       peer.sequence,
		Echo:           peer.heard,
		Offset:         int64(status.Offset),
		FreshAgeMillis: -1,
		Draining:       detector.draining,
	}
	if !status.ProvenAt.IsZero() {
		heartbeat.FreshAgeMillis = ceilMillis(now.Sub(status.ProvenAt))
	}
	if status.LogLost {
		heartbeat.LogLost = append(heartbeat.LogLost, &peerv1.LogLost{Session: int64(detector.self)})
	}
	// A router that is behind a peer relays nothing; see lease.Keeper for the reason.
	if !status.Behind {
		for _, lost := range slices.Sorted(maps.Keys(detector.lost)) {
			age := now.Sub(detector.lost[lost])
			if lost != session && age < lease.Validity {
				heartbeat.LogLost = append(heartbeat.LogLost, &peerv1.LogLost{Session: int64(lost), AgeMillis: ceilMillis(age)})
			}
		}
	}
	for _, suspect := range detector.suspects(now) {
		heartbeat.Suspects = append(heartbeat.Suspects, int64(suspect))
	}
	return heartbeat
}

// ceilMillis rounds an age up, so that nothing seems younger than it is.
func ceilMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// Receive takes a heartbeat of a peer. It returns true when a heartbeat should be sent back at once: ages count from the
// heartbeat that is echoed, and a peer that has lost the log needs them short.
func (detector *Detector) Receive(heartbeat *peerv1.Heartbeat) (reply bool) {
	session := clementinewind.Session(heartbeat.GetSession())
	report, lost, reply := detector.receive(session, heartbeat)
	if report.Session == clementinewind.NoSession {
		return false
	}
	detector.config.Keeper.SetLost(lost)
	detector.config.Keeper.Hear(report)
	return reply
}

func (detector *Detector) receive(session clementinewind.Session, heartbeat *peerv1.Heartbeat) (
	report lease.Report, lost map[clementinewind.Session]time.Time, reply bool,
) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.wake()
	if session == detector.self || session == clementinewind.NoSession {
		return lease.Report{Session: clementinewind.NoSession}, nil, false
	}
	peer := detector.peer(session, now)
	if heartbeat.GetSequence() <= peer.heard {
		return lease.Report{Session: clementinewind.NoSession}, nil, false
	}
	peer.heard = heartbeat.GetSequence()
	if echo := heartbeat.GetEcho(); echo > peer.echo && echo <= peer.sequence {
		peer.echo, peer.goodAt = echo, now
	}
	peer.offset = max(peer.offset, clementinewind.Offset(heartbeat.GetOffset()))
	peer.draining = heartbeat.GetDraining()
	peer.suspects = peer.suspects[:0]
	for _, suspect := range heartbeat.GetSuspects() {
		peer.suspects = append(peer.suspects, clementinewind.Session(suspect))
	}

	report = lease.Report{Session: session, Offset: clementinewind.Offset(heartbeat.GetOffset())}
	lostLog := slices.ContainsFunc(heartbeat.GetLogLost(), func(lost *peerv1.LogLost) bool {
		return lost.GetSession() == int64(session)
	})
	if bound, ok := peer.builtAfter(heartbeat.GetEcho()); ok {
		if age := heartbeat.GetFreshAgeMillis(); age >= 0 {
			report.ProvenAt = bound.Add(-time.Duration(age) * time.Millisecond)
		}
		if !lostLog {
			detector.regained[session] = bound
			delete(detector.lost, session)
		}
		for _, entry := range heartbeat.GetLogLost() {
			id := clementinewind.Session(entry.GetSession())
			at := bound.Add(-time.Duration(entry.GetAgeMillis()) * time.Millisecond)
			if id != detector.self && detector.live(id) && at.After(detector.lost[id]) && !at.Before(detector.regained[id]) {
				detector.lost[id] = at
			}
		}
	}
	if lostLog && now.Sub(peer.repliedAt) >= replyInterval {
		peer.repliedAt, reply = now, true
	}
	return report, maps.Clone(detector.lost), reply
}

// builtAfter returns a local time that is not after the one at which a heartbeat with this echo was built: the time at
// which the echoed heartbeat was built. The time of receipt would make a delayed heartbeat look recent.
func (peer *peer) builtAfter(echo uint64) (time.Time, bool) {
	if echo == 0 || echo > peer.sequence || echo+sentKept <= peer.sequence {
		return time.Time{}, false
	}
	return peer.sent[echo%sentKept], true
}

// Neighbours returns the sessions to exchange heartbeats with: the neighbours on the ring, and the neighbours of those
// that are suspected, since neighbours of one router do not hear each other on a large ring and have to agree.
func (detector *Detector) Neighbours() []clementinewind.Session {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	sessions, now := detector.sessions(), time.Now()
	neighbours := slices.Clone(detector.ring)
	for _, suspect := range detector.suspects(now) {
		neighbours = append(neighbours, Neighbours(sessions, suspect)...)
	}
	slices.Sort(neighbours)
	return slices.DeleteFunc(slices.Compact(neighbours), func(session clementinewind.Session) bool {
		return session == detector.self
	})
}

// Peers returns what this router thinks of all live sessions and of those that left and still answer.
func (detector *Detector) Peers() []Peer {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := time.Now()
	sessions := detector.sessions()
	for session := range detector.peers {
		if !slices.Contains(sessions, session) {
			sessions = append(sessions, session)
		}
	}
	slices.Sort(sessions)
	var peers []Peer
	for _, session := range sessions {
		if session == detector.self {
			continue
		}
		entry := Peer{Session: session, State: detector.state(session, now)}
		if peer := detector.peers[session]; peer != nil {
			entry.Offset, entry.HeardAt = peer.offset, peer.goodAt
		}
		peers = append(peers, entry)
	}
	return peers
}

// Missing returns the live sessions, other than that of this router, that are not known to have applied the records below
// a version. Nothing is known of routers that are no neighbours.
func (detector *Detector) Missing(version clementinewind.Offset) []clementinewind.Session {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	return slices.DeleteFunc(detector.sessions(), func(session clementinewind.Session) bool {
		peer := detector.peers[session]
		return session == detector.self || peer != nil && peer.offset >= version
	})
}

// Expirable returns the sessions that this router should expire now. Call it once an Interval. A session is expired when
// this router and another neighbour suspect it, and when more than half of all live sessions, and of the neighbours of
// this router with itself, are present, or when the platform no longer lists its instance. So a minority that still
// reaches the log cannot expire the majority.
func (detector *Detector) Expirable() []clementinewind.Session {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	now := detector.wake()
	if !detector.live(detector.self) {
		return nil
	}
	reported := map[clementinewind.Session]bool{}
	for session, peer := range detector.peers {
		if detector.hears(session, now) {
			for _, suspect := range peer.suspects {
				reported[suspect] = true
			}
		}
	}
	// A session that has missed a heartbeat is not present. When a partition silences many, the first of them is
	// suspected while the others have missed only two, and must not be expired on their account.
	present := func(session clementinewind.Session) bool {
		peer := detector.peers[session]
		silent := slices.Contains(detector.ring, session) && now.Sub(peer.goodAt) > slowAfter
		return session == detector.self || !reported[session] && !silent
	}
	sessions := detector.sessions()
	majority := mostly(sessions, present) && mostly(append(slices.Clip(detector.ring), detector.self), present)
	return slices.DeleteFunc(detector.suspects(now), func(suspect clementinewind.Session) bool {
		session, _ := detector.view.Session(suspect)
		return !majority && !detector.config.InstanceGone(session.Instance) || !detector.agreed(suspect, now)
	})
}

// mostly reports whether a condition holds for more than half of some sessions.
func mostly(sessions []clementinewind.Session, condition func(clementinewind.Session) bool) bool {
	count := 0
	for _, session := range sessions {
		if condition(session) {
			count++
		}
	}
	return 2*count > len(sessions)
}

// agreed reports whether another router that is heard suspects the session as well. The lowest of those that suspect it
// acts first, so that usually one record is appended.
func (detector *Detector) agreed(suspect clementinewind.Session, now time.Time) bool {
	agreed, first := false, true
	for session, peer := range detector.peers {
		if session != suspect && detector.hears(session, now) && slices.Contains(peer.suspects, suspect) {
			agreed = true
			first = first && detector.self < session
		}
	}
	return agreed && (first || now.Sub(detector.peers[suspect].goodAt) > suspectAfter+expireDelay)
}

// hears reports whether a session is live and answers.
func (detector *Detector) hears(session clementinewind.Session, now time.Time) bool {
	state := detector.state(session, now)
	return state == StateAlive || state == StateSlow || state == StateLeaving && detector.live(session)
}

// suspects returns the sessions that this router itself suspects.
func (detector *Detector) suspects(now time.Time) []clementinewind.Session {
	var suspects []clementinewind.Session
	for session := range detector.peers {
		if detector.state(session, now) == StateSuspected {
			suspects = append(suspects, session)
		}
	}
	slices.Sort(suspects)
	return suspects
}

func (detector *Detector) state(session clementinewind.Session, now time.Time) State {
	peer, live := detector.peers[session], detector.live(session)
	silence := time.Duration(0)
	if peer != nil && (!live || slices.Contains(detector.ring, session)) {
		silence = now.Sub(peer.goodAt)
	}
	switch {
	case !live && (peer == nil || silence > suspectAfter || !detector.closed(session)):
		return StateGone
	case live && silence > suspectAfter:
		return StateSuspected
	case !live || peer != nil && peer.draining:
		return StateLeaving
	case silence > slowAfter:
		return StateSlow
	default:
		return StateAlive
	}
}

func (detector *Detector) closed(session clementinewind.Session) bool {
	return slices.ContainsFunc(detector.view.Ended, func(ended state.EndedSession) bool {
		return ended.Closed && ended.Session.ID == session
	})
}

func (detector *Detector) live(session clementinewind.Session) bool {
	_, ok := detector.view.Session(session)
	return ok
}

func (detector *Detector) sessions() []clementinewind.Session {
	sessions := make([]clementinewind.Session, len(detector.view.Sessions))
	for i, session := range detector.view.Sessions {
		sessions[i] = session.ID
	}
	return sessions
}

func (detector *Detector) peer(session clementinewind.Session, now time.Time) *peer {
	found, ok := detector.peers[session]
	if !ok {
		found = &peer{goodAt: now}
		detector.peers[session] = found
	}
	return found
}

// wake notes that this router is active, and forgives its peers a silence in which it was paused itself.
func (detector *Detector) wake() time.Time {
	now := time.Now()
	if now.Sub(detector.active) > pauseLimit {
		for _, peer := range detector.peers {
			peer.goodAt = now
		}
	}
	detector.active = now
	return now
}
