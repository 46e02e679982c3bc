package board

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the estimate of one upstream, serviceWeight in that of a service.
	sampleWeight  = 0.2
	serviceWeight = 0.03
	// sampleRange bounds a sample to this factor around the value that the estimate returns to.
	sampleRange = 8
	// upstreamHalfLife and serviceHalfLife are how fast an estimate without new samples returns to its base value. Without
	// it an upstream that was slow once would be avoided for good, because nothing sent there corrects the estimate.
	upstreamHalfLife = 2 * time.Second
	serviceHalfLife  = 10 * time.Second
)

// estimate is a moving average of a time that is forgotten without new samples.
type estimate struct {
	value time.Duration
	at    time.Time
}

// read returns the estimate now; base is the value that it returns to.
func (estimate estimate) read(base, halfLife time.Duration, now time.Time) time.Duration {
	if estimate.at.IsZero() {
		return base
	}
	kept := math.Exp2(-max(now.Sub(estimate.at), 0).Seconds() / halfLife.Seconds())
	return base + time.Duration(kept*float64(estimate.value-base))
}

// with returns the estimate after a sample.
func (estimate estimate) with(sample, base, halfLife time.Duration, weight float64, now time.Time) estimate {
	sample = min(max(sample, base/sampleRange), base*sampleRange)
	current := estimate.read(base, halfLife, now)
	estimate.value = current + time.Duration(weight*float64(sample-current))
	estimate.at = now
	return estimate
}

// pace is how fast upstreams answer.
type pace struct {
	// base is the time to an answer without work ahead, token the time to read a token, service how long a request holds
	// a slot.
	base, token, service estimate
}

// paces are the estimates of a service, from all of its upstreams.
type paces struct {
	pace
	engine bool
	// ownTokens is the mean size of the prompts that have a large shared part, without that part.
	ownTokens float64
}

// countOwn adds a prompt of which the given tokens are its own.
func (paces *paces) countOwn(tokens int) {
	if paces.ownTokens == 0 {
		paces.ownTokens = float64(tokens)
	}
	paces.ownTokens += serviceWeight * (float64(tokens) - paces.ownTokens)
}

func (paces *paces) base(now time.Time) time.Duration {
	standard := defaultAnswer
	if paces.engine {
		standard = defaultBase
	}
	return paces.pace.base.read(standard, serviceHalfLife, now)
}

func (paces *paces) token(now time.Time) time.Duration {
	if !paces.engine {
		return 0
	}
	return paces.pace.token.read(defaultPerToken, serviceHalfLife, now)
}

func (paces *paces) service(now time.Time) time.Duration {
	standard := defaultAnswer
	if paces.engine {
		standard = defaultService
	}
	return paces.pace.service.read(standard, serviceHalfLife, now)
}
