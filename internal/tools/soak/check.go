package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// leaveTime is how long an upstream that leaves may get requests, configTime how long a removed key may be served. Both
	// come from the platform's bounds, with the time that a busy machine may take to see them.
	leaveTime  = 2500 * time.Millisecond
	configTime = 2500 * time.Millisecond
	// calmTime is how long the store and a router must have been without a fault for these bounds to hold.
	calmTime = 5 * time.Second
	// maxBroken bounds the report.
	maxBroken = 50
)

// checker collects what callers and upstreams saw and which promises were broken.
type checker struct {
	mutex sync.Mutex
	began time.Time
	// runs counts the runs of each request, refused are requests that were refused as not run, once those that must run
	// at most once.
	runs    map[string]int
	refused map[string]int
	once    map[string]bool
	// disturbed is when the last fault of the store, or of a router, ended.
	disturbed time.Time
	outcomes  map[string]int
	broken    []string
}

func newChecker() *checker {
	return &checker{
		began: time.Now(), runs: map[string]int{}, refused: map[string]int{}, once: map[string]bool{}, outcomes: map[string]int{},
	}
}

func (checker *checker) breakf(format string, args ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.breakLocked(format, args...)
}

func (checker *checker) breakLocked(format string, args ...any) {
	if len(checker.broken) < maxBroken {
		checker.broken = append(checker.broken, fmt.Sprintf("%.3f s: ", time.Since(checker.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

// disturb notes a fault that excuses the bounds in time until it ended for calmTime.
func (checker *checker) disturb(until time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if until.After(checker.disturbed) {
		checker.disturbed = until
	}
}

// calmSince reports whether no fault has excused the bounds since a time.
func (checker *checker) calmSince(since time.Time) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.disturbed.Add(calmTime).Before(since)
}

// ran notes that an upstream runs a request.
func (checker *checker) ran(id, upstream string, left time.Time) {
	late := !left.IsZero() && time.Since(left) > leaveTime && checker.calmSince(left)
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.runs[id]++
	if late {
		checker.breakLocked("request %s reached %s %v after it left", id, upstream, time.Since(left))
	}
}

// sent notes a request before it is sent.
func (checker *checker) sent(id string, once bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.once[id] = once
}

// answered notes the outcome of a request.
func (checker *checker) answered(id string, status int, outcome string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.outcomes[outcome]++
	switch status {
	case 408, 421, 429, 503:
		checker.refused[id] = status
	}
}

// finish checks what holds for the whole run.
func (checker *checker) finish() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for id, runs := range checker.runs {
		once, sent := checker.once[id]
		if !sent {
			checker.breakLocked("an upstream ran request %q, which no caller sent", id)
		}
		if once && runs > 1 {
			checker.breakLocked("request %s ran %d times", id, runs)
		}
		if status, refused := checker.refused[id]; refused && once {
			checker.breakLocked("request %s was refused with %d and ran", id, status)
		}
	}
}
