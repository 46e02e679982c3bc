package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Guards against answers of a roll-out that the routers of a fleet count twice or not at all, and against routers that are not heard of
// before the old version ends. Small fleets send heartbeats to all, large ones digests of zones.
func TestRolloutAnswersAreCountedOnce(t *testing.T) {
	for _, routers := range []int{6, 76, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := newMesh(routers, 3, 1)
			fleet.run(3 * time.Second)
			for _, member := range fleet.routers {
				member.canary.Order(canary.Order{Service: "s", Target: "v2", Period: time.Hour, Offset: 1}, false, fleet.now)
				member.canary.Decide(canary.Decision{Service: "s", Target: "v2", Stage: canary.StageMoved, Order: 1}, fleet.now)
				member.canary.SetKnown(fleet.now)
			}
			// The digests of the old version end before the requests begin.
			fleet.run(time.Second)
			for _, member := range fleet.routers {
				for answer := range 24 {
					version := []string{"v1", "v2"}[answer%2]
					observer := member.canary.Record(canary.Sent{Route: "r", Entry: table.Entry{Service: "s", Version: version}}, fleet.now)
					observer.End(board.ResultServed, fleet.now)
				}
			}
			fleet.run(3 * time.Second)
			for _, member := range fleet.routers {
				proposals := member.canary.Proposals(canary.Fleet{Alive: routers, Known: routers}, fleet.now)
				quicktest.Assert(t, proposals, quicktest.HasLen, 1, quicktest.Commentf("%s", member.name))
				verdict := proposals[0].Verdict
				quicktest.Check(t, proposals[0].Decision.Stage, quicktest.Equals, canary.StageComplete)
				quicktest.Check(t, verdict.Answers, quicktest.Equals, float64(12*routers), quicktest.Commentf("%s", member.name))
				quicktest.Check(t, verdict.OldAnswers, quicktest.Equals, float64(12*routers), quicktest.Commentf("%s", member.name))
			}
			proposals := fleet.routers[0].canary.Proposals(canary.Fleet{Alive: routers + 1, Known: routers + 1}, fleet.now)
			quicktest.Check(t, proposals, quicktest.HasLen, 0)
		})
	}
}
