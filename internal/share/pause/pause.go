// Package pause provides a sleep that ends with a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for a duration, and returns the error of the context if that ends first. It returns at once if the
// duration is not positive.
func For(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
