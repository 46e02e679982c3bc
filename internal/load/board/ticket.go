package board

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Result is how a placed request ended.
type Result int

//go:generate stringer -type Result -trimprefix Result -output result_string.go

const (
	// ResultServed is a complete answer.
	ResultServed Result = iota
	// ResultFailed is an answer that reports a failure of the upstream, ended early or never came.
	ResultFailed
	// ResultDeclined is a request that the upstream rejected before running it.
	ResultDeclined
	// ResultUnreachable is a request that could not be sent.
	ResultUnreachable
	// ResultAbandoned is a request that ended for a reason that does not concern the upstream.
	ResultAbandoned
)

// declineBackoff is how long an upstream gets no requests after it declined one.
const declineBackoff = 50 * time.Millisecond

// sendTimeout is how long after its placement a request may be sent. Opening a connection takes less than a third of
// it; a process that needs longer was paused.
const sendTimeout = time.Second

// Observer is told what became of a placed request. The board is locked meanwhile.
type Observer interface {
	FirstEvent(now time.Time)
	End(result Result, now time.Time)
}

// Ticket is a request that is counted at an upstream. Each ticket must be ended.
type Ticket struct {
	// Entry is the upstream as it was when the request was placed.
	Entry table.Entry
	// Expected is the expected time to the first event.
	Expected time.Duration
	// UncachedTokens is the number of prompt tokens that the upstream has not cached.
	UncachedTokens int
	// Candidates is the number of upstreams that could have been chosen.
	Candidates int
	// RemoteRunning is the number of requests of other routers that run at the upstream.
	RemoteRunning int
	// Cold is set if the upstream was cold.
	Cold bool
	// ReportAge is the age of the report of load by which the upstream was chosen, 0 if there was none. Pace is the expected duration
	// of work there, in multiples of the usual duration. Corrected is set if the report differed from what was known without it.
	ReportAge time.Duration
	Pace      float64
	Corrected bool
	// Observer, if not nil, is told of the answer.
	Observer Observer

	board    *Board
	upstream *upstream
	placedAt time.Time
	// due is when the request becomes overdue if it has no first event.
	due time.Time
	// expiresAt is when the request may no longer be sent, on a clock that includes pauses of the process.
	expiresAt time.Duration
	// prefillTokens are the effective prompt tokens of the request, backlogTokens include those queued ahead of it, and
	// residentTokens are what it adds to the memory of the upstream.
	prefillTokens  int
	backlogTokens  int
	residentTokens int
	// pace is what the answer said of the pace, 0 if it did not.
	pace float64
	// dequeued is set once the request no longer counts as queued and unanswered.
	dequeued bool
	ended    bool
}

// Permitted reports whether the request may still be sent. Since it was placed, the upstream may have begun to leave,
// its zone may have been taken out of service, or the process may have been paused for so long that the placement is
// outdated.
func (ticket *Ticket) Permitted() bool {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	upstream := ticket.upstream
	known := ticket.board.upstreams[ticket.Entry.Upstream] == upstream
	return known && !upstream.leaving() && !upstream.zoneOut && !time.Now().Before(upstream.pausedUntil) &&
		ticket.board.config.Clock() < ticket.expiresAt
}

// Notice is what an answer says of its upstream.
type Notice struct {
	// Leaving is set if the upstream is shutting down.
	Leaving bool
	// Pause is how long the upstream wants no requests; 0 if it does not say.
	Pause time.Duration
}

// Heed records what an answer to the request says of the upstream. It reports whether the router did not know that before.
func (ticket *Ticket) Heed(notice Notice, now time.Time) bool {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	upstream := ticket.upstream
	// The address may belong to a later incarnation by now.
	if upstream.entry.Incarnation != ticket.Entry.Incarnation {
		return false
	}
	news := notice.Leaving && !upstream.saidLeaving
	upstream.saidLeaving = upstream.saidLeaving || notice.Leaving
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(upstream.pausedUntil) {
		upstream.pausedUntil, upstream.onTrial, upstream.trial = until, true, nil
		news = true
	}
	return news
}

// endTrialLocked ends the trial of a paused upstream when it answered a request without asking for another pause.
func (ticket *Ticket) endTrialLocked() {
	if ticket.upstream.trial == ticket {
		ticket.upstream.onTrial, ticket.upstream.trial = false, nil
	}
}

// FirstEvent records the first event of the answer.
func (ticket *Ticket) FirstEvent(now time.Time) {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	ticket.dequeueLocked()
	ticket.endTrialLocked()
	if ticket.Observer != nil {
		ticket.Observer.FirstEvent(now)
	}
	ticket.upstream.observeLatency(ticket.board.estimatesLocked(ticket.Entry.Service), ticket, now.Sub(ticket.placedAt), now)
}

// atMeanPace returns how long an answer would have taken at the mean pace.
func (ticket *Ticket) atMeanPace(took time.Duration, meanPace float64) time.Duration {
	if ticket.pace == 0 {
		return took
	}
	return time.Duration(float64(took) * meanPace / ticket.pace)
}

// dequeueLocked stops counting the request as queued and unanswered, when its first event arrives or it ends without
// one.
func (ticket *Ticket) dequeueLocked() {
	if !ticket.dequeued {
		ticket.dequeued = true
		ticket.upstream.queuedTokens -= ticket.prefillTokens
		ticket.upstream.removeUnanswered(ticket)
	}
}

// End records how the request ended. Later calls do nothing.
func (ticket *Ticket) End(result Result, now time.Time) {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	if ticket.ended {
		return
	}
	ticket.ended = true
	if ticket.Observer != nil {
		ticket.Observer.End(result, now)
	}
	ticket.dequeueLocked()
	upstream := ticket.upstream
	upstream.running--
	upstream.facts.recordEvent(-1, now)
	upstream.residentTokens -= ticket.residentTokens
	switch result {
	case ResultServed:
		ticket.endTrialLocked()
		upstream.recordResult(false, now)
		upstream.connectFailures = 0
		estimates := ticket.board.estimatesLocked(ticket.Entry.Service)
		serviceTime, baseValue := ticket.atMeanPace(now.Sub(ticket.placedAt), estimates.meanPace()), estimates.serviceTime(now)
		upstream.timings.serviceTime = upstream.timings.serviceTime.withSample(serviceTime, baseValue, upstreamHalfLife, upstreamWeight, now)
		estimates.timings.serviceTime = estimates.timings.serviceTime.withSample(serviceTime, baseValue, serviceHalfLife, serviceWeight, now)
	case ResultFailed:
		upstream.recordResult(true, now)
	case ResultDeclined:
		if until := now.Add(declineBackoff); until.After(upstream.backoffUntil) {
			upstream.backoffUntil = until
		}
	case ResultUnreachable:
		upstream.recordUnreachable(ticket.board.settings[upstream.entry.Service], now)
	case ResultAbandoned:
	}
}
