package event

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// counterBits is the part of a stamp that orders events within a millisecond.
	counterBits = 16
	// maxAhead is how far ahead of the local clock an observed stamp may be. Without a limit one instance with a wrong
	// clock would move the stamps of the whole fleet into the future for good.
	maxAhead = time.Minute
)

// ErrAhead is returned for a stamp that is too far ahead of the local clock.
var ErrAhead = errors.New("stamp is more than 1 min ahead of the local clock")

// ClockConfig configures a Clock.
type ClockConfig struct {
	// Now reads the wall clock; nil takes time.Now.
	Now func() time.Time
}

// Clock is a hybrid logical clock. Its stamps rise strictly, follow the wall clock and are above every stamp that was
// observed before them. The upper 48 bits are milliseconds since 1970 and the lower 16 bits a counter.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last uint64
}

// NewClock returns a clock that has observed nothing.
func NewClock(config ClockConfig) *Clock {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Clock{now: config.Now}
}

// Stamp returns a stamp above all earlier and all observed stamps.
func (clock *Clock) Stamp() uint64 {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	// A counter that overflows moves into the milliseconds, which keeps the order.
	clock.last = max(clock.last+1, stampAt(clock.now()))
	return clock.last
}

// Last returns the newest stamp that was given out or observed; it is what a router sends to its peers.
func (clock *Clock) Last() uint64 {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	return clock.last
}

// Observe makes later stamps higher than one received from another instance. It fails with ErrAhead, and changes
// nothing, if the stamp is too far in the future.
func (clock *Clock) Observe(stamp uint64) error {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	if stamp > stampAt(clock.now().Add(maxAhead)) {
		return ErrAhead
	}
	clock.last = max(clock.last, stamp)
	return nil
}

// StampTime returns the time of a stamp, to the millisecond.
func StampTime(stamp uint64) time.Time {
	return time.UnixMilli(int64(stamp >> counterBits)).UTC()
}

func stampAt(now time.Time) uint64 {
	return uint64(max(now.UnixMilli(), 0)) << counterBits
}
