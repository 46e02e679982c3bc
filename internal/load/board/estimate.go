package board

import (
	"math"
	"time"
)

const (
	// upstreamWeight is the weight of a new sample in the estimate of one upstream, serviceWeight in that of a service.
	upstreamWeight = 0.2
	serviceWeight  = 0.03
	// maxSampleFactor limits a sample to this factor above or below the base value.
	maxSampleFactor = 8
	// upstreamHalfLife and serviceHalfLife are how fast an estimate without new samples returns to its base value.
	// Otherwise an upstream that was slow once would get no more requests, and thus no samples that correct its
	// estimate.
	upstreamHalfLife = 2 * time.Second
	serviceHalfLife  = 10 * time.Second
	// prefillFraction is the fraction of its time that an engine at its full throughput spends on prefill. It generates tokens in the rest.
	prefillFraction = 0.5
	// maxSlowdown is the multiple of the time that follows from the throughput up to which a measured time is taken for the speed of an engine.
	maxSlowdown = 1.5
	// engineCountInterval is how often the engines are counted, engineCountTime the time constant of their mean number. The throughput
	// is that of all engines, some of which may be gone for a moment, and replacements start before the engines that they replace end.
	engineCountInterval = time.Second
	// maxSpeedRatio limits how much faster or slower than defaultPerToken engines can be. A throughput beyond it is a mistake of the operator.
	maxSpeedRatio   = 64
	engineCountTime = 30 * time.Second
)

// engineSpeed is what the configuration says of the speed of the engines.
type engineSpeed struct {
	// tokensPerSecond is the throughput of all engines together; 0 means unknown.
	tokensPerSecond float64
	// count is the mean number of engines, as of countedAt.
	count     float64
	countedAt time.Time
}

// update counts the engines.
func (engineSpeed *engineSpeed) update(count int, now time.Time) {
	kept := math.Exp(-now.Sub(engineSpeed.countedAt).Seconds() / engineCountTime.Seconds())
	if engineSpeed.count == 0 {
		kept = 0
	}
	engineSpeed.count = kept*engineSpeed.count + (1-kept)*float64(count)
	engineSpeed.countedAt = now
}

// perToken returns the prefill time of a token at an engine.
func (engineSpeed *engineSpeed) perToken() time.Duration {
	if !(engineSpeed.tokensPerSecond > 0) || engineSpeed.count <= 0 {
		return defaultPerToken
	}
	seconds := prefillFraction * engineSpeed.count / engineSpeed.tokensPerSecond
	usual := defaultPerToken.Seconds()
	return time.Duration(min(max(seconds, usual/maxSpeedRatio), usual*maxSpeedRatio) * float64(time.Second))
}

// estimate is a moving average of a duration, which decays to a base value without new samples.
type estimate struct {
	value     time.Duration
	updatedAt time.Time
}

// current returns the estimate at a time. It decays to baseValue.
func (estimate estimate) current(baseValue, halfLife time.Duration, now time.Time) time.Duration {
	if estimate.updatedAt.IsZero() {
		return baseValue
	}
	kept := math.Exp2(-max(now.Sub(estimate.updatedAt), 0).Seconds() / halfLife.Seconds())
	return baseValue + time.Duration(kept*float64(estimate.value-baseValue))
}

// withSample returns the estimate after a sample.
func (estimate estimate) withSample(sample, baseValue, halfLife time.Duration, weight float64, now time.Time) estimate {
	sample = min(max(sample, baseValue/maxSampleFactor), baseValue*maxSampleFactor)
	current := estimate.current(baseValue, halfLife, now)
	estimate.value = current + time.Duration(weight*float64(sample-current))
	estimate.updatedAt = now
	return estimate
}

// timings are estimates of how fast upstreams answer.
type timings struct {
	// base is the time to an answer without any queue or prefill, perToken the prefill time of a token, and
	// serviceTime the time that a request occupies a slot.
	base, perToken, serviceTime estimate
}

// serviceEstimates are the estimates for all upstreams of a service together.
type serviceEstimates struct {
	timings
	engine bool
	// configuredPerToken is the prefill time of a token as far as the configuration tells. Without samples the estimate returns to it.
	configuredPerToken time.Duration
	// ownTokens is the mean size of the prompts with a large shared prefix, without that prefix.
	ownTokens float64
	// extraPace is the mean of the paces that the upstreams reported to this router, less 1.
	extraPace float64
}

// addPace adds a reported pace to the mean; 0 is none.
func (serviceEstimates *serviceEstimates) addPace(pace float64) {
	if pace > 0 {
		serviceEstimates.extraPace += serviceWeight * (pace - 1 - serviceEstimates.extraPace)
	}
}

// meanPace returns the mean duration of work in multiples of the usual duration.
func (serviceEstimates *serviceEstimates) meanPace() float64 { return 1 + serviceEstimates.extraPace }

// addOwnTokens adds a prompt with the given number of tokens after its shared prefix to the mean.
func (serviceEstimates *serviceEstimates) addOwnTokens(tokens int) {
	if serviceEstimates.ownTokens == 0 {
		serviceEstimates.ownTokens = float64(tokens)
	}
	serviceEstimates.ownTokens += serviceWeight * (float64(tokens) - serviceEstimates.ownTokens)
}

func (serviceEstimates *serviceEstimates) base(now time.Time) time.Duration {
	defaultTime := defaultAnswerTime
	if serviceEstimates.engine {
		defaultTime = defaultEngineBase
	}
	return serviceEstimates.timings.base.current(defaultTime, serviceHalfLife, now)
}

func (serviceEstimates *serviceEstimates) perToken(now time.Time) time.Duration {
	if !serviceEstimates.engine {
		return 0
	}
	return serviceEstimates.timings.perToken.current(serviceEstimates.configuredPerToken, serviceHalfLife, now)
}

// prefillPerToken returns the time that an engine spends on the prefill of a token, given the estimate of the time by which one delays a first
// event. While requests wait that this router does not know of, that estimate grows, and would make the engine seem to do nothing but prefill.
func (serviceEstimates *serviceEstimates) prefillPerToken(perToken time.Duration) time.Duration {
	return min(perToken, time.Duration(maxSlowdown*float64(serviceEstimates.configuredPerToken)))
}

func (serviceEstimates *serviceEstimates) serviceTime(now time.Time) time.Duration {
	defaultTime := defaultAnswerTime
	if serviceEstimates.engine {
		defaultTime = defaultEngineService
	}
	return serviceEstimates.timings.serviceTime.current(defaultTime, serviceHalfLife, now)
}
