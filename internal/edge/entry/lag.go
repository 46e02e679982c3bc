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
	// probeInterval is the sleep of each probe. The lag is the time that a probe oversleeps, or the mean wait time of
	// goroutines if that is longer.
	probeInterval = 20 * time.Millisecond
	// probesPerSample is the number of probes between two samples of the wait times of goroutines; a sample costs 20 us.
	// Samples with fewer than minWaitSamples waits are ignored: they say little about an idle router, and an overloaded
	// one has four times as many.
	probesPerSample = 5
	minWaitSamples  = 16
	// lagHoldTime is how long the highest lag stays in effect, so that a burst does not seem over between two probes.
	lagHoldTime = 300 * time.Millisecond
	// targetLag is the lag that load shedding aims at. While the processor is idle, the lag is below 3 ms. A request
	// waits for the scheduler about ten times, so it is delayed by about ten times the lag.
	targetLag = 15 * time.Millisecond
	// shedIntegralGain, shedProportionalGain and shedMaxLagFactor are described at shed.Config.
	shedIntegralGain     = 0.4
	shedProportionalGain = 0.25
	shedMaxLagFactor     = 4
	// overloadedFraction is the refused fraction of requests above which callers are told to connect elsewhere.
	overloadedFraction = 0.05
	// busyLag is the lag above which stream events are sent in batches. The lag is below 3 ms while the processor is idle.
	busyLag = 15 * time.Millisecond
	// busyBatchFraction and overloadedBatchFraction are the fractions of the delay accepted for an event that may be
	// spent on batching. The rest is left for processing.
	busyBatchFraction       = 0.4
	overloadedBatchFraction = 0.6
	// delayWindowCount is the number of sampling windows in link.DialTimeout, plus the current window.
	delayWindowCount = int(link.DialTimeout/(probesPerSample*probeInterval)) + 1
	// dialDelayLimit is the scheduling delay from which a dial timeout does not show that the other side is unreachable.
	// Dialling takes a few milliseconds, so it succeeds unless most of link.DialTimeout was lost.
	dialDelayLimit = link.DialTimeout / 3
	// pauseThreshold is the time without running from which the process counts as paused: permissions that others gave
	// to it may have expired. The shortest such permission lasts 2 s.
	pauseThreshold = time.Second
	// pauseStaleTimeout is how long after a pause a router that cannot refresh its state refuses requests. Then it
	// continues with the state it has, like a router that is cut off from the store.
	pauseStaleTimeout = 3 * time.Second
)

// delayWindows holds the longest delay in each of the last sampling windows, the current window first. A delay is the
// time that a probe oversleeps, or the longest wait time of a goroutine.
type delayWindows [delayWindowCount]time.Duration

// add records a delay in the current window.
func (windows *delayWindows) add(delay time.Duration) { windows[0] = max(windows[0], delay) }

// rotate starts a new window and drops the oldest one.
func (windows *delayWindows) rotate() {
	copy(windows[1:], windows[:])
	windows[0] = 0
}

// cpuMonitor measures how long the process waits for the processor, and decides when to shed load.
type cpuMonitor struct {
	lagNanos atomic.Int64
	// longestDelayNanos is the longest delay within the last link.DialTimeout.
	longestDelayNanos atomic.Int64
	// probeDueNanos is when the current probe should end, on the clock of boot.Now.
	probeDueNanos atomic.Int64
	shed          *shed.Controller
	pauseDetector *boot.PauseDetector
}

// run measures until the context ends. A timer's goroutine is scheduled before other runnable ones, so its lateness only
// shows that the whole process is not running. The wait times of the other goroutines come from the runtime's metrics.
func (monitor *cpuMonitor) run(ctx context.Context) error {
	var maxLagAt time.Time
	var meanWait time.Duration
	var delays delayWindows
	meter := runq.New()
	meter.Collect()
	timer := time.NewTimer(probeInterval)
	defer timer.Stop()
	for probe := 1; ; probe++ {
		probeStart := time.Now()
		timer.Reset(probeInterval)
		monitor.probeDueNanos.Store(int64(boot.Now() + probeInterval))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		monitor.pauseDetector.Tick()
		now := time.Now()
		lag := now.Sub(probeStart) - probeInterval
		delays.add(lag)
		if probe%probesPerSample == 0 {
			waits := meter.Collect()
			if meanWait = 0; waits.Count() >= minWaitSamples {
				meanWait = waits.Mean()
			}
			delays.add(waits.Max())
			delays.rotate()
		}
		monitor.longestDelayNanos.Store(int64(slices.Max(delays[:])))
		lag = max(lag, meanWait)
		monitor.shed.Observe(lag, now.Sub(probeStart))
		if int64(lag) >= monitor.lagNanos.Load() || now.Sub(maxLagAt) > lagHoldTime {
			monitor.lagNanos.Store(int64(lag))
			maxLagAt = now
		}
	}
}

// batchDelay returns how long to hold back stream events of which callers accept the given delay: 0 while the processor
// is idle, and longest while the router is overloaded.
func (monitor *cpuMonitor) batchDelay(acceptedDelay time.Duration) time.Duration {
	switch {
	case monitor.overloaded():
		return time.Duration(overloadedBatchFraction * float64(acceptedDelay))
	case monitor.lagNanos.Load() > int64(busyLag):
		return time.Duration(busyBatchFraction * float64(acceptedDelay))
	}
	return 0
}

// recentlyDelayed reports whether a goroutine waited for the processor for dialDelayLimit or longer within the last
// link.DialTimeout.
func (monitor *cpuMonitor) recentlyDelayed() bool {
	currentDelay := time.Duration(0)
	if due := time.Duration(monitor.probeDueNanos.Load()); due > 0 {
		currentDelay = boot.Now() - due
	}
	return max(currentDelay, time.Duration(monitor.longestDelayNanos.Load())) >= dialDelayLimit
}

// overloaded reports whether the processor cannot keep up with the requests.
func (monitor *cpuMonitor) overloaded() bool {
	return monitor.shed.RefusedFraction() > overloadedFraction
}

// shouldRefuse decides at random whether one request is refused to shed load. The choice need not be unpredictable.
func (monitor *cpuMonitor) shouldRefuse() bool {
	return rand.Float64() < monitor.shed.RefusedFraction()
}

func newShedController(maxRefused float64) *shed.Controller {
	return shed.New(shed.Config{
		TargetLag: targetLag, IntegralGain: shedIntegralGain, ProportionalGain: shedProportionalGain,
		MaxLagFactor: shedMaxLagFactor, MaxFraction: maxRefused,
	})
}
