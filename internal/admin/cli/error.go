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

// Error is the error of a command with its exit code.
type Error struct {
	// Code is the exit code of the program.
	Code int
	Err  error
	// Hint tells the user what to do next; it may be empty.
	Hint string
}

// Error returns the message of the cause, without the hint.
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
	return &Error{Code: ExitUsage, Err: errors.New(text), Hint: "see '" + command.FullName() + " --help'"}
}

// dialError means that no connection to any router could be made, so that no request was sent.
type dialError struct {
	addresses []string
	err       error
}

// Error returns the addresses and the error of the last attempt.
func (err *dialError) Error() string {
	return fmt.Sprintf("no router reached at %s: %v", strings.Join(err.addresses, ", "), err.err)
}

// Unwrap returns the error of the last attempt.
func (err *dialError) Unwrap() error {
	return err.err
}

// effect is the kind of side effect that a request may have; it decides how a failure of unknown outcome is reported.
type effect int

const (
	// effectNone is a read-only request.
	effectNone effect = iota
	// effectEdit is a change of the settings.
	effectEdit
	// effectRun is a request that runs at an upstream.
	effectRun
)

// requestError converts the error of a failed request to an *Error. Unless it is certain that the request had no effect, the
// exit code says that it may have had one.
func requestError(err error, effect effect) error {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		code := ExitNotRun
		if effect == effectNone {
			code = ExitFailed
		}
		return &Error{Code: code, Err: dialErr, Hint: "check --address and that a router listens there"}
	}
	refusal := refusalOf(err)
	cliErr := &Error{Code: ExitFailed, Err: err, Hint: hintFor(err, refusal)}
	switch {
	case refusal.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN:
		cliErr.Code = ExitNotRun
	case effect == effectEdit && refusedBeforeEdit(err):
		cliErr.Code = ExitNotRun
	case effect == effectEdit:
		cliErr.Code = ExitUnknown
		cliErr.Hint = joinHints("the edit may be in force: check with 'clementinewind settings history' before you repeat it", cliErr.Hint)
	case effect == effectRun:
		cliErr.Code = ExitUnknown
	}
	return cliErr
}

// refusedBeforeEdit reports whether the code of an error is one that a router returns only before it appends an edit to the
// log.
func refusedBeforeEdit(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeUnauthenticated, connect.CodePermissionDenied,
		connect.CodeUnimplemented, connect.CodeFailedPrecondition:
		return true
	default:
		return false
	}
}

// refusalOf returns the refusal in the details of a router's error, or nil.
func refusalOf(err error) *callerv1.Refusal {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
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

func hintFor(err error, refusal *callerv1.Refusal) string {
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

func joinHints(parts ...string) string {
	var present []string
	for _, part := range parts {
		if part != "" {
			present = append(present, part)
		}
	}
	return strings.Join(present, "\n")
}
