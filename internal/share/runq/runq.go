// Package runq measures how long runnable goroutines wait for the CPU.
package runq

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// latencyMetric is the runtime's histogram of the time that goroutines were runnable before they ran. The runtime
// samples one in eight.
const latencyMetric = "/sched/latencies:seconds"

// Latencies is a histogram of scheduling latencies. The zero value is empty.
type Latencies struct {
	counts []uint64
	// bounds are the boundaries of the buckets in seconds, one more than there are buckets.
	bounds []float64
}

// Count returns the number of samples.
func (latencies Latencies) Count() int {
	total := uint64(0)
	for _, count := range latencies.counts {
		total += count
	}
	return int(total)
}

// Mean returns the mean latency, with each sample at the lower bound of its bucket; it is 0 without samples.
func (latencies Latencies) Mean() time.Duration {
	total := latencies.Count()
	if total == 0 {
		return 0
	}
	sum := 0.0
	for i, count := range latencies.counts {
		sum += float64(count) * latencies.lowerBound(i)
	}
	return time.Duration(sum / float64(total) * float64(time.Second))
}

// Max returns the lower bound of the highest bucket that has a sample; it is 0 without samples.
func (latencies Latencies) Max() time.Duration {
	for i, count := range slices.Backward(latencies.counts) {
		if count > 0 {
			return time.Duration(latencies.lowerBound(i) * float64(time.Second))
		}
	}
	return 0
}

// lowerBound returns the lower bound of a bucket in seconds, or 0 for the first bucket, whose lower bound is negative
// infinity.
func (latencies Latencies) lowerBound(bucket int) float64 {
	if bound := latencies.bounds[bucket]; !math.IsInf(bound, -1) {
		return max(bound, 0)
	}
	return 0
}

// Meter reads the scheduling latencies of the process from the runtime. It is not safe for concurrent use.
type Meter struct {
	samples  []metrics.Sample
	previous []uint64
}

// New returns a meter whose first Collect returns the latencies since the process started.
func New() *Meter { return &Meter{samples: []metrics.Sample{{Name: latencyMetric}}} }

// Collect returns the latencies since the last call. The result is empty if the runtime does not provide the histogram.
func (meter *Meter) Collect() Latencies {
	metrics.Read(meter.samples)
	if meter.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return Latencies{}
	}
	histogram := meter.samples[0].Value.Float64Histogram()
	latencies := Latencies{counts: slices.Clone(histogram.Counts), bounds: histogram.Buckets}
	for i, count := range meter.previous {
		latencies.counts[i] -= count
	}
	meter.previous = append(meter.previous[:0], histogram.Counts...)
	return latencies
}
