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
	// StaleTimeout is how long after a pause the state counts as stale if nothing refreshes it. After that it is no
	// worse than the state of a process that was disconnected for as long.
	StaleTimeout time.Duration
	// RefreshedAt returns the time, on Clock, up to which the decisions of other processes are known.
	RefreshedAt func() time.Duration
	// OnResume is called after each pause, unless it is nil.
	OnResume func(paused time.Duration)
}

// PauseDetector detects that the process was paused, and reports whether its state is older than the pause. It is safe
// for concurrent use.
type PauseDetector struct {
	config PauseDetectorConfig

	mutex     sync.Mutex
	lastTick  time.Duration
	resumedAt time.Duration
	stale     bool
}

// NewPauseDetector returns a detector that has just ticked.
func NewPauseDetector(config PauseDetectorConfig) *PauseDetector {
	return &PauseDetector{config: config, lastTick: config.Clock()}
}

// Tick records that the process runs. It has to be called several times within PauseThreshold.
func (pauseDetector *PauseDetector) Tick() { pauseDetector.check(true) }

// Stale reports whether the process was paused and does not know yet what other processes decided meanwhile. It detects
// a pause even before the first Tick after it.
func (pauseDetector *PauseDetector) Stale() bool { return pauseDetector.check(false) }

func (pauseDetector *PauseDetector) check(tick bool) bool {
	pauseDetector.mutex.Lock()
	now := pauseDetector.config.Clock()
	paused := now - pauseDetector.lastTick
	wasPaused := paused > pauseDetector.config.PauseThreshold
	if wasPaused {
		pauseDetector.stale, pauseDetector.resumedAt = true, now
	}
	if wasPaused || tick {
		pauseDetector.lastTick = now
	}
	if pauseDetector.stale && (now-pauseDetector.resumedAt >= pauseDetector.config.StaleTimeout || pauseDetector.config.RefreshedAt() >= pauseDetector.resumedAt) {
		pauseDetector.stale = false
	}
	stale := pauseDetector.stale
	pauseDetector.mutex.Unlock()
	if wasPaused && pauseDetector.config.OnResume != nil {
		pauseDetector.config.OnResume(paused)
	}
	return stale
}
