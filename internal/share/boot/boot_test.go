package boot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/boot"
)

// fixture is a pause detector with a clock that the test sets.
type fixture struct {
	now, refreshed time.Duration
	pauses         []time.Duration
	detector       *boot.PauseDetector
}

func newFixture() *fixture {
	fixture := &fixture{now: time.Hour, refreshed: time.Hour}
	fixture.detector = boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: func() time.Duration { return fixture.now }, PauseThreshold: time.Second, StaleTimeout: 3 * time.Second,
		RefreshedAt: func() time.Duration { return fixture.refreshed },
		OnResume:    func(paused time.Duration) { fixture.pauses = append(fixture.pauses, paused) },
	})
	return fixture
}

func ExamplePauseDetector() {
	now, refreshed := time.Duration(0), time.Duration(0)
	detector := boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: func() time.Duration { return now }, PauseThreshold: time.Second, StaleTimeout: time.Minute,
		RefreshedAt: func() time.Duration { return refreshed },
	})
	now = 5 * time.Second
	fmt.Println(detector.Stale())
	refreshed = now
	fmt.Println(detector.Stale())
	// Output:
	// true
	// false
}

// Guards against a process that acts on outdated state after a pause, before its timers run again.
func TestStaleBeforeFirstTick(t *testing.T) {
	fixture := newFixture()
	fixture.now += 900 * time.Millisecond
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsFalse)
	fixture.now += 200 * time.Millisecond
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsTrue)
	quicktest.Check(t, fixture.pauses, quicktest.DeepEquals, []time.Duration{1100 * time.Millisecond})
	// A tick does not make the state fresh; only newer state does.
	fixture.detector.Tick()
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsTrue)
	fixture.refreshed = fixture.now - time.Millisecond
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsTrue)
	fixture.refreshed = fixture.now
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsFalse)
	quicktest.Check(t, fixture.pauses, quicktest.HasLen, 1)
}

// Guards against mistaking a second pause for the first, and against a process that stays stale forever while nothing
// can refresh its state.
func TestConsecutivePauses(t *testing.T) {
	fixture := newFixture()
	fixture.now += 2 * time.Second
	fixture.detector.Tick()
	fixture.refreshed = fixture.now
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsFalse)
	fixture.now += 2 * time.Second
	fixture.detector.Tick()
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsTrue)
	quicktest.Check(t, fixture.pauses, quicktest.HasLen, 2)
	for range 7 {
		fixture.now += 500 * time.Millisecond
		fixture.detector.Tick()
	}
	quicktest.Check(t, fixture.detector.Stale(), quicktest.IsFalse)
}

// Guards against a clock that stops or runs backwards.
func TestNow(t *testing.T) {
	first := boot.Now()
	time.Sleep(2 * time.Millisecond)
	quicktest.Check(t, boot.Now()-first >= time.Millisecond, quicktest.IsTrue)
}
