package bench

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/share/admit"
)

// Scenario is a course of events that is measured.
type Scenario string

// The scenarios.
const (
	Steady     Scenario = "Steady"
	Flood      Scenario = "Flood"
	ColdStart  Scenario = "ColdStart"
	ZoneLeave  Scenario = "ZoneLeave"
	ZoneReturn Scenario = "ZoneReturn"
	RouterLoss Scenario = "RouterLoss"
	Partition  Scenario = "Partition"
	StoreDown  Scenario = "StoreDown"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, Flood, ColdStart, ZoneLeave, ZoneReturn, RouterLoss, Partition, StoreDown}

// faultTime is how long the fault of a scenario lasts, where it has a length.
const faultTime = 20 * time.Second

// RecoveryTime is how long after a fault ends the bound on the gap may be exceeded: expiry, owner wait and the time to
// work off what the routers granted without knowledge of each other.
const RecoveryTime = 15 * time.Second

func (scenario Scenario) load(index int) float64 {
	return loads[index]
}

// unsettled returns how long after its start the scenario is outside the bound.
func (scenario Scenario) unsettled() time.Duration {
	switch scenario {
	case Steady:
		return 0
	case Flood:
		return 0
	case Partition, StoreDown:
		return faultTime + RecoveryTime
	default:
		return RecoveryTime
	}
}

// prepare sets the state before the warm-up.
func (fleet *fleet) prepare() {
	if fleet.config.Scenario == ZoneReturn {
		fleet.takeOut()
	}
}

func (fleet *fleet) takeOut() {
	fleet.outZone = 0
	for _, engine := range fleet.engines {
		if engine.zone == fleet.outZone {
			engine.leftAt = time.Now()
		}
	}
	for _, router := range fleet.routers {
		if router.zone == fleet.outZone && !fleet.central() {
			router.draining = true
		}
	}
}

// strike begins the fault of the scenario.
func (fleet *fleet) strike() {
	switch fleet.config.Scenario {
	case Steady:
	case Flood:
		flooder := fleet.organisations[len(fleet.organisations)-1]
		sum := 0.0
		for _, weight := range weights {
			sum += weight
		}
		fleet.arrivals(flooder, func() float64 { return 100 * flooder.weight / sum })
	case ColdStart:
		fleet.coldStarts()
	case ZoneLeave:
		fleet.takeOut()
		fleet.refresh(nil)
	case ZoneReturn:
		fleet.outZone = noZone
		for _, engine := range fleet.engines {
			if !engine.leftAt.IsZero() {
				engine.leftAt = time.Time{}
				engine.restart(true)
			}
		}
		for _, router := range fleet.routers {
			router.draining = false
		}
		fleet.refresh(nil)
	case RouterLoss:
		if !fleet.central() {
			fleet.kill(fleet.routers[1])
		}
	case Partition:
		if !fleet.central() {
			fleet.cut(fleet.routers[1])
		}
	case StoreDown:
		fleet.logDown = true
		fleet.after(faultTime/2, func() { fleet.engines[0].restart(true) })
		fleet.after(faultTime, func() { fleet.logDown = false })
	}
}

// coldStarts makes engines cold in three ways: with resets, silently, and by the loss of the cache only.
func (fleet *fleet) coldStarts() {
	fleet.engines[0].restart(true)
	fleet.after(time.Second, func() { fleet.engines[1].restart(false) })
	fleet.after(2*time.Second, func() { fleet.engines[2].loseCache() })
}

// kill ends a router without notice. Its callers turn to other routers, and answers in progress are resumed there.
func (fleet *fleet) kill(router *router) {
	router.dead = true
	for _, job := range sortedJobs(router.jobs) {
		if job.waiting {
			job.wait(false)
			job.epoch++
			job.attempt++
			fleet.after(callerRetry, func() { fleet.submit(job, fleet.pick(job.organisation, 0)) })
		}
	}
	fleet.orphan(router)
	fleet.after(expiryTime, func() { fleet.refresh(router) })
}

// orphan lets the answers of an owner continue without it: the engine keeps running them, and the entry routers resume
// them through the next owner, which learns of them by the engine's load report.
func (fleet *fleet) orphan(owner *router) {
	for _, job := range sortedJobs(owner.slots) {
		router, finish := job.router, job.finish
		job.first, job.touch = nil, nil
		job.orphan = true
		job.finish = func(result admit.Result) {
			if !router.dead {
				finish(result)
			}
		}
	}
}

// cut separates a router from all others and from the log for a time.
func (fleet *fleet) cut(router *router) {
	router.cutAt = time.Now()
	fleet.after(expiryTime, func() { fleet.refresh(router) })
	fleet.after(faultTime, func() {
		router.cutAt = time.Time{}
		router.stale = true
		for _, other := range fleet.routers {
			if other != router {
				other.owner.Connected(router.session)
				other.entry.Connected(router.session)
				router.owner.Connected(other.session)
				router.entry.Connected(other.session)
			}
		}
		fleet.refresh(nil)
	})
}
