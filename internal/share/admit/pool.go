package admit

import (
	"math"
	"time"
)

const (
	// retryShare is the share of requests that may be retries, so that retries cannot multiply an overload.
	retryShare = 0.1
	// retryTime is the time over which the share is taken. It is long enough for the loss of one upstream to fit in.
	retryTime = time.Minute
	// retryFloor is the number of retries that a quiet pool may make.
	retryFloor = 10
	// ejectShare is the largest share of a pool that may be ejected. Beyond it a failure is more likely to be common to
	// the pool, and ejection would move all the work to the rest.
	ejectShare = 0.5
)

// RetryBudget limits retries to a tenth of the requests of a pool in the last minute. Its zero value is ready for use.
type RetryBudget struct {
	// rate is the decaying number of requests in the last minute, spent that of retries.
	rate  float64
	spent float64
	aged  time.Time
}

// Request counts a first attempt.
func (budget *RetryBudget) Request(now time.Time) {
	budget.age(now)
	budget.rate++
}

// Retry takes one retry from the budget and reports whether there was one.
func (budget *RetryBudget) Retry(now time.Time) bool {
	budget.age(now)
	if budget.spent+1 > max(retryFloor, retryShare*budget.rate) {
		return false
	}
	budget.spent++
	return true
}

func (budget *RetryBudget) age(now time.Time) {
	if elapsed := now.Sub(budget.aged); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(retryTime))
		budget.rate *= factor
		budget.spent *= factor
		budget.aged = now
	}
}

// OpenBreakers opens the circuit breakers of the failing limiters among the upstreams of a pool. At most half of them count as
// ejected at a time; the breakers of the others let one request a second pass. It returns those that it opened.
func OpenBreakers(limiters []*Limiter, now time.Time) []*Limiter {
	ejected := 0
	for _, limiter := range limiters {
		if limiter.Ejected() {
			ejected++
		}
	}
	var opened []*Limiter
	for _, limiter := range limiters {
		if !limiter.Failing() {
			continue
		}
		eject := float64(ejected+1) <= ejectShare*float64(len(limiters))
		if eject {
			ejected++
		}
		limiter.Open(eject, now)
		opened = append(opened, limiter)
	}
	return opened
}
