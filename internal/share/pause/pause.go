// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time, and returns the error of the context if that ends first. It returns at once for a time that is not
// positive.
func For(ctx context.Context, lasts time.Duration) error {
	if lasts <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(lasts)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
