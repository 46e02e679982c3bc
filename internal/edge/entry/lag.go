package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/boot"
)

const (
	// lagProbe is the pause after which the process should run again; what it takes longer is the lag.
	lagProbe = 20 * time.Millisecond
	// lagHold is how long the largest lag counts, so that a burst is not taken for over between two probes.
	lagHold = 300 * time.Millisecond
	// lagLimit is the lag from which new requests are refused. A request passes the scheduler a few times, so that it would
	// be late by several times this.
	lagLimit = 120 * time.Millisecond
	// lagBusy is the lag from which streams are passed on in larger pieces; an idle processor is late by less than 3 ms.
	lagBusy = 15 * time.Millisecond
	// pauseLimit is the time without running from which the process counts as paused: what it was allowed to do may have ended
	// since. The shortest of the users' bounds on such permissions is 2 s.
	pauseLimit = time.Second
	// pauseTrust is how long after a pause a router that reads nothing new waits before it goes on with what it knows, as one
	// does that is cut off from the store.
	pauseTrust = 3 * time.Second
)

// lag measures how long the process waits for the processor.
type lag struct {
	nanoseconds atomic.Int64
	// watch notices pauses of the process.
	watch *boot.Watch
}

// run measures until the context ends.
func (lag *lag) run(ctx context.Context) error {
	var largestAt time.Time
	ticker := time.NewTimer(lagProbe)
	defer ticker.Stop()
	for {
		began := time.Now()
		ticker.Reset(lagProbe)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		lag.watch.Tick()
		now := time.Now()
		late := now.Sub(began) - lagProbe
		if int64(late) >= lag.nanoseconds.Load() || now.Sub(largestAt) > lagHold {
			lag.nanoseconds.Store(int64(late))
			largestAt = now
		}
	}
}

// busy reports whether the processor is short.
func (lag *lag) busy() bool { return lag.nanoseconds.Load() > int64(lagBusy) }

// overloaded reports whether requests would wait too long for the processor.
func (lag *lag) overloaded() bool { return lag.nanoseconds.Load() > int64(lagLimit) }
