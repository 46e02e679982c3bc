package bench

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the simulation")
	all  = flag.Bool("variants", false, "measure all variants in all scenarios")
)

// inBubble runs a simulation in a testing/synctest bubble. synctest.Test needs a *testing.T, which a benchmark gets only
// from testing.RunTests.
func inBubble(b *testing.B, config Config) Result {
	b.Helper()
	var result Result
	match := func(_, _ string) (bool, error) { return true, nil }
	if !testing.RunTests(match, []testing.InternalTest{{Name: "bubble", F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { result = Run(config) })
	}}}) {
		b.Fatal("the simulation failed")
	}
	return result
}

// BenchmarkMeasure prints the measurements of docs/measures.md.
func BenchmarkMeasure(b *testing.B) {
	for _, scenario := range Scenarios {
		for _, size := range [][2]int{{6, 10}, {9, 12}} {
			var central Result
			for _, variant := range Variants {
				if variant != Central && variant != Chosen && scenario != Steady && scenario != Flood && !*all {
					continue
				}
				b.Run(fmt.Sprintf("%s/%dx%d/%s", scenario, size[0], size[1], variant), func(b *testing.B) {
					var result Result
					for range b.N {
						result = inBubble(b, Config{
							Seed: *seed, Routers: size[0], Engines: size[1], Scenario: scenario, Variant: variant,
							Warmup: 120 * time.Second, Duration: 120 * time.Second,
						})
					}
					if variant == Central {
						central = result
					}
					report(b, result, central)
				})
			}
		}
	}
}

func report(b *testing.B, result, central Result) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(result.Gap, "gap-tokens")
	b.ReportMetric(result.Gap/result.Bound, "gap/bound")
	if central.Gap > 0 {
		b.ReportMetric(result.Gap/central.Gap, "gap/central")
	}
	b.ReportMetric(result.FaultGap, "fault-gap-tokens")
	b.ReportMetric(result.Utilisation, "utilisation")
	b.ReportMetric(result.ServedShare, "served/capacity")
	b.ReportMetric(float64(result.StarvedOrganisations), "starved-orgs")
	b.ReportMetric(result.ControlBytesPerSecond, "control-B/node/s")
	b.ReportMetric(float64(result.Overloads), "overloads")
	b.ReportMetric(float64(result.LateSends), "late-sends")
	b.ReportMetric(float64(result.CutAnswers), "cut-answers")
}
