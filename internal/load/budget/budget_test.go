package budget_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/load/budget"
)

func TestTryRetry(t *testing.T) {
	now := time.Now()
	retryBudget := budget.New(budget.Config{Window: 10 * time.Second, Ratio: 0.5, Extra: 5})
	for range 10 {
		retryBudget.RecordRequest(now)
	}
	// 0.8 * (0.5*10 + 5) = 8 retries are allowed.
	for i := range 8 {
		quicktest.Check(t, retryBudget.TryRetry(now), quicktest.IsTrue, quicktest.Commentf("%d", i))
	}
	quicktest.Check(t, retryBudget.TryRetry(now), quicktest.IsFalse)
	quicktest.Check(t, retryBudget.Remaining(now), quicktest.Equals, 0)
	quicktest.Check(t, retryBudget.Remaining(now.Add(11*time.Second)), quicktest.Equals, 4)
}

// Guards against exceeding the limit in any window, whatever the order of requests and retries.
func TestLimitHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window, ratio, extra := 10*time.Second, 0.2, 6.0
		retryBudget := budget.New(budget.Config{Window: window, Ratio: ratio, Extra: extra})
		now := time.Unix(0, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				retryBudget.RecordRequest(now)
				requests = append(requests, now)
			} else if retryBudget.TryRetry(now) {
				retries = append(retries, now)
			}
			if allowed := ratio*float64(countWithin(requests, now, window)) + extra; float64(countWithin(retries, now, window)) > allowed {
				t.Fatalf("%d retries in a window, %.1f allowed", countWithin(retries, now, window), allowed)
			}
		}
	})
}

func countWithin(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}
