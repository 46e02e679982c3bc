package board

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/cache"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// defaultPerToken and defaultBase are the estimates for engines before the first answers.
	defaultPerToken = 22 * time.Microsecond
	defaultBase     = 100 * time.Millisecond
	// defaultAnswer is the estimate of a plain service's answer time before the first answers, defaultService how long a
	// request holds a slot of an engine.
	defaultAnswer  = 35 * time.Millisecond
	defaultService = time.Second
	// tokenSample is the smallest number of tokens from which the time for a token is measured; below it the base time
	// hides the difference.
	tokenSample = 4000
	// baseSample is the largest number of tokens from which the base time is measured.
	baseSample = 2000
	// failureWeight is the weight of one result in the failure rate; failureHalfLife is how fast it is forgotten.
	failureWeight   = 0.15
	failureHalfLife = 2 * time.Second
	// overdueFactor and overdueSlack say when an unanswered request is later than the estimate explains.
	overdueFactor = 2
	overdueSlack  = 300 * time.Millisecond
	// firstRetry and lastRetry bound the time for which an unreachable upstream gets no requests.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 2 * time.Second
	// heartbeatAge is the age after which an entry was certainly written after an event: a heartbeat interval and the
	// delay of reading it.
	heartbeatAge = 1500 * time.Millisecond
	// cacheShare is the part of an engine's memory that is taken for prompts of ended requests.
	cacheShare = 0.6
	// coldOwners is how many routers may at once believe that they own a cold upstream while they disagree on the members
	// of the fleet; each takes its part of the allowance.
	coldOwners = 3
	// coldWindow is the window of the allowance.
	coldWindow = time.Second
)

// upstream is the state of one upstream.
type upstream struct {
	entry   table.Entry
	hash    uint32
	zoneOut bool

	running  int
	queued   int
	resident int
	// recent sums the prompt tokens that this router handed over.
	recent usage.DecayingSum
	// remote sums the work of the other routers.
	remote Load

	// score is the one for the prefix that is being placed.
	score uint64

	prefixes *cache.Prefixes
	pace     pace

	failure   float64
	failureAt time.Time
	// unanswered holds the requests without a first event, and due is the earliest time at which one of them is late.
	unanswered map[*Ticket]struct{}
	due        time.Time

	unreachable int
	downUntil   time.Time
	failedAt    time.Time
	coldUntil   time.Time
	coldSends   []time.Time
}

func newUpstream(entry table.Entry, settings table.ServiceSettings) *upstream {
	created := &upstream{entry: entry, hash: usage.Hash(entry.Upstream), unanswered: map[*Ticket]struct{}{}, recent: usage.NewDecayingSum(pick.PrefillWindow)}
	created.reset(settings)
	return created
}

// reset forgets what an earlier incarnation showed.
func (upstream *upstream) reset(settings table.ServiceSettings) {
	upstream.pace = pace{}
	memory := 0
	if settings.Engine != nil {
		memory = settings.Engine.MemoryTokens
	}
	upstream.prefixes = cache.New(int(cacheShare * float64(memory)))
	upstream.failure = 0
	upstream.unreachable = 0
	upstream.downUntil = time.Time{}
}

// update applies a newer entry.
func (upstream *upstream) update(entry table.Entry, settings table.ServiceSettings, now time.Time) {
	if entry.Incarnation != upstream.entry.Incarnation {
		upstream.reset(settings)
	}
	upstream.entry = entry
	switch {
	case entry.ColdLeft > 0:
		upstream.coldUntil = now.Add(entry.ColdLeft)
	case !upstream.failedAt.IsZero() && now.Sub(upstream.failedAt) > heartbeatAge:
		// The entry was written after the failure and says that the upstream is warm.
		upstream.coldUntil, upstream.failedAt = time.Time{}, time.Time{}
	}
}

func (upstream *upstream) cold(now time.Time) bool { return now.Before(upstream.coldUntil) }

// coldLeft returns how many more requests this router may send now while the upstream is cold.
func (upstream *upstream) coldLeft(allowance int, now time.Time) int {
	first := 0
	for first < len(upstream.coldSends) && now.Sub(upstream.coldSends[first]) > coldWindow {
		first++
	}
	upstream.coldSends = upstream.coldSends[first:]
	return allowance - len(upstream.coldSends)
}

func (upstream *upstream) failureRate(now time.Time) float64 {
	if upstream.failure == 0 {
		return 0
	}
	return upstream.failure * math.Exp2(-now.Sub(upstream.failureAt).Seconds()/failureHalfLife.Seconds())
}

func (upstream *upstream) result(failed bool, now time.Time) {
	rate := upstream.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	upstream.failure, upstream.failureAt = rate, now
}

// unreach records that no connection could be opened.
func (upstream *upstream) unreach(settings table.ServiceSettings, now time.Time) {
	upstream.unreachable++
	upstream.downUntil = now.Add(min(firstRetry<<min(upstream.unreachable-1, 8), lastRetry))
	upstream.failedAt = now
	// It may come back under the same name and cold, before its entry says so.
	if until := now.Add(settings.ColdTime); until.After(upstream.coldUntil) {
		upstream.coldUntil = until
	}
	upstream.prefixes.Clear()
}

// overdue returns by how much the oldest unanswered request is later than its estimate explains.
func (upstream *upstream) overdue(now time.Time) time.Duration {
	if len(upstream.unanswered) == 0 {
		return 0
	}
	return max(now.Sub(upstream.due), 0)
}

// await adds a request without a first event.
func (upstream *upstream) await(ticket *Ticket) {
	if len(upstream.unanswered) == 0 || ticket.due.Before(upstream.due) {
		upstream.due = ticket.due
	}
	upstream.unanswered[ticket] = struct{}{}
}

// answered removes a request that got its first event, or ended.
func (upstream *upstream) answered(ticket *Ticket) {
	delete(upstream.unanswered, ticket)
	if !ticket.due.Equal(upstream.due) {
		return
	}
	upstream.due = time.Time{}
	for other := range upstream.unanswered {
		if upstream.due.IsZero() || other.due.Before(upstream.due) {
			upstream.due = other.due
		}
	}
}

// learn adjusts the estimates of the upstream and its service to the time of a first event.
func (upstream *upstream) learn(service *paces, ticket *Ticket, took time.Duration, now time.Time) {
	base, token := service.base(now), service.token(now)
	switch tokens := ticket.ahead; {
	case !service.engine || tokens < baseSample:
		sample := took - time.Duration(tokens)*token
		upstream.pace.base = upstream.pace.base.with(sample, base, upstreamHalfLife, sampleWeight, now)
		service.pace.base = service.pace.base.with(sample, base, serviceHalfLife, serviceWeight, now)
	case tokens >= tokenSample:
		sample := (took - base) / time.Duration(tokens)
		upstream.pace.token = upstream.pace.token.with(sample, token, upstreamHalfLife, sampleWeight, now)
		service.pace.token = service.pace.token.with(sample, token, serviceHalfLife, serviceWeight, now)
	}
}
