// Package usage measures what each organisation gets, and tells which ones are above their fair share.
package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Meter is an exponentially decaying sum of tokens for each organisation. It is not safe for use by many goroutines.
type Meter[K comparable] struct {
	window time.Duration
	sums   map[K]Sliding
}

// Sliding is one exponentially decaying sum. It is not safe for use by many goroutines.
type Sliding struct {
	window time.Duration
	tokens float64
	at     time.Time
}

// NewSliding returns a sum of 0 that falls to a third in one window.
func NewSliding(window time.Duration) Sliding { return Sliding{window: window} }

// Add counts tokens.
func (sliding *Sliding) Add(tokens float64, now time.Time) {
	sliding.tokens, sliding.at = sliding.Tokens(now)+tokens, now
}

// Tokens returns the decayed sum, which is the rate times the window for a steady load.
func (sliding *Sliding) Tokens(now time.Time) float64 {
	age := max(now.Sub(sliding.at), 0)
	return sliding.tokens * math.Exp(-age.Seconds()/sliding.window.Seconds())
}

// negligible is the sum below which an organisation is forgotten.
const negligible = 1.0

// New returns an empty meter. A sum falls to a third in one window.
func New[K comparable](window time.Duration) *Meter[K] {
	return &Meter[K]{window: window, sums: map[K]Sliding{}}
}

// Add counts tokens.
func (meter *Meter[K]) Add(key K, tokens float64, now time.Time) {
	sum, ok := meter.sums[key]
	if !ok {
		sum = NewSliding(meter.window)
	}
	sum.Add(tokens, now)
	meter.sums[key] = sum
}

// Remove takes back what is left of tokens that were added at the given time.
func (meter *Meter[K]) Remove(key K, tokens float64, added, now time.Time) {
	if sum, ok := meter.sums[key]; ok {
		left := Sliding{window: meter.window, tokens: tokens, at: added}
		sum.tokens, sum.at = max(sum.Tokens(now)-left.Tokens(now), 0), now
		meter.sums[key] = sum
	}
}

// Tokens returns the decayed sum, which is the rate times the window for a steady load.
func (meter *Meter[K]) Tokens(key K, now time.Time) float64 {
	sum, ok := meter.sums[key]
	if !ok {
		return 0
	}
	return sum.Tokens(now)
}

// Snapshot returns all sums and forgets those that have decayed.
func (meter *Meter[K]) Snapshot(now time.Time) map[K]float64 {
	meter.Forget(now)
	sums := make(map[K]float64, len(meter.sums))
	for key := range meter.sums {
		sums[key] = meter.Tokens(key, now)
	}
	return sums
}

// Forget drops the sums that have decayed.
func (meter *Meter[K]) Forget(now time.Time) {
	maps.DeleteFunc(meter.sums, func(key K, _ Sliding) bool { return meter.Tokens(key, now) < negligible })
}

// FairShare returns the max-min fair share of a capacity among demands: the level at which the demands, each cut at the
// level, use the whole capacity. It is infinite if the capacity is enough for all.
func FairShare(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := capacity
	for i, demand := range sorted {
		level := left / float64(len(sorted)-i)
		if demand > level {
			return level
		}
		left -= demand
	}
	return math.Inf(1)
}
