package event

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// counterBits is the number of low bits of a stamp that order events within a millisecond.
	counterBits = 16
	// maxClockSkew is how far ahead of the local clock an observed stamp may be. Without a limit, one instance with a wrong
	// clock would permanently move the stamps of the whole fleet into the future.
	maxClockSkew = time.Minute
)

// ErrStampAhead is returned for a stamp that is too far ahead of the local clock.
var ErrStampAhead = errors.New("stamp is more than 1 min ahead of the local clock")

// ClockConfig configures a Clock.
type ClockConfig struct {
	// Now reads the wall clock; nil takes time.Now.
	Now func() time.Time
}

// Clock is a hybrid logical clock. Its stamps increase strictly, follow the wall clock and are higher than every stamp
// observed before. The upper 48 bits are milliseconds since the Unix epoch, the lower 16 bits a counter. It is safe for
// concurrent use.
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

// Stamp returns a stamp higher than all earlier and all observed ones.
func (clock *Clock) Stamp() uint64 {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	// An overflow of the counter carries into the milliseconds, which preserves the order.
	clock.last = max(clock.last+1, stampAt(clock.now()))
	return clock.last
}

// Last returns the highest stamp that was returned or observed. A router sends it to its peers.
func (clock *Clock) Last() uint64 {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	return clock.last
}

// Observe makes later stamps higher than a stamp received from another instance. If that is too far in the future, it
// returns ErrStampAhead and changes nothing.
func (clock *Clock) Observe(stamp uint64) error {
	clock.mu.Lock()
	defer clock.mu.Unlock()
	if stamp > stampAt(clock.now().Add(maxClockSkew)) {
		return ErrStampAhead
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
