package board

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Result is how a placed request ended.
type Result int

//go:generate stringer -type Result -trimprefix Result -output result_string.go

const (
	// ResultServed is an answer that the upstream completed.
	ResultServed Result = iota
	// ResultFailed is an answer that the upstream failed, broke off or never gave.
	ResultFailed
	// ResultDeclined is a request that the upstream rejected before running it.
	ResultDeclined
	// ResultUnreachable is a request that could not be sent.
	ResultUnreachable
	// ResultAbandoned is a request that ended for a reason that says nothing of the upstream.
	ResultAbandoned
)

// declineTime is how long an upstream that rejected a request gets no other one.
const declineTime = 50 * time.Millisecond

// permitTime is how long a placed request may be sent. Opening a connection takes less than a third of it; a process that
// needs longer was paused.
const permitTime = time.Second

// Ticket is a request that is counted at an upstream. Each ticket must be ended.
type Ticket struct {
	// Entry is the upstream as it was when the request was placed.
	Entry table.Entry
	// Expected is the expected time to the first event.
	Expected time.Duration
	// UncachedTokens is the number of prompt tokens that the upstream has to read.
	UncachedTokens int
	// Candidates is the number of upstreams that the choice was made from.
	Candidates int
	// RemoteRunning is the number of requests that other routers have at the upstream.
	RemoteRunning int
	// Cold is set if the upstream was cold.
	Cold bool

	board    *Board
	upstream *upstream
	placed   time.Time
	// due is when the first event is later than the estimate explains.
	due time.Time
	// expires is when the permission to send ends, on a clock that counts pauses of the process.
	expires time.Duration
	// queued counts the prompt tokens of the request itself, ahead all that are read until its first event.
	queued   int
	ahead    int
	resident int
	first    bool
	ended    bool
}

// Permitted reports whether the request may still be sent. What allowed it may have changed since it was placed: the upstream
// leaves, its zone was taken out of service, or the process was paused for so long that the state behind the choice is old.
func (ticket *Ticket) Permitted() bool {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	upstream := ticket.upstream
	known := ticket.board.upstreams[ticket.Entry.Upstream] == upstream
	return known && !upstream.entry.Leaving && !upstream.zoneOut && ticket.board.config.Clock() < ticket.expires
}

// FirstEvent records the first event of the answer.
func (ticket *Ticket) FirstEvent(now time.Time) {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	ticket.firstLocked()
	ticket.upstream.learn(ticket.board.pacesLocked(ticket.Entry.Service), ticket, now.Sub(ticket.placed), now)
}

func (ticket *Ticket) firstLocked() {
	if !ticket.first {
		ticket.first = true
		ticket.upstream.queued -= ticket.queued
		ticket.upstream.answered(ticket)
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
	ticket.firstLocked()
	upstream := ticket.upstream
	upstream.running--
	upstream.resident -= ticket.resident
	switch result {
	case ResultServed:
		upstream.result(false, now)
		upstream.unreachable = 0
		service := ticket.board.pacesLocked(ticket.Entry.Service)
		held, standard := now.Sub(ticket.placed), service.service(now)
		upstream.pace.service = upstream.pace.service.with(held, standard, upstreamHalfLife, sampleWeight, now)
		service.pace.service = service.pace.service.with(held, standard, serviceHalfLife, serviceWeight, now)
	case ResultFailed:
		upstream.result(true, now)
	case ResultDeclined:
		if until := now.Add(declineTime); until.After(upstream.downUntil) {
			upstream.downUntil = until
		}
	case ResultUnreachable:
		upstream.unreach(ticket.board.settings[upstream.entry.Service], now)
	case ResultAbandoned:
	}
}
