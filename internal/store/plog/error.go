package plog

import "fmt"

// CallError is a failed call to the log. It matches Kind and Cause with errors.Is.
type CallError struct {
	// Kind is clementinewind.ErrTruncated or clementinewind.ErrLogUnavailable.
	Kind  error
	Cause error
}

// Error returns the kind and the cause.
func (callError *CallError) Error() string {
	return fmt.Sprintf("%v: %v", callError.Kind, callError.Cause)
}

// Unwrap returns the kind and the cause.
func (callError *CallError) Unwrap() []error {
	return []error{callError.Kind, callError.Cause}
}

// AppendError is an append that was not confirmed. It matches Cause and Last with errors.Is.
type AppendError struct {
	// MayHaveTakenEffect is false only if the record was never sent to the log.
	MayHaveTakenEffect bool
	// Cause is why the append was given up, for example the error of its context.
	Cause error
	// Last is the error of the last call to the log, or nil if no call has failed since the last success.
	Last error
}

// Error returns whether the record may be in the log, and why the append was given up.
func (appendError *AppendError) Error() string {
	effect := "record not appended"
	if appendError.MayHaveTakenEffect {
		effect = "record may have been appended"
	}
	if appendError.Last == nil {
		return fmt.Sprintf("%s: %v", effect, appendError.Cause)
	}
	return fmt.Sprintf("%s: %v: last call: %v", effect, appendError.Cause, appendError.Last)
}

// Unwrap returns the cause and the error of the last call.
func (appendError *AppendError) Unwrap() []error {
	if appendError.Last == nil {
		return []error{appendError.Cause}
	}
	return []error{appendError.Cause, appendError.Last}
}
