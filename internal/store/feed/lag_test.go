package feed_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

const tolerance = 300 * time.Millisecond

// Simulates 50 changes a second that other routers read at once and the mirror 100 ms later: it is always behind, but
// not stalled. Guards against routers that all read from the store because another one is always ahead.
func TestLagDetectorIgnoresBusyTopic(t *testing.T) {
	var detector feed.LagDetector
	start := time.Unix(1000, 0)
	for step := range feed.Position(500) {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		quicktest.Assert(t, detector.Behind(step, max(step-5, 0), tolerance, now), quicktest.IsFalse, quicktest.Commentf("step %d", step))
	}
}

// Guards against a stalled mirror that goes unnoticed while the other routers advance.
func TestLagDetectorReportsStalledMirror(t *testing.T) {
	var detector feed.LagDetector
	start := time.Unix(1000, 0)
	quicktest.Check(t, detector.Behind(9, 10, tolerance, start), quicktest.IsFalse)
	quicktest.Check(t, detector.Behind(10, 10, tolerance, start.Add(time.Second)), quicktest.IsFalse)
	quicktest.Check(t, detector.Behind(12, 10, tolerance, start.Add(1200*time.Millisecond)), quicktest.IsFalse)
	quicktest.Check(t, detector.Behind(14, 10, tolerance, start.Add(1400*time.Millisecond)), quicktest.IsTrue)
	// A stall is reported once per tolerance, not on every heartbeat.
	quicktest.Check(t, detector.Behind(14, 10, tolerance, start.Add(1410*time.Millisecond)), quicktest.IsFalse)
	quicktest.Check(t, detector.Behind(14, 10, tolerance, start.Add(1800*time.Millisecond)), quicktest.IsTrue)
	quicktest.Check(t, detector.Behind(14, 15, tolerance, start.Add(3*time.Second)), quicktest.IsFalse)
}
