package admit

import "time"

const (
	// retryShare is the share of requests that may be retries, so that retries cannot multiply an overload.
	retryShare = 0.1
	// retryBurst is the number of retries that a quiet pool may make.
	retryBurst = 10
	// ejectShare is the largest share of a pool that may be ejected. Beyond it a failure is more likely to be common to
	// the pool, and ejection would move all the work to the rest.
	ejectShare = 0.5
)

// RetryBudget limits retries to a tenth of the requests of a pool. Its zero value is ready for use.
type RetryBudget struct {
	tokens float64
	opened bool
}

// Request counts a first attempt.
func (budget *RetryBudget) Request() {
	budget.open()
	budget.tokens = min(budget.tokens+retryShare, retryBurst)
}

// Retry takes one retry from the budget and reports whether there was one.
func (budget *RetryBudget) Retry() bool {
	budget.open()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

func (budget *RetryBudget) open() {
	if !budget.opened {
		budget.opened = true
		budget.tokens = retryBurst
	}
}

// Eject opens the circuit breakers of the failing limiters among the upstreams of a pool. At most half of them count as
// ejected at a time; the breakers of the others let one request a second pass. It returns those that it opened.
func Eject(limiters []*Limiter, now time.Time) []*Limiter {
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
