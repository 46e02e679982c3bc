package runq

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// spin keeps the CPU busy, and returns the number of iterations.
func spin(duration time.Duration) int {
	iterations := 0
	for start := time.Now(); time.Since(start) < duration; {
		iterations++
	}
	return iterations
}

func TestLatencies(t *testing.T) {
	latencies := Latencies{counts: []uint64{1, 2, 1, 0}, bounds: []float64{math.Inf(-1), 0.010, 0.050, 1, math.Inf(1)}}
	quicktest.Check(t, latencies.Count(), quicktest.Equals, 4)
	quicktest.Check(t, latencies.Mean(), quicktest.Equals, 17500*time.Microsecond)
	quicktest.Check(t, latencies.Max(), quicktest.Equals, 50*time.Millisecond)
	quicktest.Check(t, Latencies{}.Mean(), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, Latencies{}.Max(), quicktest.Equals, time.Duration(0))
}

// Guards against a measurement that misses goroutines that wait behind each other. The lateness of a timer misses them,
// because the runtime runs the goroutine of a timer first.
func TestMeterSeesRunQueue(t *testing.T) {
	const workers, turns, work = 40, 20, time.Millisecond
	meter := New()
	meter.Collect()
	var group sync.WaitGroup
	for range workers * runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for range turns {
				spin(work)
				runtime.Gosched()
			}
		})
	}
	group.Wait()
	latencies := meter.Collect()
	quicktest.Check(t, latencies.Count() > 0, quicktest.IsTrue)
	quicktest.Check(t, latencies.Mean() > workers*work/4, quicktest.IsTrue, quicktest.Commentf("mean %s", latencies.Mean()))
	quicktest.Check(t, latencies.Max() >= latencies.Mean(), quicktest.IsTrue)
}
