// Package budget implements the retry budget of a router. The platform limits the retries of all routers together; each
// router enforces a share that needs no coordination, so that the limit also holds while routers cannot reach each
// other.
package budget

import (
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Window is the length of the sliding window. In each window a router may send Ratio retries for each first
	// attempt, plus Extra.
	Window time.Duration
	Ratio  float64
	Extra  float64
}

// safetyFactor is the part of the limit that is used. The upstream counts requests when they arrive, which may be in
// another window than the one they were sent in.
const safetyFactor = 0.8

// Budget counts the first attempts and retries of one service. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	config   Config
	requests []time.Time
	retries  []time.Time
}

// New returns a budget with an empty window.
func New(config Config) *Budget { return &Budget{config: config} }

// SetConfig replaces the limit.
func (budget *Budget) SetConfig(config Config) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.config = config
}

// RecordRequest records a first attempt.
func (budget *Budget) RecordRequest(now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = append(budget.inWindow(budget.requests, now), now)
}

// TryRetry reports whether the budget allows a retry, and records the retry if so.
func (budget *Budget) TryRetry(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = budget.inWindow(budget.requests, now)
	budget.retries = budget.inWindow(budget.retries, now)
	if float64(len(budget.retries)+1) > budget.allowed() {
		return false
	}
	budget.retries = append(budget.retries, now)
	return true
}

// Remaining returns how many more retries are allowed now.
func (budget *Budget) Remaining(now time.Time) int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = budget.inWindow(budget.requests, now)
	budget.retries = budget.inWindow(budget.retries, now)
	return max(int(budget.allowed())-len(budget.retries), 0)
}

func (budget *Budget) allowed() float64 {
	return safetyFactor * (budget.config.Ratio*float64(len(budget.requests)) + budget.config.Extra)
}

// inWindow drops the times before the window that ends now; times are in ascending order.
func (budget *Budget) inWindow(times []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) > budget.config.Window {
		first++
	}
	return times[first:]
}
