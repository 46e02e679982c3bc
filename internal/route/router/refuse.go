package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// codes maps the reasons of refusals to Connect codes; a reason that is missing here is Unavailable. An unknown outcome
// is always Unknown, so that a client does not take it for safe to retry.
var codes = map[clementinewind.Reason]connect.Code{
	clementinewind.ReasonInvalid:      connect.CodeInvalidArgument,
	clementinewind.ReasonUnauthorized: connect.CodePermissionDenied,
	clementinewind.ReasonQueueFull:    connect.CodeResourceExhausted,
	clementinewind.ReasonRateLimited:  connect.CodeResourceExhausted,
	clementinewind.ReasonDeadline:     connect.CodeDeadlineExceeded,
	clementinewind.ReasonCancelled:    connect.CodeCanceled,
	clementinewind.ReasonKeyInUse:     connect.CodeAborted,
	clementinewind.ReasonKeyMismatch:  connect.CodeFailedPrecondition,
}

// connectError returns the refusal as a Connect error with the refusal as a detail and a Retry-After header.
func connectError(refusal *clementinewind.Refusal, requestID string) *connect.Error {
	code, ok := codes[refusal.Reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	if refusal.Outcome == clementinewind.OutcomeUnknown {
		code = connect.CodeUnknown
	}
	failure := connect.NewError(code, refusal)
	if detail, err := connect.NewErrorDetail(wireRefusal(refusal, requestID)); err == nil {
		failure.AddDetail(detail)
	}
	failure.Meta().Set(refusedHeader, refusal.Reason.String())
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		failure.Meta().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return failure
}

func wireRefusal(refusal *clementinewind.Refusal, requestID string) *callerv1.Refusal {
	return &callerv1.Refusal{
		Outcome:          wireOutcome(refusal.Outcome),
		Reason:           refusal.Reason.String(),
		RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
		Detail:           refusal.Detail,
		RequestId:        requestID,
	}
}

func wireOutcome(outcome clementinewind.Outcome) callerv1.Outcome {
	switch outcome {
	case clementinewind.OutcomeAnswered:
		return callerv1.Outcome_OUTCOME_ANSWERED
	case clementinewind.OutcomeNotRun:
		return callerv1.Outcome_OUTCOME_NOT_RUN
	default:
		return callerv1.Outcome_OUTCOME_UNKNOWN
	}
}

// refusalOf reads a refusal that another router sent. An outcome that is not known counts as unknown.
func refusalOf(message *callerv1.Refusal) *clementinewind.Refusal {
	refusal := &clementinewind.Refusal{
		Outcome:    clementinewind.OutcomeUnknown,
		Reason:     parseReason(message.Reason),
		RetryAfter: time.Duration(message.RetryAfterMillis) * time.Millisecond,
		Detail:     message.Detail,
	}
	if message.Outcome == callerv1.Outcome_OUTCOME_NOT_RUN {
		refusal.Outcome = clementinewind.OutcomeNotRun
	}
	return refusal
}

func parseReason(name string) clementinewind.Reason {
	for reason := clementinewind.ReasonNone; reason <= clementinewind.ReasonQuarantined; reason++ {
		if reason.String() == name {
			return reason
		}
	}
	return clementinewind.ReasonConnectionLost
}

// contextReason tells whether a context ended because its time was up or because the caller left.
func contextReason(ctx context.Context) clementinewind.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return clementinewind.ReasonDeadline
	}
	return clementinewind.ReasonCancelled
}

// asRefusal returns the refusal in err, or one for a failure at progress.
func asRefusal(err error, progress clementinewind.Progress, reason clementinewind.Reason) *clementinewind.Refusal {
	var refusal *clementinewind.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return clementinewind.NewRefusal(progress, reason, err.Error())
}
