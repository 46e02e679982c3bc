package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/boot"
)

// Guards against a delay that is seen only by the probe that comes after it: what timed out meanwhile may run before the probe.
func TestDelayIsSeenBeforeTheProbe(t *testing.T) {
	var measured lag
	quicktest.Check(t, measured.delayed(), quicktest.IsFalse)
	measured.due.Store(int64(boot.Now() + time.Hour))
	quicktest.Check(t, measured.delayed(), quicktest.IsFalse)
	measured.due.Store(int64(boot.Now() - delayLimit))
	quicktest.Check(t, measured.delayed(), quicktest.IsTrue)
	measured.due.Store(int64(boot.Now() + time.Hour))
	measured.longest.Store(int64(delayLimit))
	quicktest.Check(t, measured.delayed(), quicktest.IsTrue)
}

// Guards against a delay that is forgotten before the time-outs that it caused, or that excuses later ones.
func TestDelaysAreKeptForATimeOut(t *testing.T) {
	var kept delays
	kept.add(time.Second)
	kept.add(time.Millisecond)
	for lasted := time.Duration(0); lasted < link.DialTimeout; lasted += waitProbes * lagProbe {
		quicktest.Check(t, slices.Max(kept[:]), quicktest.Equals, time.Second, quicktest.Commentf("after %s", lasted))
		kept.turn()
	}
	kept.turn()
	quicktest.Check(t, slices.Max(kept[:]), quicktest.Equals, time.Duration(0))
}
