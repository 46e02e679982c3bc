package boot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/boot"
)

// fixture is a watch with a clock that the test sets.
type fixture struct {
	now, refreshed time.Duration
	pauses         []time.Duration
	watch          *boot.PauseDetector
}

func newFixture() *fixture {
	fixture := &fixture{now: time.Hour, refreshed: time.Hour}
	fixture.watch = boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: func() time.Duration { return fixture.now }, PauseThreshold: time.Second, StaleTimeout: 3 * time.Second,
		RefreshedAt: func() time.Duration { return fixture.refreshed },
		OnResume:    func(paused time.Duration) { fixture.pauses = append(fixture.pauses, paused) },
	})
	return fixture
}

func ExamplePauseDetector() {
	now, refreshed := time.Duration(0), time.Duration(0)
	watch := boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: func() time.Duration { return now }, PauseThreshold: time.Second, StaleTimeout: time.Minute,
		RefreshedAt: func() time.Duration { return refreshed },
	})
	now = 5 * time.Second
	fmt.Println(watch.Stale())
	refreshed = now
	fmt.Println(watch.Stale())
	// Output:
	// true
	// false
}

// Guards against a process that acts on what it knew before a pause, in the moments before its timers run again.
func TestStaleBeforeTheFirstTick(t *testing.T) {
	fixture := newFixture()
	fixture.now += 900 * time.Millisecond
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsFalse)
	fixture.now += 200 * time.Millisecond
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsTrue)
	quicktest.Check(t, fixture.pauses, quicktest.DeepEquals, []time.Duration{1100 * time.Millisecond})
	// A tick ends no pause; only newer state does.
	fixture.watch.Tick()
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsTrue)
	fixture.refreshed = fixture.now - time.Millisecond
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsTrue)
	fixture.refreshed = fixture.now
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsFalse)
	quicktest.Check(t, fixture.pauses, quicktest.HasLen, 1)
}

// Guards against a second pause that is taken for the first, and against a router that refuses for good while nobody can tell
// it anything.
func TestPausesInARow(t *testing.T) {
	fixture := newFixture()
	fixture.now += 2 * time.Second
	fixture.watch.Tick()
	fixture.refreshed = fixture.now
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsFalse)
	fixture.now += 2 * time.Second
	fixture.watch.Tick()
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsTrue)
	quicktest.Check(t, fixture.pauses, quicktest.HasLen, 2)
	for range 7 {
		fixture.now += 500 * time.Millisecond
		fixture.watch.Tick()
	}
	quicktest.Check(t, fixture.watch.Stale(), quicktest.IsFalse)
}

// Guards against a clock that stands still or runs backwards.
func TestNow(t *testing.T) {
	first := boot.Now()
	time.Sleep(2 * time.Millisecond)
	quicktest.Check(t, boot.Now()-first >= time.Millisecond, quicktest.IsTrue)
}
