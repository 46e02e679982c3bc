package link

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrBusy is returned when all connections that the upstream allows are in use. Nothing was sent.
	ErrBusy = errors.New("all connections to the upstream are in use")
	// ErrRetired is returned by a pool whose upstream is gone. Nothing was sent.
	ErrRetired = errors.New("upstream is gone")
	// ErrExpired is returned when the permission to send ran out before the first byte. Nothing was sent.
	ErrExpired = errors.New("permission to send has expired")
)

// UnreachableError is a connection that could not be opened. Nothing was sent.
type UnreachableError struct {
	Cause error
	// Delayed is set if the connection was not opened in time while this process itself did not run, so that the error says nothing
	// of the upstream.
	Delayed bool
}

// Error names the cause.
func (unreachable *UnreachableError) Error() string {
	return fmt.Sprintf("connect to upstream: %v", unreachable.Cause)
}

// Unwrap returns the cause.
func (unreachable *UnreachableError) Unwrap() error { return unreachable.Cause }

// BrokenError is a connection that failed after the request was written, or partly written. The request may have run.
type BrokenError struct {
	Cause error
	// Reused is set if the connection had served earlier requests, so that its end may be older than this request.
	Reused bool
}

// Error names the cause.
func (broken *BrokenError) Error() string {
	return fmt.Sprintf("connection to upstream broke: %v", broken.Cause)
}

// Unwrap returns the cause.
func (broken *BrokenError) Unwrap() error { return broken.Cause }

// Sent reports whether a request that ended with this error may have reached the upstream.
func Sent(err error) bool {
	var unreachable *UnreachableError
	return !errors.Is(err, ErrBusy) && !errors.Is(err, ErrRetired) && !errors.Is(err, ErrExpired) && !errors.As(err, &unreachable)
}
