package router_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

func organisationOf(number int) clementinewind.Organisation {
	return clementinewind.Organisation(fmt.Sprintf("Small%c", 'A'+number))
}

// Guards against an answer that a fault of its engine makes short, wrong or false, and against a fault that costs more
// than the requests that it hits.
func TestEngineFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault stand.Fault
		// whole says that every request must be answered.
		whole bool
	}{
		{name: "reset in the middle of an answer", fault: stand.Fault{Kind: stand.FaultReset, After: 8}, whole: true},
		{name: "silence in the middle of an answer", fault: stand.Fault{Kind: stand.FaultSilence, After: 8}, whole: true},
		{name: "duplicated chunks", fault: stand.Fault{Kind: stand.FaultDuplicate, After: 3}, whole: true},
		{name: "reordered chunks", fault: stand.Fault{Kind: stand.FaultReorder, After: 3}, whole: true},
		{name: "dropped chunk", fault: stand.Fault{Kind: stand.FaultDrop, After: 8}, whole: true},
		{name: "chunks of another answer", fault: stand.Fault{Kind: stand.FaultForeign, After: 3}, whole: true},
		{name: "answer ends early", fault: stand.Fault{Kind: stand.FaultShort, After: 5}, whole: true},
		{name: "refusal before running", fault: stand.Fault{Kind: stand.FaultRefuse}},
		{name: "engine turns cold under load", fault: stand.Fault{Kind: stand.FaultCold}},
	}
	const callers, requests, met = 6, 8, 6
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
				for _, engine := range world.Engines {
					fault := test.fault
					fault.Count = met
					engine.Inject(fault)
				}
				var mu sync.Mutex
				var attempts []attempt
				var wait sync.WaitGroup
				for caller := range callers {
					wait.Go(func() {
						for number := range requests {
							made := attempt{
								organisation: "Patel", router: caller % 3, started: time.Now(),
								prompt: fmt.Sprintf("%s %d %d", test.name, caller, number),
							}
							world.askModel(ctx, &made)
							made.ended = time.Now()
							mu.Lock()
							attempts = append(attempts, made)
							mu.Unlock()
						}
					})
				}
				wait.Wait()
				counts := world.check(t, attempts)
				hit := 0
				for _, engine := range world.Engines {
					hit += engine.TotalTriggered()
				}
				t.Logf("faults met %d", hit)
				quicktest.Check(t, hit > 0, quicktest.IsTrue)
				quicktest.Check(t, counts.answered+hit >= len(attempts), quicktest.IsTrue)
				if test.whole {
					quicktest.Check(t, failures(attempts), quicktest.HasLen, 0)
				}
			})
		})
	}
}

// slots is what an engine of the flood test carries.
const slots = 4

// Guards against an organisation that takes the service of the others when it sends far more than its share.
func TestFlood(t *testing.T) {
	t.Parallel()
	const (
		small = 3
		// flooders is 100 times the share that one of four organisations has of the slots of three engines.
		flooders = 100 * 3 * slots / 4
		measure  = 5 * time.Second
	)
	config := config()
	config.ColdLimit, config.MaxLimit = slots, slots
	config.Engine.MaxBatch, config.Engine.ColdBatch = slots, slots
	for number := range small {
		config.Organisations[organisationOf(number)] = 1
	}
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		// serve runs two callers of each small organisation for a while and returns what they saw.
		serve := func(phase string) []attempt {
			var mu sync.Mutex
			var attempts []attempt
			var wait sync.WaitGroup
			until := time.Now().Add(measure)
			for caller := range 2 * small {
				wait.Go(func() {
					for number := 0; time.Now().Before(until); number++ {
						made := attempt{
							organisation: organisationOf(caller % small), router: caller % 3, started: time.Now(),
							prompt: fmt.Sprintf("%s %d %d", phase, caller, number),
						}
						world.askModel(ctx, &made)
						made.ended = time.Now()
						mu.Lock()
						attempts = append(attempts, made)
						mu.Unlock()
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			wait.Wait()
			return attempts
		}
		serve("warm-up")
		calm := serve("calm")
		flood := world.startFlood(ctx, flooders)
		time.Sleep(3 * time.Second)
		during := serve("during the flood")
		world.check(t, flood.stop())
		world.check(t, calm)
		counts := world.check(t, during)
		t.Logf("small organisations: %d requests with median %v and 95%% %v before, %d with median %v and 95%% %v during the flood",
			len(calm), quantile(calm, 0.5), quantile(calm, 0.95), len(during), quantile(during, 0.5), quantile(during, 0.95))
		quicktest.Check(t, counts.answered, quicktest.Equals, len(during))
		quicktest.Check(t, 2*len(during) >= len(calm), quicktest.IsTrue)
	})
}

// quantile returns a quantile of the time that requests took.
func quantile(attempts []attempt, share float64) time.Duration {
	var times []time.Duration
	for _, made := range attempts {
		if made.outcome == callerv1.Outcome_OUTCOME_ANSWERED {
			times = append(times, made.ended.Sub(made.started))
		}
	}
	slices.Sort(times)
	if len(times) == 0 {
		return 0
	}
	return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
}
