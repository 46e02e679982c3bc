// Package usage measures the tokens that the organisations request and are served, and compares them with their fair
// shares.
package usage

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Meter keeps an exponentially decaying sum for each key. It is not safe for concurrent use.
type Meter[K comparable] struct {
	timeConstant time.Duration
	sums         map[K]DecayingSum
}

// DecayingSum is an exponentially decaying sum of tokens. It is not safe for concurrent use.
type DecayingSum struct {
	timeConstant time.Duration
	tokens       float64
	updatedAt    time.Time
}

// NewDecayingSum returns a sum of 0. It decays to 1/e in one time constant.
func NewDecayingSum(timeConstant time.Duration) DecayingSum {
	return DecayingSum{timeConstant: timeConstant}
}

// Add adds tokens.
func (decayingSum *DecayingSum) Add(tokens float64, now time.Time) {
	decayingSum.tokens, decayingSum.updatedAt = decayingSum.Tokens(now)+tokens, now
}

// Tokens returns the decayed sum. For a steady load it is the rate times the time constant.
func (decayingSum *DecayingSum) Tokens(now time.Time) float64 {
	age := max(now.Sub(decayingSum.updatedAt), 0)
	return decayingSum.tokens * math.Exp(-age.Seconds()/decayingSum.timeConstant.Seconds())
}

// negligibleTokens is the sum below which a key is dropped.
const negligibleTokens = 1.0

// NewMeter returns an empty meter. Its sums decay to 1/e in one time constant.
func NewMeter[K comparable](timeConstant time.Duration) *Meter[K] {
	return &Meter[K]{timeConstant: timeConstant, sums: map[K]DecayingSum{}}
}

// Add adds tokens.
func (meter *Meter[K]) Add(key K, tokens float64, now time.Time) {
	sum, ok := meter.sums[key]
	if !ok {
		sum = NewDecayingSum(meter.timeConstant)
	}
	sum.Add(tokens, now)
	meter.sums[key] = sum
}

// Remove subtracts what is left of tokens that were added at the given time.
func (meter *Meter[K]) Remove(key K, tokens float64, addedAt, now time.Time) {
	if sum, ok := meter.sums[key]; ok {
		removed := DecayingSum{timeConstant: meter.timeConstant, tokens: tokens, updatedAt: addedAt}
		sum.tokens, sum.updatedAt = max(sum.Tokens(now)-removed.Tokens(now), 0), now
		meter.sums[key] = sum
	}
}

// Tokens returns the decayed sum of a key. For a steady load it is the rate times the time constant.
func (meter *Meter[K]) Tokens(key K, now time.Time) float64 {
	sum, ok := meter.sums[key]
	if !ok {
		return 0
	}
	return sum.Tokens(now)
}

// Snapshot drops the negligible sums and returns the others.
func (meter *Meter[K]) Snapshot(now time.Time) map[K]float64 {
	meter.Prune(now)
	sums := make(map[K]float64, len(meter.sums))
	for key := range meter.sums {
		sums[key] = meter.Tokens(key, now)
	}
	return sums
}

// Prune drops the negligible sums.
func (meter *Meter[K]) Prune(now time.Time) {
	maps.DeleteFunc(meter.sums, func(key K, _ DecayingSum) bool { return meter.Tokens(key, now) < negligibleTokens })
}

// FairShare returns the max-min fair share of a capacity among demands: the level at which the demands, each capped at
// the level, use the whole capacity. It is infinite if the capacity is enough for all.
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
