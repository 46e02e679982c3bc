package plog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	defaultBackoffBase = 50 * time.Millisecond
	defaultBackoffMax  = 2 * time.Second
)

// Backoff is an exponential backoff from Base to Max with jitter.
type Backoff struct {
	// Base is the upper bound of the first delay; 0 selects 50 ms.
	Base time.Duration
	// Max is the upper bound of all delays; 0 selects 2 s.
	Max time.Duration
	// Jitter returns a number in [0, 1) that scales a delay; nil selects math/rand/v2.
	Jitter func() float64
}

// Delay returns the delay before a retry. The first retry is attempt 0.
func (backoff Backoff) Delay(attempt int) time.Duration {
	base, limit, jitter := backoff.Base, backoff.Max, backoff.Jitter
	if base <= 0 {
		base = defaultBackoffBase
	}
	if limit <= 0 {
		limit = defaultBackoffMax
	}
	if jitter == nil {
		jitter = rand.Float64
	}
	bound := base
	for i := 0; i < attempt && bound < limit; i++ {
		bound *= 2
	}
	// The delay is at least a tenth of the bound, so that retries against a log that fails at once are not a busy loop.
	bound = min(bound, limit)
	return bound/10 + time.Duration(jitter()*float64(bound-bound/10))
}

// Wait waits for Delay(attempt). It returns the error of ctx if that ends first.
func (backoff Backoff) Wait(ctx context.Context, attempt int) error {
	return pause.For(ctx, backoff.Delay(attempt))
}
