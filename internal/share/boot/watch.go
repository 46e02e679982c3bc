package boot

import (
	"sync"
	"time"
)

// PauseDetectorConfig configures a PauseDetector.
type PauseDetectorConfig struct {
	Clock Clock
	// PauseThreshold is the time without a Tick after which the process counts as paused.
	PauseThreshold time.Duration
	// StaleTimeout is how long after a pause the state counts as old if nothing refreshes it: what is known then is as good as that
	// of a process which was cut off for that time.
	StaleTimeout time.Duration
	// RefreshedAt returns the moment up to which the state that others decide is known, on the same clock.
	RefreshedAt func() time.Duration
	// OnResume is called after each pause; nil is not called.
	OnResume func(paused time.Duration)
}

// PauseDetector notices that the process was paused, and tells whether what it knows is older than the pause. Its methods may be
// called by many goroutines.
type PauseDetector struct {
	config PauseDetectorConfig

	mutex   sync.Mutex
	ticked  time.Duration
	resumed time.Duration
	stale   bool
}

// NewPauseDetector returns a watch that has just ticked.
func NewPauseDetector(config PauseDetectorConfig) *PauseDetector {
	return &PauseDetector{config: config, ticked: config.Clock()}
}

// Tick tells that the process runs. It is to be called several times within the limit.
func (watch *PauseDetector) Tick() { watch.check(true) }

// Stale reports whether the process was paused and has not learned since what others decided meanwhile. It does not rely on
// a Tick after the pause.
func (watch *PauseDetector) Stale() bool { return watch.check(false) }

func (watch *PauseDetector) check(tick bool) bool {
	watch.mutex.Lock()
	now := watch.config.Clock()
	paused := now - watch.ticked
	found := paused > watch.config.PauseThreshold
	if found {
		watch.stale, watch.resumed = true, now
	}
	if found || tick {
		watch.ticked = now
	}
	if watch.stale && (now-watch.resumed >= watch.config.StaleTimeout || watch.config.RefreshedAt() >= watch.resumed) {
		watch.stale = false
	}
	stale := watch.stale
	watch.mutex.Unlock()
	if found && watch.config.OnResume != nil {
		watch.config.OnResume(paused)
	}
	return stale
}
