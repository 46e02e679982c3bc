package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Guards against a log that an outage of the store fills, because each error names another port, and against steps whose failure is not
// logged.
func TestRolloutFailuresAreLoggedSeldom(t *testing.T) {
	rollouts := &rollouts{failures: map[table.Service]failure{}}
	now, logged := time.Unix(1_000_000, 0), 0
	for port := range 50 {
		if rollouts.news(canary.Decision{Service: "s", Stage: canary.StageLow}, fmt.Sprintf("port %d", port), now) {
			logged++
		}
		now = now.Add(rolloutInterval)
	}
	quicktest.Check(t, logged, quicktest.Equals, 2)
	quicktest.Check(t, rollouts.news(canary.Decision{Service: "s", Stage: canary.StageHigh}, "port 1", now), quicktest.IsTrue)
	quicktest.Check(t, rollouts.news(canary.Decision{Service: "s", Stage: canary.StageHigh}, "port 1", now.Add(time.Minute)), quicktest.IsFalse)
	quicktest.Check(t, rollouts.news(canary.Decision{Service: "r", Stage: canary.StageHigh}, "port 1", now), quicktest.IsTrue)
}
