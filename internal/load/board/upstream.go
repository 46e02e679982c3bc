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
	// defaultPerToken and defaultEngineBase are the estimates for engines before the first answers, and the values that
	// the estimates of a service decay to. defaultPerToken applies only if the configuration does not tell the throughput of the engines.
	defaultPerToken   = 22 * time.Microsecond
	defaultEngineBase = 100 * time.Millisecond
	// defaultAnswerTime is the same for plain services, and defaultEngineService for the time that a request occupies a
	// slot of an engine.
	defaultAnswerTime    = 35 * time.Millisecond
	defaultEngineService = time.Second
	// minPerTokenSampleTokens is the smallest number of tokens from which the time per token is estimated; below it the
	// difference is lost in the variation of the base time.
	minPerTokenSampleTokens = 4000
	// maxBaseSampleTokens is the number of tokens below which the base time is estimated.
	maxBaseSampleTokens = 2000
	// failureWeight is the weight of one result in the failure rate; failureHalfLife is how fast the rate decays.
	failureWeight   = 0.15
	failureHalfLife = 2 * time.Second
	// overdueFactor and overdueSlack decide when an unanswered request is overdue: after overdueFactor times the
	// expected time plus overdueSlack.
	overdueFactor = 2
	overdueSlack  = 300 * time.Millisecond
	// minBackoff and maxBackoff limit the exponential backoff after an upstream could not be reached.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxEntryDelay is a heartbeat interval of an upstream plus the delay of reading its entry. An entry that arrives
	// later than this after an event was written after the event.
	maxEntryDelay = 1500 * time.Millisecond
	// cacheShare is the part of an engine's memory that is expected to hold the cached prompts of ended requests.
	cacheShare = 0.6
	// trialTime is the time within which an upstream declines a request that it does not want.
	trialTime = 500 * time.Millisecond
	// maxColdOwners is how many routers may believe at once that they own a cold upstream while they disagree on the
	// members of the fleet. Each of them takes its part of the allowance.
	maxColdOwners = 3
	// coldWindow is the sliding window of the allowance.
	coldWindow = time.Second
)

// upstream is the state of one upstream.
type upstream struct {
	entry   table.Entry
	hash    uint32
	zoneOut bool

	running        int
	queuedTokens   int
	residentTokens int
	// recentTokens is the decaying sum of the prompt tokens that this router sent.
	recentTokens usage.DecayingSum
	// remote is the load of the other routers.
	remote Load
	// facts is nil until there was a report of load.
	facts *factState

	// score is the rendezvous score for the prefix that is being placed.
	score uint64

	prefixes *cache.Prefixes
	timings  timings

	failureAverage   float64
	failureUpdatedAt time.Time
	// unanswered holds the requests without a first event, and earliestDue is when the first of them becomes overdue.
	unanswered  map[*Ticket]struct{}
	earliestDue time.Time

	// announcement is what the process said of itself in its answers.
	*announcement
	// removedAt is when the entry was removed.
	removedAt time.Time

	connectFailures int
	backoffUntil    time.Time
	coldState
}

type coldState struct {
	// coldAssumedAt is when this router last assumed that the upstream is cold, although its entry does not say so.
	coldAssumedAt time.Time
	coldUntil     time.Time
	// coldSends are the times at which this router sent requests while the upstream was cold.
	coldSends []time.Time
}

// announcement is what a process said of itself. It holds for the process, whatever its entry says and whatever service it is in.
type announcement struct {
	// saidLeaving is set once an answer said that the upstream is leaving. No entry takes that back.
	saidLeaving bool
	// pausedUntil is until when the upstream wants no requests. After that, trial is the one request that shows whether it still
	// wants none; it is nil while there is none, and onTrial is set until one was answered.
	pausedUntil time.Time
	onTrial     bool
	trial       *Ticket
}

func newUpstream(entry table.Entry, settings table.ServiceSettings) *upstream {
	created := &upstream{
		entry: entry, hash: usage.Hash(entry.Upstream), unanswered: map[*Ticket]struct{}{}, recentTokens: usage.NewDecayingSum(pick.PrefillWindow),
		announcement: &announcement{},
	}
	created.resetEstimates(settings)
	return created
}

// resetEstimates drops what was learned with other settings of the service.
func (upstream *upstream) resetEstimates(settings table.ServiceSettings) {
	upstream.timings = timings{}
	memory := 0
	if settings.Engine != nil {
		memory = settings.Engine.MemoryTokens
	}
	upstream.prefixes = cache.New(int(cacheShare * float64(memory)))
}

// leaving reports whether the upstream is shutting down, by its entry or by its own word.
func (upstream *upstream) leaving() bool { return upstream.entry.Leaving || upstream.saidLeaving }

// paused reports whether the upstream wants no requests, or a request is under way that shows whether it still wants none.
func (upstream *upstream) paused(now time.Time) bool {
	trying := upstream.onTrial && upstream.trial != nil && !upstream.trial.ended && now.Sub(upstream.trial.placedAt) < trialTime
	return trying || now.Before(upstream.pausedUntil)
}

// update applies a newer entry of the same process.
func (upstream *upstream) update(entry table.Entry, now time.Time) {
	upstream.entry = entry
	switch {
	case entry.ColdLeft > 0:
		upstream.coldUntil = now.Add(entry.ColdLeft)
	case !upstream.coldAssumedAt.IsZero() && now.Sub(upstream.coldAssumedAt) > maxEntryDelay:
		// The entry was written after the upstream was assumed to be cold, and says that it is warm.
		upstream.coldUntil, upstream.coldAssumedAt = time.Time{}, time.Time{}
	}
}

func (upstream *upstream) isCold(now time.Time) bool { return now.Before(upstream.coldUntil) }

// coldAllowanceLeft returns how many more requests this router may send now while the upstream is cold.
func (upstream *upstream) coldAllowanceLeft(allowance int, now time.Time) int {
	first := 0
	for first < len(upstream.coldSends) && now.Sub(upstream.coldSends[first]) > coldWindow {
		first++
	}
	upstream.coldSends = upstream.coldSends[first:]
	return allowance - len(upstream.coldSends)
}

func (upstream *upstream) failureRate(now time.Time) float64 {
	if upstream.failureAverage == 0 {
		return 0
	}
	return upstream.failureAverage * math.Exp2(-now.Sub(upstream.failureUpdatedAt).Seconds()/failureHalfLife.Seconds())
}

func (upstream *upstream) recordResult(failed bool, now time.Time) {
	rate := upstream.failureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	upstream.failureAverage, upstream.failureUpdatedAt = rate, now
}

// recordUnreachable records that no connection could be opened.
func (upstream *upstream) recordUnreachable(settings table.ServiceSettings, now time.Time) {
	upstream.connectFailures++
	upstream.backoffUntil = now.Add(min(minBackoff<<min(upstream.connectFailures-1, 8), maxBackoff))
	upstream.coldAssumedAt = now
	// It may return under the same name and be cold before its entry says so.
	if until := now.Add(settings.ColdTime); until.After(upstream.coldUntil) {
		upstream.coldUntil = until
	}
	upstream.prefixes.Clear()
}

// overdue returns by how much the unanswered request that was due first is overdue.
func (upstream *upstream) overdue(now time.Time) time.Duration {
	if len(upstream.unanswered) == 0 {
		return 0
	}
	return max(now.Sub(upstream.earliestDue), 0)
}

// addUnanswered adds a request without a first event.
func (upstream *upstream) addUnanswered(ticket *Ticket) {
	if len(upstream.unanswered) == 0 || ticket.due.Before(upstream.earliestDue) {
		upstream.earliestDue = ticket.due
	}
	upstream.unanswered[ticket] = struct{}{}
}

// removeUnanswered removes a request that got its first event or ended.
func (upstream *upstream) removeUnanswered(ticket *Ticket) {
	delete(upstream.unanswered, ticket)
	if !ticket.due.Equal(upstream.earliestDue) {
		return
	}
	upstream.earliestDue = time.Time{}
	for other := range upstream.unanswered {
		if upstream.earliestDue.IsZero() || other.due.Before(upstream.earliestDue) {
			upstream.earliestDue = other.due
		}
	}
}

// observeLatency updates the estimates of the upstream and its service with the time to a first event.
func (upstream *upstream) observeLatency(estimates *serviceEstimates, ticket *Ticket, latency time.Duration, now time.Time) {
	latency = ticket.atMeanPace(latency, estimates.meanPace())
	base, perToken := estimates.base(now), estimates.perToken(now)
	switch tokens := ticket.backlogTokens; {
	case !estimates.engine || tokens < maxBaseSampleTokens:
		sample := latency - time.Duration(tokens)*perToken
		upstream.timings.base = upstream.timings.base.withSample(sample, base, upstreamHalfLife, upstreamWeight, now)
		estimates.timings.base = estimates.timings.base.withSample(sample, base, serviceHalfLife, serviceWeight, now)
	case tokens >= minPerTokenSampleTokens:
		sample := (latency - base) / time.Duration(tokens)
		upstream.timings.perToken = upstream.timings.perToken.withSample(sample, perToken, upstreamHalfLife, upstreamWeight, now)
		estimates.timings.perToken = estimates.timings.perToken.withSample(sample, perToken, serviceHalfLife, serviceWeight, now)
	}
}
