package send

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// Error is the error of a failed request, with the progress that the request had made.
type Error struct {
	Progress clementinewind.Progress
	Reason   clementinewind.Reason
	// RetryAfter is the delay that the upstream asked for, or 0.
	RetryAfter time.Duration
	Err        error
}

// Error returns the progress, the reason and the cause.
func (failure *Error) Error() string {
	return fmt.Sprintf("%v: %v: %v", failure.Progress, failure.Reason, failure.Err)
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error {
	return failure.Err
}

// Refusal returns the refusal to report to the caller.
func (failure *Error) Refusal() *clementinewind.Refusal {
	return clementinewind.NewRefusal(failure.Progress, failure.Reason, failure.Err.Error()).WithRetryAfter(failure.RetryAfter)
}

// ProgressOf returns the progress that err carries. An error without one counts as dispatched, as the request may or may
// not have run.
func ProgressOf(err error) clementinewind.Progress {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Progress
	}
	return clementinewind.ProgressDispatched
}

// Fail wraps err in an Error. The reason comes from an Error or a Refusal in the chain of err, or from a context error;
// any other error counts as a lost connection.
func Fail(progress clementinewind.Progress, err error) *Error {
	failure := &Error{Progress: progress, Reason: clementinewind.ReasonConnectionLost, Err: err}
	var refusal *clementinewind.Refusal
	var inner *Error
	switch {
	case errors.As(err, &inner):
		failure.Reason, failure.RetryAfter = inner.Reason, inner.RetryAfter
	case errors.As(err, &refusal):
		failure.Reason, failure.RetryAfter = refusal.Reason, refusal.RetryAfter
	case errors.Is(err, context.DeadlineExceeded):
		failure.Reason = clementinewind.ReasonDeadline
	case errors.Is(err, context.Canceled):
		failure.Reason = clementinewind.ReasonCancelled
	}
	return failure
}
