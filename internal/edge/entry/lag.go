package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/shed"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/boot"
	"github.com/clementinewind/clementinewind/internal/share/runq"
)

const (
	// lagProbe is the pause after which the process should run again; what it takes longer is the lag.
	lagProbe = 20 * time.Millisecond
	// waitProbes is the number of probes after which the waits of goroutines are taken, which costs 20 us, and leastWaits the number of
	// samples from which they count: an overloaded router has four times as many, and those of an idle one say little.
	waitProbes = 5
	leastWaits = 16
	// lagHold is how long the largest lag counts, so that a burst is not taken for over between two probes.
	lagHold = 300 * time.Millisecond
	// lagTarget is the lag that the refusals hold; an idle processor is late by less than 3 ms. A request passes the scheduler
	// about ten times.
	lagTarget = 15 * time.Millisecond
	// lagGain, lagDamping and lagWorst are those of shed.Config.
	lagGain    = 0.4
	lagDamping = 0.25
	lagWorst   = 4
	// overloadedPart is the refused part from which callers are told to connect elsewhere.
	overloadedPart = 0.05
	// lagBusy is the lag from which streams are passed on in larger pieces; an idle processor is late by less than 3 ms.
	lagBusy = 15 * time.Millisecond
	// busyGather and mostGather are the parts of the delay that callers accept for an event for which events gather. The rest is
	// for the processor.
	busyGather = 0.4
	mostGather = 0.6
	// delayWindows is the number of times that waits are taken in link.DialTimeout, and one for the time since.
	delayWindows = int(link.DialTimeout/(waitProbes*lagProbe)) + 1
	// delayLimit is the delay from which a connection that was not opened in time says nothing of the other side. A connection takes a few
	// milliseconds, so that the rest of link.DialTimeout is enough for one unless most of it was lost.
	delayLimit = link.DialTimeout / 3
	// pauseLimit is the time without running from which the process counts as paused: what it was allowed to do may have ended
	// since. The shortest of the users' bounds on such permissions is 2 s.
	pauseLimit = time.Second
	// pauseTrust is how long after a pause a router that reads nothing new waits before it goes on with what it knows, as one
	// does that is cut off from the store.
	pauseTrust = 3 * time.Second
)

// delays are the longest delays since waits were last taken, and between the times before.
type delays [delayWindows]time.Duration

// add records a delay.
func (delays *delays) add(delay time.Duration) { delays[0] = max(delays[0], delay) }

// turn begins a new time and forgets the oldest one.
func (delays *delays) turn() {
	copy(delays[1:], delays[:])
	delays[0] = 0
}

// lag measures how long the process waits for the processor.
type lag struct {
	nanoseconds atomic.Int64
	// longest is the longest delay in the last link.DialTimeout.
	longest atomic.Int64
	// due is when the current probe ends, on the clock that counts pauses.
	due  atomic.Int64
	shed *shed.Controller
	// watch notices pauses of the process.
	watch *boot.PauseDetector
}

// run measures until the context ends. The goroutine of a timer goes before all others that could run, so that its own lateness tells
// only that the process as a whole does not run; what the others wait is asked of the runtime.
func (lag *lag) run(ctx context.Context) error {
	var largestAt time.Time
	var wait time.Duration
	var delays delays
	meter := runq.New()
	meter.Collect()
	ticker := time.NewTimer(lagProbe)
	defer ticker.Stop()
	for probe := 1; ; probe++ {
		began := time.Now()
		ticker.Reset(lagProbe)
		lag.due.Store(int64(boot.Now() + lagProbe))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		lag.watch.Tick()
		now := time.Now()
		late := now.Sub(began) - lagProbe
		delays.add(late)
		if probe%waitProbes == 0 {
			waits := meter.Collect()
			if wait = 0; waits.Count() >= leastWaits {
				wait = waits.Mean()
			}
			delays.add(waits.Max())
			delays.turn()
		}
		lag.longest.Store(int64(slices.Max(delays[:])))
		late = max(late, wait)
		lag.shed.Observe(late, now.Sub(began))
		if int64(late) >= lag.nanoseconds.Load() || now.Sub(largestAt) > lagHold {
			lag.nanoseconds.Store(int64(late))
			largestAt = now
		}
	}
}

// gather returns how long events gather of which callers accept the given delay: 0 while the processor is idle, and longer while
// requests are refused.
func (lag *lag) gather(accepted time.Duration) time.Duration {
	switch {
	case lag.overloaded():
		return time.Duration(mostGather * float64(accepted))
	case lag.nanoseconds.Load() > int64(lagBusy):
		return time.Duration(busyGather * float64(accepted))
	}
	return 0
}

// delayed reports whether a goroutine waited for the processor for delayLimit or more at a time in the last link.DialTimeout.
func (lag *lag) delayed() bool {
	current := time.Duration(0)
	if due := time.Duration(lag.due.Load()); due > 0 {
		current = boot.Now() - due
	}
	return max(current, time.Duration(lag.longest.Load())) >= delayLimit
}

// overloaded reports whether the processor is not enough for the requests.
func (lag *lag) overloaded() bool { return lag.shed.RefusedFraction() > overloadedPart }

// refuses decides for one request whether it is refused because the processor is not enough. The choice needs no secrecy.
func (lag *lag) refuses() bool { return rand.Float64() < lag.shed.RefusedFraction() }

func newShed(most float64) *shed.Controller {
	return shed.New(shed.Config{TargetLag: lagTarget, IntegralGain: lagGain, ProportionalGain: lagDamping, MaxLagFactor: lagWorst, MaxFraction: most})
}
