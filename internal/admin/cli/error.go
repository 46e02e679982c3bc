package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// Error is the error of a command.
type Error struct {
	// Code is the exit code of the program.
	Code int
	Err  error
	// Advice tells what to do, or is empty.
	Advice string
}

// Error returns the cause without the advice.
func (err *Error) Error() string {
	if err.Err == nil {
		return ""
	}
	return err.Err.Error()
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Err
}

func usageError(command *urfave.Command, text string) error {
	return &Error{Code: ExitUsage, Err: errors.New(text), Advice: "see '" + command.FullName() + " --help'"}
}

// dialError means that no router was reached, so that nothing was sent.
type dialError struct {
	addresses []string
	err       error
}

// Error names the addresses and the last cause.
func (err *dialError) Error() string {
	return fmt.Sprintf("no router reached at %s: %v", strings.Join(err.addresses, ", "), err.err)
}

// Unwrap returns the last cause.
func (err *dialError) Unwrap() error {
	return err.err
}

// effect tells what a request changes if it arrives.
type effect int

const (
	// effectNone is a query.
	effectNone effect = iota
	// effectEdit is a change of the settings.
	effectEdit
	// effectRun is a request to an upstream.
	effectRun
)

// failure returns the error for a request that failed. A failure that is not known to have had no effect is reported as
// one that may have had it.
func failure(err error, effect effect) error {
	var dial *dialError
	if errors.As(err, &dial) {
		code := ExitNotRun
		if effect == effectNone {
			code = ExitFailed
		}
		return &Error{Code: code, Err: dial, Advice: "check --address and that a router listens there"}
	}
	refusal := refusalOf(err)
	failed := &Error{Code: ExitFailed, Err: err, Advice: advice(err, refusal)}
	switch {
	case refusal.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN:
		failed.Code = ExitNotRun
	case effect == effectEdit && refusedBeforeEdit(err):
		failed.Code = ExitNotRun
	case effect == effectEdit:
		failed.Code = ExitUnknown
		failed.Advice = joinAdvice("the edit may be in force: check with 'clementinewind settings history' before you repeat it", failed.Advice)
	case effect == effectRun:
		failed.Code = ExitUnknown
	}
	return failed
}

// refusedBeforeEdit reports whether a router answers with this code only before it writes an edit to the log.
func refusedBeforeEdit(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeUnauthenticated, connect.CodePermissionDenied,
		connect.CodeUnimplemented, connect.CodeFailedPrecondition:
		return true
	default:
		return false
	}
}

// refusalOf returns the refusal that a router attached to an error, or nil.
func refusalOf(err error) *callerv1.Refusal {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return nil
	}
	for _, detail := range failed.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if refusal, ok := value.(*callerv1.Refusal); ok {
			return refusal
		}
	}
	return nil
}

func advice(err error, refusal *callerv1.Refusal) string {
	if retry := refusal.GetRetryAfterMillis(); retry > 0 {
		return fmt.Sprintf("retry after %v", time.Duration(retry)*time.Millisecond)
	}
	switch {
	case connect.CodeOf(err) == connect.CodeUnauthenticated:
		return "set CLEMENTINEWIND_TOKEN or --token-file; an operator makes tokens with 'clementinewind token new'"
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		return "use a token that has the right; 'clementinewind token new --help' tells which tokens there are"
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded, errors.Is(err, context.DeadlineExceeded):
		return "the router did not answer in time: try another --address or a longer --timeout"
	default:
		return ""
	}
}

func joinAdvice(parts ...string) string {
	var given []string
	for _, part := range parts {
		if part != "" {
			given = append(given, part)
		}
	}
	return strings.Join(given, "\n")
}
