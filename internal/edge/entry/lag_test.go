package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/boot"
)

// Guards against a delay that counts only once its probe ends: operations that timed out in the meantime may be handled
// before that.
func TestDelayIsSeenBeforeNextProbe(t *testing.T) {
	var measured cpuMonitor
	quicktest.Check(t, measured.recentlyDelayed(), quicktest.IsFalse)
	measured.probeDueNanos.Store(int64(boot.Now() + time.Hour))
	quicktest.Check(t, measured.recentlyDelayed(), quicktest.IsFalse)
	measured.probeDueNanos.Store(int64(boot.Now() - dialDelayLimit))
	quicktest.Check(t, measured.recentlyDelayed(), quicktest.IsTrue)
	measured.probeDueNanos.Store(int64(boot.Now() + time.Hour))
	measured.longestDelayNanos.Store(int64(dialDelayLimit))
	quicktest.Check(t, measured.recentlyDelayed(), quicktest.IsTrue)
}

// Guards against a delay that is dropped before the timeouts it caused are handled, or that is still counted for later
// ones.
func TestDelaysAreKeptForDialTimeout(t *testing.T) {
	var kept delayWindows
	kept.add(time.Second)
	kept.add(time.Millisecond)
	for lasted := time.Duration(0); lasted < link.DialTimeout; lasted += probesPerSample * probeInterval {
		quicktest.Check(t, slices.Max(kept[:]), quicktest.Equals, time.Second, quicktest.Commentf("after %s", lasted))
		kept.rotate()
	}
	kept.rotate()
	quicktest.Check(t, slices.Max(kept[:]), quicktest.Equals, time.Duration(0))
}
