// Package runq measures how long goroutines that could run wait for the processor.
package runq

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// latencies is a histogram of the runtime of the time for which goroutines could run and did not. It holds a sample of one in eight.
const latencies = "/sched/latencies:seconds"

// Waits are the waits of some time, in buckets. The zero value has none.
type Waits struct {
	counts []uint64
	// bounds are the limits of the buckets in seconds, one more than there are buckets.
	bounds []float64
}

// Count returns the number of waits that were sampled.
func (waits Waits) Count() int {
	total := uint64(0)
	for _, count := range waits.counts {
		total += count
	}
	return int(total)
}

// Mean returns the mean of the waits, each at the lower limit of its bucket; it is 0 without any.
func (waits Waits) Mean() time.Duration {
	total := waits.Count()
	if total == 0 {
		return 0
	}
	sum := 0.0
	for i, count := range waits.counts {
		sum += float64(count) * waits.lower(i)
	}
	return time.Duration(sum / float64(total) * float64(time.Second))
}

// Max returns the lower limit of the last bucket that has a wait.
func (waits Waits) Max() time.Duration {
	for i, count := range slices.Backward(waits.counts) {
		if count > 0 {
			return time.Duration(waits.lower(i) * float64(time.Second))
		}
	}
	return 0
}

// lower returns the lower limit of a bucket; that of the first one is not a number of seconds.
func (waits Waits) lower(bucket int) float64 {
	if limit := waits.bounds[bucket]; !math.IsInf(limit, -1) {
		return max(limit, 0)
	}
	return 0
}

// Meter takes the waits of the process from the runtime. It is not safe for use by many goroutines.
type Meter struct {
	samples []metrics.Sample
	before  []uint64
}

// New returns a meter whose first Take returns the waits since the process started.
func New() *Meter { return &Meter{samples: []metrics.Sample{{Name: latencies}}} }

// Collect returns the waits since the last call. There are none if the runtime does not tell them.
func (meter *Meter) Collect() Waits {
	metrics.Read(meter.samples)
	if meter.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return Waits{}
	}
	histogram := meter.samples[0].Value.Float64Histogram()
	waits := Waits{counts: slices.Clone(histogram.Counts), bounds: histogram.Buckets}
	for i, count := range meter.before {
		waits.counts[i] -= count
	}
	meter.before = append(meter.before[:0], histogram.Counts...)
	return waits
}
