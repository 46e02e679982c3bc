package entry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

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
