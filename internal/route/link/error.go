package link

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrPoolExhausted is returned when the connection limit is reached. Nothing was sent.
	ErrPoolExhausted = errors.New("all connections to the upstream are in use")
	// ErrPoolClosed is returned by a closed pool. Nothing was sent.
	ErrPoolClosed = errors.New("connection pool of the upstream is closed")
	// ErrNotPermitted is returned when Request.Permitted returned false. Nothing was sent.
	ErrNotPermitted = errors.New("request may no longer be sent")
)

// UnreachableError means that no connection could be opened. Nothing was sent.
type UnreachableError struct {
	Cause error
	// ProcessStalled is set if the dial timed out while this process was not scheduled, so that the error says nothing about
	// the upstream.
	ProcessStalled bool
}

// Error implements error.
func (unreachable *UnreachableError) Error() string {
	return fmt.Sprintf("connect to upstream: %v", unreachable.Cause)
}

// Unwrap returns the cause.
func (unreachable *UnreachableError) Unwrap() error { return unreachable.Cause }

// BrokenError means that the connection failed after at least part of the request was written. The request may have run.
type BrokenError struct {
	Cause error
	// Reused is set if the connection served earlier requests, so that it may have failed before this one.
	Reused bool
}

// Error implements error.
func (broken *BrokenError) Error() string {
	return fmt.Sprintf("connection to upstream broke: %v", broken.Cause)
}

// Unwrap returns the cause.
func (broken *BrokenError) Unwrap() error { return broken.Cause }

// MaybeSent reports whether a request that failed with this error may have reached the upstream.
func MaybeSent(err error) bool {
	var unreachable *UnreachableError
	return !errors.Is(err, ErrPoolExhausted) && !errors.Is(err, ErrPoolClosed) && !errors.Is(err, ErrNotPermitted) && !errors.As(err, &unreachable)
}
