package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// leaveGrace is how long an upstream may get requests after it left, configurationGrace how long a removed API key may be
	// served. Both are the platform's limits plus a margin for a busy machine.
	leaveGrace         = 2500 * time.Millisecond
	configurationGrace = 2500 * time.Millisecond
	// settleTime is how long the store and all routers must have been without a fault before these limits apply.
	settleTime = 5 * time.Second
	// maxViolations limits the length of the report.
	maxViolations = 50
)

// checker records what callers and upstreams observe and collects violations of the routers' guarantees.
type checker struct {
	mutex   sync.Mutex
	started time.Time
	// runs counts the runs of each request at upstreams. refused has the status of each request whose refusal says that it did
	// not run. once has, for each sent request, whether it must run at most once.
	runs    map[string]int
	refused map[string]int
	once    map[string]bool
	// lastFaultEnd is when the last fault of the store or a router ended or will end.
	lastFaultEnd time.Time
	outcomes     map[string]int
	violations   []string
}

func newChecker() *checker {
	return &checker{
		started: time.Now(), runs: map[string]int{}, refused: map[string]int{}, once: map[string]bool{}, outcomes: map[string]int{},
	}
}

func (checker *checker) reportf(format string, args ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.reportLocked(format, args...)
}

func (checker *checker) reportLocked(format string, args ...any) {
	if len(checker.violations) < maxViolations {
		checker.violations = append(checker.violations, fmt.Sprintf("%.3f s: ", time.Since(checker.started).Seconds())+fmt.Sprintf(format, args...))
	}
}

// excuseUntil records a fault that suspends the time limits until settleTime after its end.
func (checker *checker) excuseUntil(until time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if until.After(checker.lastFaultEnd) {
		checker.lastFaultEnd = until
	}
}

// undisturbedSince reports whether no recorded fault has suspended the time limits since the given time.
func (checker *checker) undisturbedSince(since time.Time) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.lastFaultEnd.Add(settleTime).Before(since)
}

// recordRun records that an upstream runs a request; left is zero unless the upstream has left.
func (checker *checker) recordRun(id, upstream string, left time.Time) {
	late := !left.IsZero() && time.Since(left) > leaveGrace && checker.undisturbedSince(left)
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs[id]++
	if late {
		checker.reportLocked("request %s reached upstream %s %v after the upstream left", id, upstream, time.Since(left))
	}
}

// recordSent records a request before it is sent; once means that it must run at most once.
func (checker *checker) recordSent(id string, once bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.once[id] = once
}

// recordOutcome records how a request ended.
func (checker *checker) recordOutcome(id string, status int, outcome string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.outcomes[outcome]++
	switch status {
	case 408, 421, 429, 503:
		checker.refused[id] = status
	}
}

// checkTotals checks, after the last request, that the runs match the requests and their outcomes.
func (checker *checker) checkRuns() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for id, runs := range checker.runs {
		once, sent := checker.once[id]
		if !sent {
			checker.reportLocked("an upstream ran request %q, which no caller sent", id)
		}
		if once && runs > 1 {
			checker.reportLocked("request %s ran %d times", id, runs)
		}
		if status, refused := checker.refused[id]; refused && once {
			checker.reportLocked("request %s was refused with %d and ran", id, status)
		}
	}
}
