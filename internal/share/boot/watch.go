package boot

import (
	"sync"
	"time"
)

// WatchConfig configures a Watch.
type WatchConfig struct {
	Clock Clock
	// Limit is the time without a Tick after which the process counts as paused.
	Limit time.Duration
	// Trust is how long after a pause the state counts as old if nothing refreshes it: what is known then is as good as that
	// of a process which was cut off for that time.
	Trust time.Duration
	// Refreshed returns the moment up to which the state that others decide is known, on the same clock.
	Refreshed func() time.Duration
	// Resumed is called after each pause; nil is not called.
	Resumed func(paused time.Duration)
}

// Watch notices that the process was paused, and tells whether what it knows is older than the pause. Its methods may be
// called by many goroutines.
type Watch struct {
	config WatchConfig

	mutex   sync.Mutex
	ticked  time.Duration
	resumed time.Duration
	stale   bool
}

// NewWatch returns a watch that has just ticked.
func NewWatch(config WatchConfig) *Watch {
	return &Watch{config: config, ticked: config.Clock()}
}

// Tick tells that the process runs. It is to be called several times within the limit.
func (watch *Watch) Tick() { watch.check(true) }

// Stale reports whether the process was paused and has not learned since what others decided meanwhile. It does not rely on
// a Tick after the pause.
func (watch *Watch) Stale() bool { return watch.check(false) }

func (watch *Watch) check(tick bool) bool {
	watch.mutex.Lock()
	now := watch.config.Clock()
	paused := now - watch.ticked
	found := paused > watch.config.Limit
	if found {
		watch.stale, watch.resumed = true, now
	}
	if found || tick {
		watch.ticked = now
	}
	if watch.stale && (now-watch.resumed >= watch.config.Trust || watch.config.Refreshed() >= watch.resumed) {
		watch.stale = false
	}
	stale := watch.stale
	watch.mutex.Unlock()
	if found && watch.config.Resumed != nil {
		watch.config.Resumed(paused)
	}
	return stale
}
