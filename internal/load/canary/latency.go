package canary

import (
	"slices"
	"time"
)

const (
	// An answer is slow if its first event takes slowFactor times as long as the median of the other versions on the route, and slowExtra
	// of baseTime more: requests at a version with few of them open connections, and processes wait for their processor.
	slowFactor = 2.5
	slowExtra  = 0.4
	// latencySamples is the number of latencies of which the median is taken, minLatencySamples the number that is needed. In a large
	// fleet a router has a few requests a second, and a short roll-out lasts for a few seconds.
	latencySamples    = 48
	minLatencySamples = 5
	// medianInterval is the number of samples between two computations of the median.
	medianInterval = 4
	// tokenTime is about what an uncached prompt token adds to the time to the first event, and baseTime what it takes without any.
	// Upstreams of a new version have empty caches.
	tokenTime = 20 * time.Microsecond
	baseTime  = 25 * time.Millisecond
)

// latencies holds the last latencies of the versions that a target is compared with.
type latencies struct {
	samples []float64
	next    int
	median  float64
}

// normalise makes latencies of prompts of different lengths comparable.
func normalise(latency time.Duration, uncachedTokens int) float64 {
	return float64(latency) / float64(baseTime+time.Duration(uncachedTokens)*tokenTime)
}

func (latencies *latencies) add(latency float64) {
	if len(latencies.samples) < latencySamples {
		latencies.samples = append(latencies.samples, latency)
	} else {
		latencies.samples[latencies.next%latencySamples] = latency
	}
	if latencies.next++; len(latencies.samples) >= minLatencySamples && (latencies.median == 0 || latencies.next%medianInterval == 0) {
		sorted := slices.Sorted(slices.Values(latencies.samples))
		latencies.median = sorted[len(sorted)/2]
	}
}

func (latencies *latencies) slow(latency float64) bool {
	return latencies.median > 0 && latency > slowFactor*latencies.median+slowExtra
}
