package admit

import (
	"cmp"
	"time"

	"github.com/clementinewind/clementinewind"
)

const (
	// DefaultColdLimit replaces a Config.Cold that is not positive.
	DefaultColdLimit = 1
	// DefaultMaxLimit replaces a Config.Max that is not positive.
	DefaultMaxLimit = 256

	// coldStartRatio is the ratio of a time to first token to the baseline above which it counts as a jump. Queueing in a
	// full engine stays below it, because the limit already falls at slowdownRatio.
	coldStartRatio = 6
	// slowdownRatio is the ratio of the recent time to first token to the baseline above which the limit falls.
	slowdownRatio = 2.5
	// minColdStartJumps is the number of consecutive jumps that count as a cold start. One jump may be a long prompt.
	minColdStartJumps = 3
	// successAfter is how long an answer must stream to count as a success. Cold engines show slow first tokens, resets or
	// refusals within this time.
	successAfter = 3 * time.Second
	// maxIdleTime is the time without a first token or an answer after which an idle upstream may have restarted unnoticed.
	maxIdleTime = 5 * time.Second
	// minJump is the least time to first token that counts as a jump or a slowdown, so that jitter of short ones does not.
	minJump = 200 * time.Millisecond
	// decreaseFactor is applied to the limit at a sign of overload.
	decreaseFactor = 0.8
	// maxCacheUsage is the reported KV cache usage above which the limit does not grow.
	maxCacheUsage = 0.9
	// minSamples is the number of times to first token needed before jumps and slowdowns are detected.
	minSamples = 8
	// baselineSamples and recentSamples are the numbers of times to first token that the two moving averages cover.
	baselineSamples = 64
	recentSamples   = 8

	// breakerFailures is the number of consecutive failures that open the circuit breaker.
	breakerFailures = 3
	// minOpenTime and maxOpenTime bound the time between probes of an open breaker; it doubles with each failed probe.
	minOpenTime = time.Second
	maxOpenTime = 30 * time.Second
	// reportValidity is how long a load report is used. Engines report about once a second, with a lag of about as much.
	reportValidity = 5 * time.Second
	// handoverMargin is added to the requests of a previous owner, for those that were admitted but had not reached the
	// upstream at the time of the report. Without it one handover in six runs of the benchmark scenario ZoneLeave exceeded
	// the limit by one request.
	handoverMargin = 2
	// extremesPeriod is the period of the minimum and maximum of the requests in flight. It is at least the age of a load
	// report.
	extremesPeriod = 2 * time.Second
	// handoverTimeout is how long a new owner waits for a load report that shows the requests of the previous owner.
	handoverTimeout = 3 * time.Second
)

// Result is how a request ended at an upstream.
type Result int

//go:generate stringer -type Result -trimprefix Result -output result_string.go

const (
	// ResultUnused means that the request was never sent.
	ResultUnused Result = iota
	// ResultCompleted means that the upstream sent the whole answer.
	ResultCompleted
	// ResultCancelled means that the caller disconnected or the deadline passed.
	ResultCancelled
	// ResultRefused means that the upstream refused the request before running it.
	ResultRefused
	// ResultReset means that the connection was reset, refused or timed out.
	ResultReset
	// ResultFailed means that the upstream answered with an error.
	ResultFailed
)

// Sign is what showed that an upstream started cold.
type Sign int

//go:generate stringer -type Sign -trimprefix Sign -output sign_string.go

const (
	// SignNew is an upstream that is new to this owner.
	SignNew Sign = iota
	// SignBoot is a new boot id.
	SignBoot
	// SignReset is a connection reset.
	SignReset
	// SignSlow is a jump of the time to first token.
	SignSlow
	// SignCache is a load report with an empty prompt cache after one with a filled cache.
	SignCache
)

// Load is a load report of an upstream. It may be a second old.
type Load struct {
	// Boot identifies the run of the upstream's process; empty when it is not reported.
	Boot string
	// Running and Queued are the numbers of requests in progress and queued inside the upstream, from all routers.
	Running int
	Queued  int
	// CacheUsage is the fraction of the KV cache in use, 0 to 1.
	CacheUsage float64
	// CachedTokens is the number of cached prompt tokens, or -1 when it is not reported.
	CachedTokens int
}

// Config configures a Limiter.
type Config struct {
	// Cold is the lowest limit, which applies after a cold start. Max is the highest.
	Cold int
	Max  int
	// Adopted means that the upstream may still run requests of a previous owner. The limiter then admits nothing until a
	// load report shows how many, or for three seconds.
	Adopted bool
}

// Limiter is the adaptive concurrency limit of one upstream.
type Limiter struct {
	config Config
	// limit applies to the requests admitted since the last cold start. Earlier ones do not count: if the upstream
	// restarted they are lost, and if it did not, it is warm and can run them as well.
	limit float64
	// ceiling bounds all requests at the upstream: those of every epoch and those of other owners.
	ceiling  float64
	inFlight int
	// epoch counts cold starts. epochInFlight is the part of inFlight that was admitted in the current epoch.
	epochInFlight int
	epoch         int
	sign          Sign
	cold          bool
	// window numbers the sampling windows; windowSuccesses counts the successes among requests admitted in the current one.
	window          int
	windowSuccesses int
	windowStart     time.Time
	limitReached    bool
	// limitBeforeIdle is not 0 from the first request after idle time until a first token or an answer shows that the
	// upstream has not restarted. Meanwhile only Config.Cold requests are admitted.
	limitBeforeIdle float64
	// noRestartAt is when the upstream was last shown not to have restarted; at first, when the limiter was created.
	noRestartAt time.Time
	// baseline and recent are a slow and a fast moving average of the time to first token.
	baseline         time.Duration
	recent           time.Duration
	samples          int
	consecutiveJumps int

	consecutiveFailures int
	openUntil           time.Time
	openDuration        time.Duration
	maxOpenDuration     time.Duration
	open                bool
	probing             bool

	load     Load
	loadTime time.Time
	// foreignRequests is the number of requests in the last report that another owner sent.
	foreignRequests int
	// maxInFlight and lastMaxInFlight are the highest inFlight of this and the previous period. A report is compared with
	// them, because it may include requests that have ended since.
	maxInFlight     int
	lastMaxInFlight int
	periodStart     time.Time
	// minInFlight and lastMinInFlight are the lowest inFlight of the same periods.
	minInFlight     int
	lastMinInFlight int
	// takingOver means that requests of a previous owner are still running.
	takingOver bool
	// holdUntil is when a new owner stops waiting for a load report.
	holdUntil time.Time
}

// Ticket is the admission of one request.
type Ticket struct {
	window       int
	epoch        int
	probe        bool
	firstTokenAt time.Time
	// counted means that the request has counted as a success, or is a resumed one, which never counts.
	counted bool
}

// NewLimiter returns a limiter in slow start at Config.Cold.
func NewLimiter(config Config, now time.Time) *Limiter {
	limiter := &Limiter{config: config.withDefaults(), noRestartAt: now}
	limiter.ceiling = float64(limiter.config.Max)
	limiter.RecordColdStart(SignNew, now)
	if config.Adopted {
		limiter.holdUntil = now.Add(handoverTimeout)
	}
	return limiter
}

func (config Config) withDefaults() Config {
	config.Max = cmp.Or(max(config.Max, 0), DefaultMaxLimit)
	config.Cold = min(cmp.Or(max(config.Cold, 0), DefaultColdLimit), config.Max)
	return config
}

// SetConfig changes Cold and Max; Adopted has no effect on an existing limiter.
func (limiter *Limiter) SetConfig(config Config) {
	if limiter.ceiling == float64(limiter.config.Max) {
		limiter.ceiling = float64(config.withDefaults().Max)
	}
	limiter.config = config.withDefaults()
	limiter.ceiling = min(limiter.ceiling, float64(limiter.config.Max))
	limiter.limit = min(limiter.limit, limiter.ceiling)
}

// Limit returns the current concurrency limit.
func (limiter *Limiter) Limit() int {
	return max(1, int(limiter.limit))
}

// InFlight returns the number of requests that Acquire or Resume counted and Finish has not ended.
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
	if now.Sub(limiter.loadTime) < reportValidity {
		foreign = limiter.foreignRequests
	}
	limit := limiter.Limit()
	if limiter.mayHaveRestarted(now) {
		limit = min(limit, limiter.config.Cold)
	}
	return max(min(limit-limiter.epochInFlight, int(limiter.ceiling)-limiter.inFlight-foreign), 0)
}

// State returns whether the upstream is cold, warm or ejected.
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

// mayHaveRestarted reports whether the upstream was idle for so long that it may have restarted unnoticed, and has not
// answered since.
func (limiter *Limiter) mayHaveRestarted(now time.Time) bool {
	return limiter.limitBeforeIdle > 0 || limiter.epochInFlight == 0 && now.Sub(limiter.noRestartAt) > maxIdleTime
}

// Acquire admits one request. The caller must have checked Free.
func (limiter *Limiter) Acquire(now time.Time) Ticket {
	if limiter.mayHaveRestarted(now) && limiter.limitBeforeIdle == 0 {
		limiter.limitBeforeIdle = limiter.limit
	}
	limiter.inFlight++
	limiter.epochInFlight++
	limiter.rotatePeriod(now)
	limiter.maxInFlight = max(limiter.maxInFlight, limiter.inFlight)
	if limiter.epochInFlight >= limiter.Limit() || limiter.inFlight >= int(limiter.ceiling) {
		limiter.limitReached = true
	}
	probe := limiter.open
	if probe {
		limiter.probing = true
	}
	return Ticket{window: limiter.window, epoch: limiter.epoch, probe: probe}
}

// Resume counts a request that a previous owner sent and that is still running. The limit does not apply to it, because
// refusing it would not relieve the upstream.
func (limiter *Limiter) Resume(now time.Time) Ticket {
	limiter.inFlight++
	limiter.rotatePeriod(now)
	limiter.maxInFlight = max(limiter.maxInFlight, limiter.inFlight)
	return Ticket{window: -1, epoch: -1, counted: true}
}

// RecordColdStart lowers the limit to Config.Cold and starts a new window.
func (limiter *Limiter) RecordColdStart(sign Sign, now time.Time) {
	limiter.sign = sign
	limiter.limit = float64(limiter.config.Cold)
	limiter.limitBeforeIdle = 0
	if !limiter.cold {
		// One cold start gives several signs. Requests admitted since the first sign may be running, so they still count.
		limiter.cold = true
		limiter.epoch++
		limiter.epochInFlight = 0
	}
	limiter.recent = limiter.baseline
	limiter.consecutiveJumps = 0
	limiter.startWindow(now)
	if sign == SignNew || sign == SignBoot {
		limiter.baseline, limiter.recent, limiter.samples = 0, 0, 0
	}
}

// startWindow starts a sampling window. Results of requests admitted earlier are ignored, because they say nothing about
// the current limit.
func (limiter *Limiter) startWindow(now time.Time) {
	limiter.window++
	limiter.windowSuccesses = 0
	limiter.limitReached = limiter.epochInFlight >= limiter.Limit()
	limiter.windowStart = now
}

// FirstToken records the time to first token of an admitted request.
func (limiter *Limiter) FirstToken(ticket *Ticket, wait time.Duration, now time.Time) {
	if !ticket.firstTokenAt.IsZero() || ticket.epoch != limiter.epoch {
		return
	}
	ticket.firstTokenAt = now
	if limiter.samples >= minSamples && wait > minJump && wait > coldStartRatio*limiter.baseline {
		limiter.consecutiveJumps++
		if limiter.limitBeforeIdle > 0 || limiter.consecutiveJumps >= minColdStartJumps && !limiter.cold {
			limiter.RecordColdStart(SignSlow, now)
			return
		}
	} else {
		limiter.consecutiveJumps = 0
		limiter.confirmNoRestart(now)
	}
	limiter.samples++
	limiter.baseline += (wait - limiter.baseline) / time.Duration(min(limiter.samples, baselineSamples))
	limiter.recent += (wait - limiter.recent) / time.Duration(min(limiter.samples, recentSamples))
	if limiter.samples >= minSamples && limiter.recent > minJump &&
		float64(limiter.recent) > slowdownRatio*float64(limiter.baseline) {
		limiter.decreaseOncePerWindow(ticket.window, now)
	}
}

// confirmNoRestart records that a first token or an answer showed that the upstream has not restarted.
func (limiter *Limiter) confirmNoRestart(now time.Time) {
	limiter.noRestartAt = now
	limiter.limitBeforeIdle = 0
}

// Progress records that the answer of an admitted request is still streaming. After successAfter it counts as a success,
// so that the growth of the limit does not depend on the length of the answers. It reports whether the limit may have
// changed.
func (limiter *Limiter) Progress(ticket *Ticket, now time.Time) bool {
	if ticket.firstTokenAt.IsZero() || ticket.counted || now.Sub(ticket.firstTokenAt) < successAfter {
		return false
	}
	window := limiter.window
	limiter.countSuccess(ticket, now)
	return limiter.window != window
}

// decreaseOncePerWindow lowers the limit if the request was admitted in the current window.
func (limiter *Limiter) decreaseOncePerWindow(window int, now time.Time) {
	if window != limiter.window {
		return
	}
	limiter.decreaseLimit(now)
}

// decreaseLimit lowers the limit. If slow start has raised the limit, it has passed what the upstream can handle: slow
// start ends, and the limit grows by one from there.
func (limiter *Limiter) decreaseLimit(now time.Time) {
	if limiter.Limit() > limiter.config.Cold {
		limiter.cold = false
	}
	limiter.limit = max(limiter.limit*decreaseFactor, float64(limiter.config.Cold))
	limiter.ceiling = limiter.limit
	limiter.startWindow(now)
}

// Finish ends an admitted request.
func (limiter *Limiter) Finish(ticket Ticket, result Result, now time.Time) {
	limiter.inFlight--
	limiter.rotatePeriod(now)
	limiter.minInFlight = min(limiter.minInFlight, limiter.inFlight)
	if ticket.epoch == limiter.epoch {
		limiter.epochInFlight--
	}
	if ticket.probe {
		limiter.probing = false
	}
	switch result {
	case ResultCompleted:
		limiter.recordCompletion(ticket, now)
	case ResultReset:
		limiter.recordFailure(ticket, now)
		if ticket.epoch == limiter.epoch {
			limiter.RecordColdStart(SignReset, now)
		}
	case ResultRefused:
		limiter.decreaseOncePerWindow(ticket.window, now)
	case ResultFailed:
		limiter.recordFailure(ticket, now)
		limiter.decreaseOncePerWindow(ticket.window, now)
	case ResultUnused, ResultCancelled:
	}
}

func (limiter *Limiter) recordCompletion(ticket Ticket, now time.Time) {
	if ticket.probe && limiter.open {
		limiter.open = false
		limiter.openDuration = 0
		limiter.RecordColdStart(limiter.sign, now)
		limiter.consecutiveFailures = 0
		return
	}
	if ticket.epoch == limiter.epoch {
		limiter.confirmNoRestart(now)
	}
	limiter.countSuccess(&ticket, now)
}

// countSuccess counts a success of the current window. After as many as the limit the window ends, and the limit grows
// if it was reached and the upstream is not overloaded: it doubles in slow start and grows by one otherwise.
func (limiter *Limiter) countSuccess(ticket *Ticket, now time.Time) {
	if ticket.counted || ticket.window != limiter.window {
		return
	}
	ticket.counted = true
	limiter.consecutiveFailures = 0
	limiter.windowSuccesses++
	if limiter.windowSuccesses < limiter.Limit() {
		return
	}
	overloaded := now.Sub(limiter.loadTime) < reportValidity && (limiter.load.Queued > 0 || limiter.load.CacheUsage > maxCacheUsage)
	if limiter.limitReached && !overloaded {
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
	limiter.startWindow(now)
}

// recordFailure counts a failure towards the circuit breaker.
func (limiter *Limiter) recordFailure(ticket Ticket, now time.Time) {
	if ticket.probe && limiter.open {
		limiter.openDuration = min(limiter.openDuration*2, limiter.maxOpenDuration)
		limiter.openUntil = now.Add(limiter.openDuration)
		return
	}
	if ticket.window != limiter.window {
		return
	}
	limiter.consecutiveFailures++
}

// Failing reports whether there were enough consecutive failures to open the circuit breaker.
func (limiter *Limiter) Failing() bool {
	return !limiter.open && limiter.consecutiveFailures >= breakerFailures
}

// OpenBreaker opens the circuit breaker, which admits one probe a second. With eject the state is UpstreamEjected, and
// each failed probe doubles the time to the next, up to maxOpenTime. If the breaker is open, only eject is changed.
func (limiter *Limiter) OpenBreaker(eject bool, now time.Time) {
	limiter.maxOpenDuration = minOpenTime
	if eject {
		limiter.maxOpenDuration = maxOpenTime
	}
	if limiter.open {
		return
	}
	limiter.open = true
	limiter.probing = false
	limiter.openDuration = minOpenTime
	limiter.openUntil = now.Add(limiter.openDuration)
	limiter.consecutiveFailures = 0
}

// Ejected reports whether the breaker was opened with eject.
func (limiter *Limiter) Ejected() bool {
	return limiter.open && limiter.maxOpenDuration > minOpenTime
}

// rotatePeriod starts a new period of the extremes of inFlight if the current one has passed.
func (limiter *Limiter) rotatePeriod(now time.Time) {
	if now.Sub(limiter.periodStart) >= extremesPeriod {
		limiter.lastMaxInFlight, limiter.lastMinInFlight = limiter.maxInFlight, limiter.minInFlight
		limiter.maxInFlight, limiter.minInFlight = limiter.inFlight, limiter.inFlight
		limiter.periodStart = now
	}
}

// Report handles a load report of the upstream.
func (limiter *Limiter) Report(load Load, now time.Time) {
	previous := limiter.load
	known := !limiter.loadTime.IsZero()
	limiter.load = load
	limiter.loadTime = now
	limiter.rotatePeriod(now)
	adopted := !limiter.holdUntil.IsZero()
	limiter.takingOver = limiter.takingOver || adopted
	own := max(limiter.maxInFlight, limiter.lastMaxInFlight)
	if limiter.takingOver {
		// The report may be older than the latest admissions. While requests of the previous owner run, it is safer to
		// admit too few than too many.
		own = min(limiter.minInFlight, limiter.lastMinInFlight)
	}
	limiter.foreignRequests = max(0, load.Running+load.Queued-own)
	limiter.takingOver = limiter.takingOver && limiter.foreignRequests > 0
	if limiter.takingOver {
		limiter.foreignRequests += handoverMargin
	}
	limiter.holdUntil = time.Time{}
	switch {
	case adopted && !known && load.Queued == 0:
		// The load that the upstream handled for the previous owner is safe as the limit here too.
		limiter.limit = min(max(limiter.limit, float64(load.Running)), float64(limiter.config.Max))
		limiter.ceiling = limiter.limit
		limiter.startWindow(now)
	case known && load.Boot != previous.Boot:
		limiter.RecordColdStart(SignBoot, now)
	case known && previous.CachedTokens > 0 && load.CachedTokens == 0:
		limiter.RecordColdStart(SignCache, now)
	case load.Queued > 0 && now.Sub(limiter.windowStart) >= time.Second:
		// Requests queued inside the engine cannot be sent to another one any more. A report may be a second old, so the
		// limit falls at most once a second.
		limiter.decreaseLimit(now)
	}
}
