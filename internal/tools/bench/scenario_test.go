package bench

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against overload, starvation, late sends and a gap above the bound in each scenario, in a short run with a
// fixed seed.
func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios {
		t.Run(string(scenario), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result := Run(Config{
					Seed: 7, Routers: 6, Engines: 10, Scenario: scenario, Variant: Chosen,
					Warmup: 30 * time.Second, Duration: 60 * time.Second,
				})
				quicktest.Check(t, result.Overloads, quicktest.Equals, 0)
				quicktest.Check(t, result.StarvedOrganisations, quicktest.Equals, 0)
				quicktest.Check(t, result.LateSends, quicktest.Equals, 0)
				quicktest.Check(t, result.Gap <= result.Bound, quicktest.IsTrue,
					quicktest.Commentf("gap %.0f, bound %.0f", result.Gap, result.Bound))
				quicktest.Check(t, result.Completed > 0, quicktest.IsTrue)
			})
		})
	}
}
