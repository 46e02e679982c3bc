package feed_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

const allowed = 300 * time.Millisecond

// Replays 50 changes a second that others read at once and the mirror 100 ms later: it is never complete, but follows. Guards
// against a fleet that reads the store with all routers because somebody always knows a newer record.
func TestLagOfBusyTopic(t *testing.T) {
	var lag feed.LagDetector
	began := time.Unix(1000, 0)
	for step := range int64(500) {
		now := began.Add(time.Duration(step) * 20 * time.Millisecond)
		quicktest.Assert(t, lag.Behind(step, max(step-5, 0), allowed, now), quicktest.IsFalse, quicktest.Commentf("step %d", step))
	}
}

// Guards against a mirror whose source stands still while the other routers get on.
func TestLagOfStalledMirror(t *testing.T) {
	var lag feed.LagDetector
	began := time.Unix(1000, 0)
	quicktest.Check(t, lag.Behind(9, 10, allowed, began), quicktest.IsFalse)
	quicktest.Check(t, lag.Behind(10, 10, allowed, began.Add(time.Second)), quicktest.IsFalse)
	quicktest.Check(t, lag.Behind(12, 10, allowed, began.Add(1200*time.Millisecond)), quicktest.IsFalse)
	quicktest.Check(t, lag.Behind(14, 10, allowed, began.Add(1400*time.Millisecond)), quicktest.IsTrue)
	// It is not said again at each of the many beats that follow.
	quicktest.Check(t, lag.Behind(14, 10, allowed, began.Add(1410*time.Millisecond)), quicktest.IsFalse)
	quicktest.Check(t, lag.Behind(14, 10, allowed, began.Add(1800*time.Millisecond)), quicktest.IsTrue)
	quicktest.Check(t, lag.Behind(14, 15, allowed, began.Add(3*time.Second)), quicktest.IsFalse)
}
