package bench

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var seed = flag.Uint64("seed", 1, "seed of the measures")

// inBubble runs a simulation in virtual time from a benchmark, where synctest has no entry point.
func inBubble(config Config) Result {
	var result Result
	all := func(_, _ string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: "bubble", F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { result = Run(config) })
	}}}) {
		panic("simulation failed")
	}
	return result
}

func BenchmarkMeasure(b *testing.B) {
	for _, size := range [][2]int{{6, 10}, {9, 12}} {
		for _, scenario := range Scenarios {
			for _, variant := range []Variant{Central, Chosen, NoExchange, Local, Fifo} {
				b.Run(fmt.Sprintf("%s/%dx%d/%s", scenario, size[0], size[1], variant), func(b *testing.B) {
					for range b.N {
						result := inBubble(Config{
							Seed: *seed, Routers: size[0], Engines: size[1], Scenario: scenario, Variant: variant,
							Warmup: 120 * time.Second, Duration: 120 * time.Second,
						})
						b.ReportMetric(result.Gap, "gap-tokens")
						b.ReportMetric(result.FaultGap, "gap-with-fault")
						b.ReportMetric(result.Utilisation, "utilisation")
						b.ReportMetric(result.ServedShare, "served/capacity")
						b.ReportMetric(float64(result.Starved), "starved-orgs")
						b.ReportMetric(result.Control, "control-B/node/s")
						b.ReportMetric(float64(result.Overloads), "overloads")
						b.ReportMetric(float64(result.LateSends), "late-sends")
						b.ReportMetric(float64(result.Cut), "cut-answers")
						b.ReportMetric(float64(result.Completed), "completed")
						b.ReportMetric(0, "ns/op")
					}
				})
			}
		}
	}
}
