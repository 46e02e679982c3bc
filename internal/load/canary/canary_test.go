package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// The bounds of the platform for a version that is bad.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
)

// good is how a sound upstream answers: in 30 to 90 ms, and one of 300 answers fails.
func good(fleet *fleet, _, _ string, _ int) (time.Duration, bool) {
	return 30*time.Millisecond + time.Duration(fleet.random.ExpFloat64()*float64(20*time.Millisecond)), fleet.random.IntN(300) == 0
}

// faulty returns answers of which those of the target that match fail with a probability, or are slow.
func faulty(probability float64, slow bool, matches func(fleet *fleet, route string) bool) answer {
	return func(fleet *fleet, version, route string, upstream int) (time.Duration, bool) {
		took, failed := good(fleet, version, route, upstream)
		if version == "v2" && matches(fleet, route) && fleet.random.Float64() < probability {
			if slow {
				return 6 * took, failed
			}
			return took, true
		}
		return took, failed
	}
}

func always(*fleet, string) bool { return true }

// Guards against a bad version that is completed, gets more requests than the platform tolerates, or gets some long after its bad
// answers, whichever way it is bad. The load is that of the booking service of a large deployment, and of a small one.
func TestBadVersion(t *testing.T) {
	tests := map[string]answer{
		"fails at once":         faulty(0.3, false, always),
		"fails always":          faulty(1, false, always),
		"fails rarely":          faulty(0.08, false, always),
		"is slow":               faulty(0.5, true, always),
		"turns bad later":       faulty(0.3, false, func(fleet *fleet, _ string) bool { return fleet.now.Sub(fleet.ordered) > 5*time.Second }),
		"is bad on one route":   faulty(0.4, false, func(_ *fleet, route string) bool { return route == "chat" }),
		"is bad under load":     faulty(0.4, false, func(fleet *fleet, _ string) bool { return fleet.targetRate > 0.15 }),
		"is bad under all load": faulty(0.4, false, func(fleet *fleet, _ string) bool { return fleet.targetRate > 0.5 }),
	}
	for name, answers := range tests {
		for _, routers := range []int{6, 76} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				fleet := newFleet(routers, 185, answers)
				fleet.run(2*time.Second, nil)
				fleet.start(20 * time.Second)
				took := fleet.run(40*time.Second, nil)
				fleet.runOn(2*rollbackTime, nil)
				total, target := fleet.total, fleet.target
				rate := fleet.requests * 20
				t.Logf("%v after %v: %d of %d requests at the target (%.3f of a period), %d bad, %d after the 50th bad answer, the last %v after it",
					fleet.decision().Stage, took, target, total, float64(target)/rate, fleet.bad, fleet.late, fleet.lateBy)
				quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageRolledBack)
				quicktest.Check(t, float64(target) <= exposureShare*rate+exposureSlack, quicktest.IsTrue)
				quicktest.Check(t, fleet.lateBy < rollbackTime, quicktest.IsTrue)
				quicktest.Check(t, fleet.lastTarget <= took+tick, quicktest.IsTrue, quicktest.Commentf("last at %v", fleet.lastTarget))
			})
		}
	}
}

// Guards against a good version that is condemned, or late, because of a fault that is not its own.
func TestGoodVersion(t *testing.T) {
	within := func(fleet *fleet, from, to time.Duration) bool {
		since := fleet.now.Sub(fleet.ordered)
		return since > from && since < to
	}
	tests := map[string]answer{
		"no fault": good,
		"both versions fail": func(fleet *fleet, version, route string, upstream int) (time.Duration, bool) {
			took, failed := good(fleet, version, route, upstream)
			return took, failed || (within(fleet, 2*time.Second, 6*time.Second) && fleet.random.IntN(3) == 0)
		},
		"both versions are slow": func(fleet *fleet, version, route string, upstream int) (time.Duration, bool) {
			took, failed := good(fleet, version, route, upstream)
			if within(fleet, 2*time.Second, 6*time.Second) {
				took *= 5
			}
			return took, failed
		},
		"one upstream of the target fails": func(fleet *fleet, version, route string, upstream int) (time.Duration, bool) {
			took, failed := good(fleet, version, route, upstream)
			return took, failed || (version == "v2" && upstream == 1 && within(fleet, time.Second, 6*time.Second) && fleet.random.IntN(2) == 0)
		},
	}
	for name, answers := range tests {
		for _, routers := range []int{6, 76, 300} {
			if routers == 300 && name != "no fault" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				requests := 185.0
				if routers == 300 {
					requests = 1500
				}
				fleet := newFleet(routers, requests, answers)
				fleet.run(2*time.Second, nil)
				const period = 12 * time.Second
				fleet.start(period)
				took := fleet.run(2*period, nil)
				t.Logf("%v after %v, %d of %d requests at the target", fleet.decision().Stage, took, fleet.target, fleet.total)
				quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageComplete)
				quicktest.Check(t, took <= period, quicktest.IsTrue, quicktest.Commentf("took %v", took))
				total := fleet.total
				fleet.runOn(3*time.Second, nil)
				quicktest.Check(t, fleet.total > total, quicktest.IsTrue)
				quicktest.Check(t, fleet.unsafe, quicktest.Equals, 0)
			})
		}
	}
}

// Guards against a fleet whose routers together exceed the share of an unproven version while they do not hear each other, restart or
// do not reach the store, and against steps that go back.
func TestExposureOfSilentRouters(t *testing.T) {
	for _, routers := range []int{6, 76, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for seed := range uint64(max(600/routers, 3)) {
				fleet := newFleet(routers, 400, faulty(0.5, false, always))
				fleet.random = rand.New(rand.NewPCG(seed, 1))
				fleet.start(20 * time.Second)
				restarts := int(seed) % 4
				each := func() {
					number := fleet.random.IntN(routers)
					if restarts > 0 && fleet.random.IntN(20) < restarts {
						fleet.restart(number)
					}
					fleet.routers[number].cut = fleet.random.IntN(3) == 0
					fleet.routers[(number+1)%routers].noStore = fleet.random.IntN(3) == 0
				}
				fleet.run(6*time.Second, each)
				if fleet.decision().Stage == canary.StageComplete {
					t.Fatalf("a bad version is complete")
				}
				if limit := exposureShare*float64(fleet.total) + exposureSlack; float64(fleet.target) > limit {
					t.Fatalf("%d of %d requests at the target, more than %v", fleet.target, fleet.total, limit)
				}
			}
		})
	}
}

// Guards against a step that goes back, whatever routers with old news propose in whatever order.
func TestDecisionsGoForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored canary.Decision
		highest := map[int64]canary.Stage{}
		for range rapid.IntRange(1, 40).Draw(t, "proposals") {
			proposed := canary.Decision{
				Service: "s", Target: rapid.SampledFrom([]string{"v2", "v3"}).Draw(t, "target"), Order: rapid.Int64Range(1, 4).Draw(t, "order"),
				Stage: rapid.SampledFrom([]canary.Stage{canary.StageCanary, canary.StageMoved, canary.StageComplete, canary.StageRolledBack}).Draw(t, "stage"),
			}
			if !proposed.Follows(stored) {
				continue
			}
			if proposed.Order < stored.Order || (proposed.Target == stored.Target && (stored.Final() || proposed.Stage <= stored.Stage)) {
				t.Fatalf("%v follows %v", proposed, stored)
			}
			if stored = proposed; highest[stored.Order] > stored.Stage {
				t.Fatalf("order %d returns from %v to %v", stored.Order, highest[stored.Order], stored.Stage)
			}
			highest[stored.Order] = stored.Stage
		}
	})
}

// Guards against the end of the old version while a router still sends requests there, or has some running: one that lags behind the
// store, one whose requests last long, and one that nobody hears.
func TestOldVersionInUse(t *testing.T) {
	long := func(fleet *fleet, version, route string, upstream int) (time.Duration, bool) {
		if version == "v1" && fleet.random.IntN(50) == 0 {
			return 4 * time.Second, false
		}
		return good(fleet, version, route, upstream)
	}
	tests := map[string]func(fleet *fleet){
		"long requests": func(*fleet) {},
		"a router does not reach the store after the move": func(fleet *fleet) {
			since := fleet.now.Sub(fleet.ordered)
			fleet.routers[3].noStore = since > 5*time.Second && since < 11*time.Second
		},
		"a router is not heard": func(fleet *fleet) {
			fleet.routers[3].cut = fleet.now.Sub(fleet.ordered) > 5*time.Second
		},
	}
	for name, each := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(6, 185, long)
			fleet.start(12 * time.Second)
			took := fleet.run(40*time.Second, func() { each(fleet) })
			running := 0
			for _, router := range fleet.routers {
				running += router.running["v1"]
			}
			fleet.runOn(5*time.Second, func() { each(fleet) })
			t.Logf("%v after %v: %v", fleet.decision().Stage, took, fleet.log)
			quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageComplete)
			quicktest.Check(t, running, quicktest.Equals, 0)
			quicktest.Check(t, fleet.unsafe, quicktest.Equals, 0)
		})
	}
}

// Guards against a result that goes back or is lost: the store is down across the deadline, the order is repeated, withdrawn or
// replaced, and a router starts after the result without knowing it.
func TestOneOutcome(t *testing.T) {
	t.Run("store down across the deadline", func(t *testing.T) {
		fleet := newFleet(6, 185, good)
		fleet.start(6 * time.Second)
		fleet.run(20*time.Second, func() {
			since := fleet.now.Sub(fleet.ordered)
			fleet.storeDown = since > 2*time.Second && since < 9*time.Second
		})
		quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageRolledBack)
		quicktest.Check(t, float64(fleet.target) <= exposureShare*float64(fleet.total)+exposureSlack, quicktest.IsTrue)
	})
	t.Run("order repeated after the result", func(t *testing.T) {
		fleet := newFleet(6, 185, faulty(1, false, always))
		fleet.start(12 * time.Second)
		fleet.run(12*time.Second, nil)
		fleet.order.Offset++
		steps, target := len(fleet.decisions), fleet.target
		for _, router := range fleet.routers {
			router.step(1)
			router.registry.Order(fleet.order, false, fleet.now)
			router.send()
			router.exchange()
		}
		quicktest.Check(t, len(fleet.decisions), quicktest.Equals, steps)
		quicktest.Check(t, fleet.target, quicktest.Equals, target)
	})
	t.Run("order withdrawn", func(t *testing.T) {
		fleet := newFleet(6, 185, good)
		fleet.start(12 * time.Second)
		fleet.run(3*time.Second, nil)
		for _, router := range fleet.routers {
			router.registry.Withdraw("s", 8, fleet.now)
		}
		fleet.run(time.Second, nil)
		quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageRolledBack)
	})
	t.Run("order replaced", func(t *testing.T) {
		fleet := newFleet(6, 185, good)
		fleet.start(12 * time.Second)
		fleet.run(3*time.Second, nil)
		fleet.order = canary.Order{Service: "s", Target: "v3", Period: time.Minute, Offset: 9}
		for _, router := range fleet.routers {
			router.registry.Order(fleet.order, false, fleet.now)
			quicktest.Check(t, router.registry.Allows("s", "v2"), quicktest.IsFalse)
		}
		target := fleet.target
		fleet.run(time.Second, nil)
		quicktest.Check(t, fleet.decision().Target, quicktest.Equals, "v3")
		quicktest.Check(t, fleet.decision().Barred, quicktest.DeepEquals, []string{"v2"})
		quicktest.Check(t, fleet.target, quicktest.Equals, target)
	})
	t.Run("router starts after the result", func(t *testing.T) {
		fleet := newFleet(6, 185, good)
		fleet.start(12 * time.Second)
		fleet.run(12*time.Second, nil)
		fleet.restart(2)
		fleet.routers[2].noStore = true
		fleet.routers[2].send()
		quicktest.Check(t, fleet.unsafe, quicktest.Equals, 0)
		fleet.routers[2].noStore = false
		fleet.routers[2].step(1)
		quicktest.Check(t, fleet.routers[2].registry.Allows("s", "v1"), quicktest.IsFalse)
		quicktest.Check(t, fleet.routers[2].registry.Allows("s", "v2"), quicktest.IsTrue)
	})
}

// Guards against versions that matter although no roll-out was ordered.
func TestWithoutOrder(t *testing.T) {
	registry := canary.New(canary.Config{})
	quicktest.Check(t, registry.Choices("s", false, time.Now()), quicktest.HasLen, 0)
	quicktest.Check(t, registry.Allows("s", "v2"), quicktest.IsTrue)
	quicktest.Check(t, registry.Record(canary.Sent{Route: "chat", Entry: table.Entry{Service: "s", Version: "v2"}}, time.Now()), quicktest.IsNil)
	quicktest.Check(t, registry.Reports(time.Now()), quicktest.HasLen, 0)
	registry.Merge(usage.Source{}, []canary.Report{{Rollout: 1}}, time.Now())
	quicktest.Check(t, registry.Undecided(), quicktest.IsFalse)
}

// Guards against a version that is complete without a roll-out while others still have upstreams or requests.
func TestOnlyVersion(t *testing.T) {
	only := map[string]board.VersionLoad{"v2": {Upstreams: 2}}
	draining := map[string]board.VersionLoad{"v2": {Upstreams: 2}, "v1": {Running: 3}}
	leaving := map[string]board.VersionLoad{"v2": {Upstreams: 2}, "v1": {}}
	tests := map[string]struct {
		atOrder, later map[string]board.VersionLoad
		stage          canary.Stage
	}{
		"no other":             {only, only, canary.StageComplete},
		"another drains":       {draining, draining, canary.StageCanary},
		"another leaves":       {leaving, leaving, canary.StageCanary},
		"another reappears":    {only, draining, canary.StageCanary},
		"the target reappears": {only, map[string]board.VersionLoad{}, canary.StageComplete},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now, load := time.Unix(1_000_000, 0), test.atOrder
			registry := canary.New(canary.Config{Loads: func(table.Service) map[string]board.VersionLoad { return load }})
			registry.SetKnown(now)
			registry.Order(canary.Order{Service: "s", Target: "v2", Period: time.Minute, Offset: 1}, false, now)
			load = test.later
			proposals := registry.Proposals(canary.Fleet{Alive: 1, Known: 1}, now)
			quicktest.Assert(t, proposals, quicktest.HasLen, 1)
			quicktest.Check(t, proposals[0].Decision.Stage, quicktest.Equals, test.stage)
			quicktest.Check(t, registry.Allows("s", "v2"), quicktest.Equals, test.stage == canary.StageComplete)
		})
	}
}

// Guards against a router that starts while the decisions cannot be read and serves nothing of a service of which one version is left,
// or serves the target while another version has upstreams or requests.
func TestOnlyVersionWhileUnknown(t *testing.T) {
	now, load := time.Unix(1_000_000, 0), map[string]board.VersionLoad{}
	registry := canary.New(canary.Config{Loads: func(table.Service) map[string]board.VersionLoad { return load }})
	registry.Order(canary.Order{Service: "s", Target: "v2", Period: time.Minute, Offset: 1}, true, now)
	propose := func() {
		quicktest.Check(t, registry.Proposals(canary.Fleet{Alive: 1, Known: 1}, now), quicktest.HasLen, 0)
	}
	load = map[string]board.VersionLoad{"v2": {Upstreams: 2}}
	propose()
	quicktest.Check(t, registry.Allows("s", "v2"), quicktest.IsFalse)
	now = now.Add(2100 * time.Millisecond)
	propose()
	quicktest.Check(t, registry.Allows("s", "v2"), quicktest.IsTrue)
	load = map[string]board.VersionLoad{"v2": {Upstreams: 2}, "v1": {Running: 1}}
	propose()
	quicktest.Check(t, registry.Allows("s", "v2"), quicktest.IsFalse)
	quicktest.Check(t, registry.Allows("s", "v1"), quicktest.IsTrue)
}

// Guards against a roll-out that stands still because the router that proposes its steps does not reach the store.
func TestOwnerWithoutStore(t *testing.T) {
	for _, routers := range []int{6, 76} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := newFleet(routers, 185, good)
			fleet.run(2*time.Second, nil)
			const period = 20 * time.Second
			fleet.start(period)
			fleet.run(period, func() { fleet.routers[0].noStore = fleet.now.Sub(fleet.ordered) > 3*time.Second })
			t.Logf("%v", fleet.log)
			quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageMoved)
			fleet.routers[0].noStore = false
			fleet.run(period, nil)
			quicktest.Check(t, fleet.decision().Stage, quicktest.Equals, canary.StageComplete)
			quicktest.Check(t, fleet.unsafe, quicktest.Equals, 0)
		})
	}
}

// Guards against the routers of a large fleet that all write at once while nobody stores a step.
func TestOverdueStepsAreSpread(t *testing.T) {
	const routers = 300
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	var registries []*canary.Registry
	for range routers {
		registry := canary.New(canary.Config{Random: random.Float64})
		registry.SetKnown(now)
		registry.Order(canary.Order{Service: "s", Target: "v2", Period: time.Minute, Offset: 1}, false, now)
		registries = append(registries, registry)
	}
	most, all := 0, 0
	for range 300 {
		overdue := 0
		for _, registry := range registries {
			for _, proposal := range registry.Proposals(canary.Fleet{Alive: routers, Known: routers}, now) {
				if proposal.Overdue {
					overdue++
				}
			}
		}
		most, all = max(most, overdue), all+overdue
		now = now.Add(200 * time.Millisecond)
	}
	t.Logf("%d in a minute, %d at most in 200 ms", all, most)
	quicktest.Check(t, all >= routers, quicktest.IsTrue)
	quicktest.Check(t, most < 15, quicktest.IsTrue)
}
