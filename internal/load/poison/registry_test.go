package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

const (
	tenant prompt.PartHash = iota + 1
	bad
	companion
	other
)

var start = time.Unix(1_000_000, 0)

// after returns the time a number of seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// crash records that the upstream with the given number crashed and interrupted a request.
func crash(registry *poison.Registry, upstream int, seconds float64, answering bool, parts ...prompt.PartHash) {
	id := poison.NewCrashID(clementinewind.Upstream(fmt.Sprint(upstream)), 1)
	registry.RecordCrash(parts, poison.Suspicion{Crash: id, At: after(seconds), Answering: answering}, after(seconds))
}

func rejected(registry *poison.Registry, seconds float64, parts ...prompt.PartHash) bool {
	_, rejected := registry.Check(parts, after(seconds))
	return rejected
}

func ExampleRegistry() {
	registry := poison.New(poison.Config{})
	for upstream := range 3 {
		crash(registry, upstream, float64(upstream), true, tenant, bad)
		// Sound requests share the first part.
		registry.RecordAnswer([]prompt.PartHash{tenant, other}, after(float64(upstream)+0.5))
	}
	quarantine, rejected := registry.Check([]prompt.PartHash{tenant, bad}, after(3))
	fmt.Println(quarantine.Part == bad, quarantine.Crashes, quarantine.Left, rejected)
	_, rejected = registry.Check([]prompt.PartHash{tenant, other}, after(3))
	fmt.Println(rejected)
	// Output:
	// true 3 4m59s true
	// false
}

// Guards against a sound part that is rejected because upstreams crash for another reason.
func TestSoundPartsStayInService(t *testing.T) {
	tests := map[string]func(registry *poison.Registry){
		"a zone is lost": func(registry *poison.Registry) {
			for upstream := range 40 {
				crash(registry, upstream, 0.005*float64(upstream), true, tenant, other)
			}
		},
		"two crashes": func(registry *poison.Registry) {
			crash(registry, 0, 0, true, tenant, other)
			crash(registry, 1, 1, true, tenant, other)
		},
		"one crash that many requests report": func(registry *poison.Registry) {
			for request := range 20 {
				crash(registry, 0, 0.4*float64(request), true, tenant, other)
			}
		},
		"answered between crashes": func(registry *poison.Registry) {
			for upstream := range 10 {
				crash(registry, upstream, float64(upstream), true, tenant, other)
				registry.RecordAnswer([]prompt.PartHash{tenant, other}, after(float64(upstream)+0.1))
			}
		},
		"waited while others were answered": func(registry *poison.Registry) {
			for upstream := range 10 {
				crash(registry, upstream, float64(upstream), false, tenant, other)
				crash(registry, upstream, float64(upstream)+0.01, true, bad)
			}
		},
		"crashes far apart": func(registry *poison.Registry) {
			for upstream := range 10 {
				crash(registry, upstream, 130*float64(upstream), true, tenant, other)
				registry.Counts(after(130*float64(upstream) + 125))
			}
		},
		"often with the poisoned part, and answered before": func(registry *poison.Registry) {
			registry.RecordAnswer([]prompt.PartHash{tenant, other}, after(-1))
			for upstream := range 3 {
				crash(registry, upstream, float64(upstream), true, tenant, other, bad)
			}
		},
		"often with the poisoned part, which crashed more": func(registry *poison.Registry) {
			for upstream := range 3 {
				crash(registry, upstream, float64(upstream), true, tenant, other, bad)
			}
			crash(registry, 3, 4, true, bad)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			registry := poison.New(poison.Config{})
			play(registry)
			quicktest.Check(t, rejected(registry, 11, tenant, other), quicktest.IsFalse)
		})
	}
}

// Guards against rejecting all requests of an organisation while its prompts hold one poisoned part or another.
func TestPartSharedByTwoPoisonedPartsStaysInService(t *testing.T) {
	registry := poison.New(poison.Config{})
	for round := range 10 {
		// The first part is answered every 4 s, and meanwhile three upstreams crash.
		begin := 4 * float64(round)
		registry.RecordAnswer([]prompt.PartHash{tenant, other}, after(begin))
		for upstream := range 3 {
			crash(registry, 3*round+upstream, begin+1+float64(upstream), true, tenant, []prompt.PartHash{bad, companion}[upstream%2])
		}
		quicktest.Check(t, rejected(registry, begin+3.9, tenant, other), quicktest.IsFalse, quicktest.Commentf("round %d", round))
	}
}

// Guards against a poisoned part that stays in service: crashes in quick succession, several parts at once, parts in any position,
// and requests that crash their upstream before its response header arrives.
func TestPoisonedPartsAreRejected(t *testing.T) {
	for name, play := range map[string]func(registry *poison.Registry){
		"every 66 ms": func(registry *poison.Registry) {
			for upstream := range 30 {
				crash(registry, upstream, 0.066*float64(upstream), true, tenant, bad)
			}
		},
		"in turn with another part": func(registry *poison.Registry) {
			for upstream := range 8 {
				crash(registry, upstream, 0.5*float64(upstream), true, tenant, []prompt.PartHash{bad, companion}[upstream%2])
			}
		},
		"before the response header": func(registry *poison.Registry) {
			for upstream := range 3 {
				crash(registry, upstream, float64(upstream), false, bad, other)
			}
		},
		"answered until it was poisoned": func(registry *poison.Registry) {
			registry.RecordAnswer([]prompt.PartHash{tenant, bad}, after(-0.1))
			for upstream := range 5 {
				crash(registry, upstream, float64(upstream), true, tenant, bad)
				registry.RecordAnswer([]prompt.PartHash{tenant}, after(float64(upstream)+0.1))
			}
		},
		"three crashes long after it was answered": func(registry *poison.Registry) {
			registry.RecordAnswer([]prompt.PartHash{bad}, after(-6))
			for upstream := range 3 {
				crash(registry, upstream, float64(upstream), true, bad)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			registry := poison.New(poison.Config{})
			play(registry)
			quicktest.Check(t, rejected(registry, 5, bad, tenant), quicktest.IsTrue)
			quicktest.Check(t, rejected(registry, 200, bad, tenant), quicktest.IsTrue)
		})
	}
}

// Guards against probes by every router, and against a quarantine that never ends or ends while the part still crashes upstreams.
func TestQuarantineEndsWithProbes(t *testing.T) {
	const end = 2 + 5*60
	owner := poison.New(poison.Config{})
	follower := poison.New(poison.Config{Owns: func(prompt.PartHash) bool { return false }})
	for upstream := range 3 {
		crash(owner, upstream, float64(upstream), true, bad)
	}
	follower.Merge(owner.Reports(after(2.1)), after(2.1))
	quicktest.Check(t, rejected(owner, end-1, bad), quicktest.IsTrue)
	started := poison.New(poison.Config{})
	started.Merge(owner.Reports(after(end-10)), after(end-10))
	quicktest.Check(t, rejected(started, end-9, bad), quicktest.IsTrue)
	quicktest.Check(t, rejected(follower, end+1, bad), quicktest.IsTrue)
	quarantine, isRejected := owner.Check([]prompt.PartHash{bad}, after(end+1))
	quicktest.Check(t, isRejected, quicktest.IsFalse)
	quicktest.Check(t, quarantine.Probe, quicktest.IsTrue)
	quicktest.Check(t, rejected(owner, end+2, bad), quicktest.IsTrue)
	crash(owner, 3, end+3, true, bad)
	quicktest.Check(t, rejected(owner, end+9*60, bad), quicktest.IsTrue)
	quicktest.Check(t, rejected(owner, end+10*60+4, bad), quicktest.IsFalse)
	// The second probe was answered.
	owner.RecordAnswer([]prompt.PartHash{bad}, after(end+10*60+5))
	quicktest.Check(t, rejected(owner, end+10*60+6, bad), quicktest.IsFalse)
	follower.Merge(owner.Reports(after(end+10*60+6)), after(end+10*60+6))
	quicktest.Check(t, rejected(follower, end+10*60+7, bad), quicktest.IsFalse)
}

// Guards against memory that grows with the number of parts, and against a flood of parts that pushes a poisoned one out.
func TestFloodOfPartsIsBounded(t *testing.T) {
	registry := poison.New(poison.Config{})
	for upstream := range 3 {
		crash(registry, upstream, float64(upstream), true, bad)
	}
	for part := range 20_000 {
		crash(registry, 10+part, 3+0.001*float64(part), true, prompt.PartHash(100+part))
		registry.RecordAnswer([]prompt.PartHash{prompt.PartHash(1_000_000 + part)}, after(3+0.001*float64(part)))
	}
	suspected, quarantined := registry.Counts(after(24))
	quicktest.Check(t, suspected <= 512, quicktest.IsTrue, quicktest.Commentf("%d", suspected))
	quicktest.Check(t, quarantined, quicktest.Equals, 1)
	quicktest.Check(t, rejected(registry, 24, bad), quicktest.IsTrue)
}

// Guards against a quarantine of the parts beside a poisoned one, which would name a sound part as the cause to operators and callers.
func TestOnlyThePoisonedPartIsQuarantined(t *testing.T) {
	registry := poison.New(poison.Config{})
	registry.RecordAnswer([]prompt.PartHash{tenant, companion}, after(-20))
	for upstream := range 3 {
		crash(registry, upstream, float64(upstream), true, tenant, companion, bad)
	}
	quarantine, isRejected := registry.Check([]prompt.PartHash{tenant, companion, bad}, after(3))
	quicktest.Check(t, isRejected, quicktest.IsTrue)
	quicktest.Check(t, quarantine.Part, quicktest.Equals, bad)
	_, quarantined := registry.Counts(after(3))
	quicktest.Check(t, quarantined, quicktest.Equals, 1)
}

// Guards against a quarantine that an operator cannot lift.
func TestAllowedPartsPass(t *testing.T) {
	registry := poison.New(poison.Config{})
	for upstream := range 3 {
		crash(registry, upstream, float64(upstream), true, bad)
	}
	registry.Allow([]prompt.PartHash{bad})
	quicktest.Check(t, rejected(registry, 3, bad), quicktest.IsFalse)
	registry.Allow(nil)
	quicktest.Check(t, rejected(registry, 3, bad), quicktest.IsTrue)
}
