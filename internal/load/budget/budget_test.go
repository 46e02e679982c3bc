package budget_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/load/budget"
)

func TestRepeat(t *testing.T) {
	now := time.Now()
	bound := budget.New(budget.Config{Window: 10 * time.Second, Ratio: 0.5, Extra: 5})
	for range 10 {
		bound.RecordRequest(now)
	}
	// 0.8 times 0.5 times 10 plus 5.
	for i := range 8 {
		quicktest.Check(t, bound.TryRetry(now), quicktest.IsTrue, quicktest.Commentf("%d", i))
	}
	quicktest.Check(t, bound.TryRetry(now), quicktest.IsFalse)
	quicktest.Check(t, bound.Left(now), quicktest.Equals, 0)
	quicktest.Check(t, bound.Left(now.Add(11*time.Second)), quicktest.Equals, 4)
}

// Guards against more repeats in some window than the bound, whatever the order of requests and repeats.
func TestBoundHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window, ratio, extra := 10*time.Second, 0.2, 6.0
		bound := budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra})
		now := time.Unix(0, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				bound.RecordRequest(now)
				requests = append(requests, now)
			} else if bound.TryRetry(now) {
				repeats = append(repeats, now)
			}
			if allowed := ratio*float64(within(requests, now, window)) + extra; float64(within(repeats, now, window)) > allowed {
				t.Fatalf("%d repeats in a window, %.1f allowed", within(repeats, now, window), allowed)
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}
