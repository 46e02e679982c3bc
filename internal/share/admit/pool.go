package admit

import (
	"math"
	"time"
)

const (
	// maxRetryShare is the allowed ratio of retries to first attempts, so that retries cannot amplify an overload.
	maxRetryShare = 0.1
	// retryWindow is the time over which the ratio is averaged. It is long enough to cover the loss of one upstream.
	retryWindow = time.Minute
	// minRetries is the number of retries allowed in a pool with few requests.
	minRetries = 10
	// maxEjectedShare is the fraction of a pool that may be ejected. When more upstreams fail, the cause is more likely
	// common to the pool, and ejecting them would move all requests to the rest.
	maxEjectedShare = 0.5
)

// RetryBudget limits the retries of a pool to a tenth of its first attempts, both averaged over about a minute. Up to ten
// retries are always allowed. The zero value is ready to use.
type RetryBudget struct {
	// requests and retries are counts that decay exponentially with the time constant retryWindow.
	requests  float64
	retries   float64
	decayedAt time.Time
}

// Request counts a first attempt.
func (budget *RetryBudget) Request(now time.Time) {
	budget.decay(now)
	budget.requests++
}

// Retry reports whether a retry is within the budget, and counts it if so.
func (budget *RetryBudget) Retry(now time.Time) bool {
	budget.decay(now)
	if budget.retries+1 > max(minRetries, maxRetryShare*budget.requests) {
		return false
	}
	budget.retries++
	return true
}

func (budget *RetryBudget) decay(now time.Time) {
	if elapsed := now.Sub(budget.decayedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(retryWindow))
		budget.requests *= factor
		budget.retries *= factor
		budget.decayedAt = now
	}
}

// OpenBreakers opens the circuit breakers of the failing upstreams of a pool and returns their limiters. It ejects at most
// maxEjectedShare of the pool; the other failing upstreams keep getting one probe a second.
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
		eject := float64(ejected+1) <= maxEjectedShare*float64(len(limiters))
		if eject {
			ejected++
		}
		limiter.OpenBreaker(eject, now)
		opened = append(opened, limiter)
	}
	return opened
}
