// Package budget bounds repeated requests. The platform bounds them for all routers together; each router takes a share
// that holds without asking the others, so that the bound also holds while routers cannot reach each other.
package budget

import (
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Window is the length of the sliding window. In each one a router may repeat Ratio times its own requests plus Extra.
	Window time.Duration
	Ratio  float64
	Extra  float64
}

// safety is the part of the bound that is used: requests count at the upstream when they arrive there, which may be in
// another window than where they were sent.
const safety = 0.8

// Budget counts the requests and repeats of one service.
type Budget struct {
	mutex    sync.Mutex
	config   Config
	requests []time.Time
	repeats  []time.Time
}

// New returns a budget without requests.
func New(config Config) *Budget { return &Budget{config: config} }

// SetConfig changes the bound.
func (budget *Budget) SetConfig(config Config) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.config = config
}

// RecordRequest counts a first attempt.
func (budget *Budget) RecordRequest(now time.Time) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = append(budget.recent(budget.requests, now), now)
}

// TryRetry counts a further attempt and reports whether the bound allows it.
func (budget *Budget) TryRetry(now time.Time) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = budget.recent(budget.requests, now)
	budget.repeats = budget.recent(budget.repeats, now)
	if float64(len(budget.repeats)+1) > budget.allowed() {
		return false
	}
	budget.repeats = append(budget.repeats, now)
	return true
}

// Left returns how many repeats are allowed now.
func (budget *Budget) Left(now time.Time) int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests = budget.recent(budget.requests, now)
	budget.repeats = budget.recent(budget.repeats, now)
	return max(int(budget.allowed())-len(budget.repeats), 0)
}

func (budget *Budget) allowed() float64 {
	return safety * (budget.config.Ratio*float64(len(budget.requests)) + budget.config.Extra)
}

// recent drops the times that left the window.
func (budget *Budget) recent(times []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) > budget.config.Window {
		first++
	}
	return times[first:]
}
