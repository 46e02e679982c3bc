package clementinewind

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that was not answered.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay before a retry; 0 means that a retry does not help or needs no delay.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the outcome, the reason and the detail.
func (refusal *Refusal) Error() string {
	if refusal.Detail == "" {
		return fmt.Sprintf("%v: %v", refusal.Outcome, refusal.Reason)
	}
	return fmt.Sprintf("%v: %v: %s", refusal.Outcome, refusal.Reason, refusal.Detail)
}

// NewRefusal returns the refusal of a request that failed at progress.
func NewRefusal(progress Progress, reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeOf(progress), Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of the refusal that tells the caller to retry after a delay.
func (refusal *Refusal) WithRetryAfter(retryAfter time.Duration) *Refusal {
	copied := *refusal
	copied.RetryAfter = retryAfter
	return &copied
}
