package admit

import (
	"cmp"
	"time"

	"github.com/clementinewind/clementinewind"
)

const (
	// DefaultCold is the cold limit of an upstream that has none in the settings.
	DefaultCold = 1
	// DefaultMax is the highest limit of an upstream that has none in the settings.
	DefaultMax = 256

	// coldJump is the ratio of a first-token time to the usual one that is taken as a cold start. Queueing in a full
	// engine raises it by less, because the limit follows it at slowRatio.
	coldJump = 6
	// slowRatio is the ratio of the average first-token time to the usual one above which the limit falls.
	slowRatio = 2.5
	// coldJumps is the number of jumps in a row that count as a cold start, because one long prompt is slow as well.
	coldJumps = 3
	// proofTime is how long an answer must have run to count as proof that the upstream carries it. Cold engines fail by
	// slow first tokens, resets or refusals within this time.
	proofTime = 3 * time.Second
	// idleTime is the time without a first token or an answer after which an idle upstream may have restarted unnoticed.
	idleTime = 5 * time.Second
	// minJumpTime keeps jitter of very short first-token times from counting as a jump.
	minJumpTime = 200 * time.Millisecond
	// decrease is the factor of the limit after a refusal or a slow window.
	decrease = 0.8
	// fullUse is the reported share of the KV cache above which the limit does not grow.
	fullUse = 0.9
	// warmSamples is the number of first-token times needed before a jump can be recognised.
	warmSamples = 8
	// usualSamples and recentSamples are the numbers of first-token times that the two averages cover.
	usualSamples  = 64
	recentSamples = 8

	// breakerFailures is the number of failures in a row that open the breaker.
	breakerFailures = 3
	// shortestOpen and longestOpen bound the time for which the breaker stays open; it doubles with each failed probe.
	shortestOpen = time.Second
	longestOpen  = 30 * time.Second
	// reportLife is how long a load report is used. Engines report about once a second, with a lag of about as much.
	reportLife = 5 * time.Second
	// adoptMargin is added to the work of a previous owner, for requests that were admitted but not yet at the upstream
	// when it took the report. Without it one hand-over in six runs of ZoneLeave went one request over the limit.
	adoptMargin = 2
	// peakPeriod is at least the age of a load report.
	peakPeriod = 2 * time.Second
	// adoptTime is how long a new owner waits for a load report that shows the work of the previous owner.
	adoptTime = 3 * time.Second
)

// Result tells how a request ended at an upstream.
type Result int

//go:generate stringer -type Result -trimprefix Result -output result_string.go

const (
	// ResultUnused means that the request was never sent.
	ResultUnused Result = iota
	// ResultCompleted means that the answer is complete.
	ResultCompleted
	// ResultCancelled means that the caller went away or the deadline passed.
	ResultCancelled
	// ResultRefused means that the upstream refused the request before running it.
	ResultRefused
	// ResultReset means that the connection was reset or refused, or went silent.
	ResultReset
	// ResultFailed means that the upstream reported an error of its own.
	ResultFailed
)

// Sign is a sign of a cold start other than the result of a request.
type Sign int

//go:generate stringer -type Sign -trimprefix Sign -output sign_string.go

const (
	// SignNew is an upstream that this owner has not served before.
	SignNew Sign = iota
	// SignBoot is a new boot id.
	SignBoot
	// SignReset is a connection reset.
	SignReset
	// SignSlow is a jump of the first-token time.
	SignSlow
	// SignCache is a lost cache.
	SignCache
)

// Load is what an upstream reports about itself, with a lag.
type Load struct {
	// Boot identifies the run of the process; empty when the upstream does not tell.
	Boot string
	// Running and Queued are the requests in progress and waiting inside the upstream, whoever sent them.
	Running int
	Queued  int
	// CacheUsage is the share of the KV cache in use, 0 to 1.
	CacheUsage float64
	// CachedTokens is the number of cached prompt tokens, or -1 when the upstream does not tell.
	CachedTokens int
}

// Config configures a Limiter.
type Config struct {
	// Cold is the limit after a sign of a cold start, Max the highest limit.
	Cold int
	Max  int
	// Adopted says that the upstream may still run the work of a previous owner. The limiter then admits nothing until a
	// load report shows how much, or for three seconds.
	Adopted bool
}

// Limiter is the adaptive concurrency limit of one upstream.
type Limiter struct {
	config Config
	// limit applies to the requests admitted since the last sign of a cold start. The others are lost if the upstream
	// restarted, and otherwise run on an upstream that carries them.
	limit float64
	// ceiling applies to all requests.
	ceiling  float64
	inFlight int
	fresh    int
	epoch    int
	sign     Sign
	cold     bool
	// generation counts windows; good counts the proven requests among those admitted in the current one.
	generation  int
	good        int
	windowStart time.Time
	saturated   bool
	// proven is the limit to return to when a first token shows that the upstream is still warm after idle time; 0 when
	// there is nothing to show.
	proven float64
	shown  time.Time
	// usual is the first-token time in normal operation, recent a faster average.
	usual   time.Duration
	recent  time.Duration
	samples int
	jumps   int

	failures  int
	openUntil time.Time
	openTime  time.Duration
	maxOpen   time.Duration
	open      bool
	probing   bool

	load     Load
	loadTime time.Time
	// foreign is the work of other owners that the last report shows.
	foreign int
	// peak and lastPeak are the most requests in progress in this and the previous period. A report is compared with
	// them, because it may show requests that have ended since.
	peak     int
	lastPeak int
	peakTime time.Time
	// valley and lastValley are the fewest requests in progress in the same periods.
	valley     int
	lastValley int
	// adopting says that the work of a previous owner has not ended.
	adopting bool
	// holdUntil is when a new owner stops to wait for a load report.
	holdUntil time.Time
}

// Ticket is the admission of one request.
type Ticket struct {
	generation int
	epoch      int
	probe      bool
	// firstAt is when the first token came.
	firstAt time.Time
	counted bool
}

// NewLimiter returns a limiter at the cold limit.
func NewLimiter(config Config, now time.Time) *Limiter {
	limiter := &Limiter{config: config.normal(), shown: now}
	limiter.ceiling = float64(limiter.config.Max)
	limiter.RecordColdStart(SignNew, now)
	if config.Adopted {
		limiter.holdUntil = now.Add(adoptTime)
	}
	return limiter
}

func (config Config) normal() Config {
	config.Max = cmp.Or(max(config.Max, 0), DefaultMax)
	config.Cold = min(cmp.Or(max(config.Cold, 0), DefaultCold), config.Max)
	return config
}

// SetConfig changes the bounds of the limit.
func (limiter *Limiter) SetConfig(config Config) {
	if limiter.ceiling == float64(limiter.config.Max) {
		limiter.ceiling = float64(config.normal().Max)
	}
	limiter.config = config.normal()
	limiter.ceiling = min(limiter.ceiling, float64(limiter.config.Max))
	limiter.limit = min(limiter.limit, limiter.ceiling)
}

// Limit returns the number of requests that may be in progress.
func (limiter *Limiter) Limit() int {
	return max(1, int(limiter.limit))
}

// InFlight returns the number of admitted requests that have not ended.
func (limiter *Limiter) InFlight() int {
	return limiter.inFlight
}

// Free returns the number of requests that may be admitted now.
func (limiter *Limiter) Free(now time.Time) int {
	if now.Before(limiter.holdUntil) {
		return 0
	}
	if limiter.open {
		if now.Before(limiter.openUntil) || limiter.probing {
			return 0
		}
		return 1
	}
	foreign := 0
	if now.Sub(limiter.loadTime) < reportLife {
		foreign = limiter.foreign
	}
	limit := limiter.Limit()
	if limiter.unproven(now) {
		limit = min(limit, limiter.config.Cold)
	}
	return max(min(limit-limiter.fresh, int(limiter.ceiling)-limiter.inFlight-foreign), 0)
}

// State returns the state of the upstream as far as its admission shows it.
func (limiter *Limiter) State() clementinewind.UpstreamState {
	switch {
	case limiter.Ejected():
		return clementinewind.UpstreamEjected
	case limiter.cold, limiter.open:
		return clementinewind.UpstreamCold
	default:
		return clementinewind.UpstreamWarm
	}
}

// Sign returns the last sign of a cold start.
func (limiter *Limiter) Sign() Sign {
	return limiter.sign
}

// unproven reports whether the upstream has been idle for so long that it may have restarted unnoticed.
func (limiter *Limiter) unproven(now time.Time) bool {
	return limiter.proven > 0 || limiter.fresh == 0 && now.Sub(limiter.shown) > idleTime
}

// Acquire admits one request. The caller has checked Free.
func (limiter *Limiter) Acquire(now time.Time) Ticket {
	if limiter.unproven(now) && limiter.proven == 0 {
		limiter.proven = limiter.limit
	}
	limiter.inFlight++
	limiter.fresh++
	limiter.rotatePeak(now)
	limiter.peak = max(limiter.peak, limiter.inFlight)
	if limiter.fresh >= limiter.Limit() || limiter.inFlight >= int(limiter.ceiling) {
		limiter.saturated = true
	}
	probe := limiter.open
	if probe {
		limiter.probing = true
	}
	return Ticket{generation: limiter.generation, epoch: limiter.epoch, probe: probe}
}

// Resume counts a request that already runs at the upstream and continues under this owner. It is within no limit,
// because refusing it would not make the upstream do less.
func (limiter *Limiter) Resume(now time.Time) Ticket {
	limiter.inFlight++
	limiter.rotatePeak(now)
	limiter.peak = max(limiter.peak, limiter.inFlight)
	return Ticket{generation: -1, epoch: -1, counted: true}
}

// RecordColdStart drops the limit to the cold limit and starts a new window.
func (limiter *Limiter) RecordColdStart(sign Sign, now time.Time) {
	limiter.sign = sign
	limiter.limit = float64(limiter.config.Cold)
	limiter.proven = 0
	if !limiter.cold {
		// One cold start shows by several signs. Requests admitted since the first one may be running and keep counting.
		limiter.cold = true
		limiter.epoch++
		limiter.fresh = 0
	}
	limiter.recent = limiter.usual
	limiter.jumps = 0
	limiter.newWindow(now)
	if sign == SignNew || sign == SignBoot {
		limiter.usual, limiter.recent, limiter.samples = 0, 0, 0
	}
}

// newWindow starts a window. Results of requests admitted before it do not count, because they say nothing about the
// current limit.
func (limiter *Limiter) newWindow(now time.Time) {
	limiter.generation++
	limiter.good = 0
	limiter.saturated = limiter.fresh >= limiter.Limit()
	limiter.windowStart = now
}

// FirstToken tells how long an admitted request waited for its first token.
func (limiter *Limiter) FirstToken(ticket *Ticket, wait time.Duration, now time.Time) {
	if !ticket.firstAt.IsZero() || ticket.epoch != limiter.epoch {
		return
	}
	ticket.firstAt = now
	if limiter.samples >= warmSamples && wait > minJumpTime && wait > coldJump*limiter.usual {
		limiter.jumps++
		if limiter.proven > 0 || limiter.jumps >= coldJumps && !limiter.cold {
			limiter.RecordColdStart(SignSlow, now)
			return
		}
	} else {
		limiter.jumps = 0
		limiter.show(now)
	}
	limiter.samples++
	limiter.usual += (wait - limiter.usual) / time.Duration(min(limiter.samples, usualSamples))
	limiter.recent += (wait - limiter.recent) / time.Duration(min(limiter.samples, recentSamples))
	if limiter.samples >= warmSamples && limiter.recent > minJumpTime &&
		float64(limiter.recent) > slowRatio*float64(limiter.usual) {
		limiter.reduce(ticket.generation, now)
	}
}

// show notes that the upstream works as before.
func (limiter *Limiter) show(now time.Time) {
	limiter.shown = now
	limiter.proven = 0
}

// Progress tells that the answer of an admitted request continues. An answer that has run for a time counts as proof that
// the upstream carries it, so that the growth of the limit does not depend on the length of the answers. It reports
// whether the limit may have changed.
func (limiter *Limiter) Progress(ticket *Ticket, now time.Time) bool {
	if ticket.firstAt.IsZero() || ticket.counted || now.Sub(ticket.firstAt) < proofTime {
		return false
	}
	generation := limiter.generation
	limiter.prove(ticket, now)
	return limiter.generation != generation
}

// reduce lowers the limit, at most once a window.
func (limiter *Limiter) reduce(generation int, now time.Time) {
	if generation != limiter.generation {
		return
	}
	limiter.decrease(now)
}

// decrease lowers the limit. An upstream that was growing towards its limit has passed it and grows by one from there.
func (limiter *Limiter) decrease(now time.Time) {
	if limiter.Limit() > limiter.config.Cold {
		limiter.cold = false
	}
	limiter.limit = max(limiter.limit*decrease, float64(limiter.config.Cold))
	limiter.ceiling = limiter.limit
	limiter.newWindow(now)
}

// Finish ends an admitted request.
func (limiter *Limiter) Finish(ticket Ticket, result Result, now time.Time) {
	limiter.inFlight--
	limiter.rotatePeak(now)
	limiter.valley = min(limiter.valley, limiter.inFlight)
	if ticket.epoch == limiter.epoch {
		limiter.fresh--
	}
	if ticket.probe {
		limiter.probing = false
	}
	switch result {
	case ResultCompleted:
		limiter.completed(ticket, now)
	case ResultReset:
		limiter.failed(ticket, now)
		if ticket.epoch == limiter.epoch {
			limiter.RecordColdStart(SignReset, now)
		}
	case ResultRefused:
		limiter.reduce(ticket.generation, now)
	case ResultFailed:
		limiter.failed(ticket, now)
		limiter.reduce(ticket.generation, now)
	case ResultUnused, ResultCancelled:
	}
}

func (limiter *Limiter) completed(ticket Ticket, now time.Time) {
	if ticket.probe && limiter.open {
		limiter.open = false
		limiter.openTime = 0
		limiter.RecordColdStart(limiter.sign, now)
		limiter.failures = 0
		return
	}
	if ticket.epoch == limiter.epoch {
		limiter.show(now)
	}
	limiter.prove(&ticket, now)
}

// prove counts a request towards the growth of the limit.
func (limiter *Limiter) prove(ticket *Ticket, now time.Time) {
	if ticket.counted || ticket.generation != limiter.generation {
		return
	}
	ticket.counted = true
	limiter.failures = 0
	limiter.good++
	if limiter.good < limiter.Limit() {
		return
	}
	loaded := now.Sub(limiter.loadTime) < reportLife && (limiter.load.Queued > 0 || limiter.load.CacheUsage > fullUse)
	if limiter.saturated && !loaded {
		if limiter.cold {
			limiter.limit *= 2
		} else {
			limiter.limit++
		}
		limiter.limit = min(limiter.limit, float64(limiter.config.Max))
		limiter.ceiling = max(limiter.ceiling, limiter.limit)
	}
	if limiter.limit >= float64(limiter.config.Max) {
		limiter.cold = false
	}
	limiter.newWindow(now)
}

// failed counts a failure towards the circuit breaker.
func (limiter *Limiter) failed(ticket Ticket, now time.Time) {
	if ticket.probe && limiter.open {
		limiter.openTime = min(limiter.openTime*2, limiter.maxOpen)
		limiter.openUntil = now.Add(limiter.openTime)
		return
	}
	if ticket.generation != limiter.generation {
		return
	}
	limiter.failures++
}

// Failing reports whether the failures in a row ask for the circuit breaker to open.
func (limiter *Limiter) Failing() bool {
	return !limiter.open && limiter.failures >= breakerFailures
}

// Open opens the circuit breaker: one request a second probes the upstream. When eject is set, the time between probes
// doubles up to 30 s, and the state is UpstreamEjected. A breaker that is already open only changes between the two.
func (limiter *Limiter) Open(eject bool, now time.Time) {
	limiter.maxOpen = shortestOpen
	if eject {
		limiter.maxOpen = longestOpen
	}
	if limiter.open {
		return
	}
	limiter.open = true
	limiter.probing = false
	limiter.openTime = shortestOpen
	limiter.openUntil = now.Add(limiter.openTime)
	limiter.failures = 0
}

// Ejected reports whether the breaker is open and the upstream counts as ejected.
func (limiter *Limiter) Ejected() bool {
	return limiter.open && limiter.maxOpen > shortestOpen
}

// rotatePeak starts a new period for the extremes of the requests in progress.
func (limiter *Limiter) rotatePeak(now time.Time) {
	if now.Sub(limiter.peakTime) >= peakPeriod {
		limiter.lastPeak, limiter.lastValley = limiter.peak, limiter.valley
		limiter.peak, limiter.valley = limiter.inFlight, limiter.inFlight
		limiter.peakTime = now
	}
}

// Report takes a load report of the upstream.
func (limiter *Limiter) Report(load Load, now time.Time) {
	previous := limiter.load
	known := !limiter.loadTime.IsZero()
	limiter.load = load
	limiter.loadTime = now
	limiter.rotatePeak(now)
	adopted := !limiter.holdUntil.IsZero()
	limiter.adopting = limiter.adopting || adopted
	own := max(limiter.peak, limiter.lastPeak)
	if limiter.adopting {
		// The report may be older than the latest admissions. Until the work of the previous owner has ended, too little
		// is admitted rather than too much.
		own = min(limiter.valley, limiter.lastValley)
	}
	limiter.foreign = max(0, load.Running+load.Queued-own)
	limiter.adopting = limiter.adopting && limiter.foreign > 0
	if limiter.adopting {
		limiter.foreign += adoptMargin
	}
	limiter.holdUntil = time.Time{}
	switch {
	case adopted && !known && load.Queued == 0:
		// What the upstream carries for the previous owner, it carries for this one.
		limiter.limit = min(max(limiter.limit, float64(load.Running)), float64(limiter.config.Max))
		limiter.ceiling = limiter.limit
		limiter.newWindow(now)
	case known && load.Boot != previous.Boot:
		limiter.RecordColdStart(SignBoot, now)
	case known && previous.CachedTokens > 0 && load.CachedTokens == 0:
		limiter.RecordColdStart(SignCache, now)
	case load.Queued > 0 && now.Sub(limiter.windowStart) >= time.Second:
		// Work that waits inside the engine cannot be placed elsewhere any more. A report may be as old as a second, so
		// the limit falls at most once a second.
		limiter.decrease(now)
	}
}
