package runq

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// spin keeps the processor busy, and returns how often it looked at the clock.
func spin(lasts time.Duration) int {
	looks := 0
	for began := time.Now(); time.Since(began) < lasts; {
		looks++
	}
	return looks
}

func TestWaits(t *testing.T) {
	waits := Waits{counts: []uint64{1, 2, 1, 0}, bounds: []float64{math.Inf(-1), 0.010, 0.050, 1, math.Inf(1)}}
	quicktest.Check(t, waits.Count(), quicktest.Equals, 4)
	quicktest.Check(t, waits.Mean(), quicktest.Equals, 17500*time.Microsecond)
	quicktest.Check(t, waits.Max(), quicktest.Equals, 50*time.Millisecond)
	quicktest.Check(t, Waits{}.Mean(), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, Waits{}.Max(), quicktest.Equals, time.Duration(0))
}

// Guards against a measure that sees nothing of goroutines that wait behind each other, as the lateness of a timer does: the runtime
// lets the goroutine of a timer go first.
func TestMeterSeesTheQueue(t *testing.T) {
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
	waits := meter.Collect()
	quicktest.Check(t, waits.Count() > 0, quicktest.IsTrue)
	quicktest.Check(t, waits.Mean() > workers*work/4, quicktest.IsTrue, quicktest.Commentf("mean %s", waits.Mean()))
	quicktest.Check(t, waits.Max() >= waits.Mean(), quicktest.IsTrue)
}
