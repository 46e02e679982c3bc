package router_test

import (
	"context"
	"flag"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

var (
	allPairs = flag.Bool("pairs", false, "run all pairs of faults instead of those that matter most")
	seed     = flag.Uint64("seed", 1, "seed of the requests of the pairs of faults")
)

const (
	// pairCallers is the number of callers during a pair of faults.
	pairCallers = 4
	pairWarmUp  = 2 * time.Second
	// pairApart is the time between the two faults, and pairHold how long both act together.
	pairApart = 1500 * time.Millisecond
	pairHold  = 7 * time.Second
	// pairRecovery is the time after which no request may fail any more. A session is expired after three missed
	// heartbeats, and its successor waits for 2.5 s; a restarted router has to do both again.
	pairRecovery = 20 * time.Second
	// pairAfter is longer than the wait for an owner behind a connection that a fault left silent, 5 s.
	pairAfter = 8 * time.Second
)

// pairFaults returns the faults that can act in pairs.
func pairFaults() []faultTest {
	var flood *load
	var drained sync.WaitGroup
	faults := []faultTest{
		{
			name: "zone out",
			inject: func(t *testing.T, ctx context.Context, world *world) {
				accepted := world.setZone(ctx, false)
				if accepted {
					world.removed = time.Now()
				}
				t.Logf("removal of the zone accepted: %v", accepted)
			},
			heal: func(t *testing.T, ctx context.Context, world *world) {
				// A removal whose reply was lost may take effect later; the zone then stays out.
				if !world.removed.IsZero() {
					world.checkZone(t)
					quicktest.Check(t, world.setZone(ctx, true), quicktest.IsTrue)
				}
			},
		},
		{
			name: "organisation floods",
			inject: func(_ *testing.T, ctx context.Context, world *world) {
				flood = world.startFlood(ctx, 20)
			},
			heal: func(t *testing.T, _ context.Context, world *world) { world.check(t, flood.stop()) },
		},
		{
			name: "operators race",
			inject: func(t *testing.T, ctx context.Context, world *world) {
				accepted := 0
				for _, response := range world.race(ctx, 3, func(int) string { return "Organisations.Patel" }) {
					if response.GetAccepted() {
						accepted++
					}
				}
				t.Logf("edits accepted: %d", accepted)
				quicktest.Check(t, accepted <= 1, quicktest.IsTrue)
			},
		},
		{
			name: "router drained and replaced",
			inject: func(t *testing.T, _ context.Context, world *world) {
				drained.Go(func() {
					quicktest.Check(t, world.DrainRouter(2), quicktest.IsNil)
					quicktest.Check(t, world.StartRouter(2), quicktest.IsNil)
				})
			},
			heal:     func(*testing.T, context.Context, *world) { drained.Wait() },
			resource: "router 2",
		},
	}
	for _, fault := range faultTests() {
		if !fault.alone {
			faults = append(faults, fault)
		}
	}
	return faults
}

// setZone takes the first zone out of service or back, and reports whether the edit is accepted.
func (world *world) setZone(ctx context.Context, inService bool) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	response, err := world.Operator(0).SetZone(ctx, connect.NewRequest(&operatorv1.SetZoneRequest{
		Zone: demo.ZoneName(0), InService: inService, Who: "operator", Why: "pair",
	}))
	return err == nil && response.Msg.Accepted
}

// watchVersions checks that the version that a router shows never falls while it runs.
func (world *world) watchVersions(ctx context.Context, t *testing.T) {
	type incarnation struct {
		node *demo.Node
		run  any
	}
	newest := map[incarnation]int64{}
	for ctx.Err() == nil {
		for number, node := range world.Nodes {
			if !world.RouterRunning(number) {
				continue
			}
			seen := incarnation{node, node.Router()}
			callCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			settings, err := world.Operator(number).GetSettings(callCtx, connect.NewRequest(&operatorv1.GetSettingsRequest{Section: "Zones"}))
			cancel()
			if err != nil {
				continue
			}
			quicktest.Check(t, settings.Msg.Version >= newest[seen], quicktest.IsTrue, quicktest.Commentf("version of %s fell", node.Name))
			newest[seen] = settings.Msg.Version
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// excludes reports whether two faults act on the same resource, so that the second one would end the first.
func (test faultTest) excludes(other faultTest) bool {
	if test.resource == allRouters && strings.HasPrefix(other.resource, "router ") {
		return true
	}
	if other.resource == allRouters && strings.HasPrefix(test.resource, "router ") {
		return true
	}
	return test.name == other.name || test.resource != "" && test.resource == other.resource
}

// mattering lists the pairs that run by default: those in which one fault takes away what the design uses against the
// other.
var mattering = [][2]string{
	{"log down", "router stopped and restarted without state"},
	{"log down", "router cut off from the others"},
	{"log down", "all routers restarted at once without state"},
	{"log down", "router stands still for 10 s"},
	{"log replies lost", "router stopped and restarted without state"},
	{"log replies lost", "operators race"},
	{"zone out", "log down"},
	{"zone out", "router cut off in one direction"},
	{"zone out", "router stands still for 10 s"},
	{"zone out", "engines turn cold without warning"},
	{"router cut off from the others", "router stopped and restarted without state"},
	{"router cut off in one direction", "engine restarts"},
	{"organisation floods", "engines turn cold without warning"},
	{"router drained and replaced", "log down"},
	{"router drained and replaced", "router cut off in one direction"},
	{"router stands still for 10 s", "connections between routers are reset"},
}

// Guards against two faults that together break a promise that each of them alone leaves whole.
func TestPairs(t *testing.T) {
	faults := map[string]faultTest{}
	var names []string
	for _, fault := range pairFaults() {
		faults[fault.name] = fault
		names = append(names, fault.name)
	}
	for _, pair := range mattering {
		quicktest.Assert(t, slices.Contains(names, pair[0]) && slices.Contains(names, pair[1]), quicktest.IsTrue,
			quicktest.Commentf("%v", pair))
	}
	for _, first := range names {
		for _, second := range names {
			pair := [2]string{first, second}
			if !faults[first].excludes(faults[second]) && (*allPairs || slices.Contains(mattering, pair)) {
				t.Run(first+", "+second, func(t *testing.T) {
					t.Parallel()
					runPair(t, pair)
				})
			}
		}
	}
}

// runPair injects two faults one after the other while a load runs, and checks what it saw.
func runPair(t *testing.T, names [2]string) {
	var first, second faultTest
	for _, fault := range pairFaults() {
		switch fault.name {
		case names[0]:
			first = fault
		case names[1]:
			second = fault
		}
	}
	// The engines carry so little that a flood makes requests wait.
	config := config()
	config.ColdLimit, config.MaxLimit = 2, slots
	config.Engine.ColdBatch, config.Engine.MaxBatch = 2, slots
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		watchCtx, stopWatch := context.WithCancel(ctx)
		var watch sync.WaitGroup
		watch.Go(func() { world.watchVersions(watchCtx, t) })
		load := world.startLoad(ctx, pairCallers, *seed)
		time.Sleep(pairWarmUp)
		first.inject(t, ctx, world)
		time.Sleep(pairApart)
		second.inject(t, ctx, world)
		time.Sleep(pairHold)
		for _, fault := range []faultTest{second, first} {
			if fault.heal != nil {
				fault.heal(t, ctx, world)
			}
		}
		time.Sleep(pairRecovery)
		healed := time.Now()
		time.Sleep(pairAfter)
		attempts := load.stop()
		stopWatch()
		watch.Wait()
		world.check(t, attempts)
		after := startedAfter(attempts, healed)
		quicktest.Check(t, len(after) > 0, quicktest.IsTrue)
		quicktest.Check(t, failures(after), quicktest.HasLen, 0, quicktest.Commentf("%v after the faults", pairRecovery))
	})
}
