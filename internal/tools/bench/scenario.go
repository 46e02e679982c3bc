package bench

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/share/admit"
)

// Scenario names the load or fault whose effect a run measures.
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

// RecoveryTime is how long after a fault the gap may exceed its bound: session expiry, the wait of a new owner, and the
// time until the requests have ended that routers granted without knowing each other's grants.
const RecoveryTime = 15 * time.Second

func (scenario Scenario) load(index int) float64 {
	return loads[index]
}

// settlingTime returns how long after the start of the scenario the gap may exceed its bound.
func (scenario Scenario) settlingTime() time.Duration {
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

// prepare sets up the scenario before the warm-up.
func (fleet *fleet) prepare() {
	if fleet.config.Scenario == ZoneReturn {
		fleet.removeZone()
	}
}

func (fleet *fleet) removeZone() {
	fleet.removedZone = 0
	for _, engine := range fleet.engines {
		if engine.zone == fleet.removedZone {
			engine.leftAt = time.Now()
		}
	}
	for _, router := range fleet.routers {
		if router.zone == fleet.removedZone && !fleet.central() {
			router.draining = true
		}
	}
}

// startFault starts the fault of the scenario.
func (fleet *fleet) startFault() {
	switch fleet.config.Scenario {
	case Steady:
	case Flood:
		flooder := fleet.organisations[len(fleet.organisations)-1]
		sum := 0.0
		for _, weight := range weights {
			sum += weight
		}
		fleet.scheduleArrivals(flooder, func() float64 { return 100 * flooder.weight / sum })
	case ColdStart:
		fleet.makeEnginesCold()
	case ZoneLeave:
		fleet.removeZone()
		fleet.refreshViews(nil)
	case ZoneReturn:
		fleet.removedZone = noZone
		for _, engine := range fleet.engines {
			if !engine.leftAt.IsZero() {
				engine.leftAt = time.Time{}
				engine.restart(true)
			}
		}
		for _, router := range fleet.routers {
			router.draining = false
		}
		fleet.refreshViews(nil)
	case RouterLoss:
		if !fleet.central() {
			fleet.kill(fleet.routers[1])
		}
	case Partition:
		if !fleet.central() {
			fleet.isolate(fleet.routers[1])
		}
	case StoreDown:
		fleet.logDown = true
		fleet.after(faultTime/2, func() { fleet.engines[0].restart(true) })
		fleet.after(faultTime, func() { fleet.logDown = false })
	}
}

// makeEnginesCold makes three engines cold: with resets, with silent connections, and by the loss of the cache only.
func (fleet *fleet) makeEnginesCold() {
	fleet.engines[0].restart(true)
	fleet.after(time.Second, func() { fleet.engines[1].restart(false) })
	fleet.after(2*time.Second, func() { fleet.engines[2].loseCache() })
}

// kill stops a router without notice. Its queued requests go to other routers, and the next owners resume the answers
// that it owned.
func (fleet *fleet) kill(router *router) {
	router.dead = true
	for _, job := range sortedJobs(router.jobs) {
		if job.waiting {
			job.setWaiting(false)
			job.epoch++
			job.attempt++
			fleet.after(callerRetryDelay, func() { fleet.submit(job, fleet.pickRouter(job.organisation, 0)) })
		}
	}
	fleet.orphanJobs(router)
	fleet.after(sessionExpiryTime, func() { fleet.refreshViews(router) })
}

// orphanJobs lets the answers of a lost owner continue: the engine keeps running them, and the entry routers resume them
// through the next owner, which learns of them from the engine's load report.
func (fleet *fleet) orphanJobs(owner *router) {
	for _, job := range sortedJobs(owner.ownedJobs) {
		router, finish := job.router, job.finish
		job.firstToken, job.reportProgress = nil, nil
		job.orphaned = true
		job.finish = func(result admit.Result) {
			if !router.dead {
				finish(result)
			}
		}
	}
}

// isolate partitions a router from all others and from the log for faultTime.
func (fleet *fleet) isolate(router *router) {
	router.isolatedAt = time.Now()
	fleet.after(sessionExpiryTime, func() { fleet.refreshViews(router) })
	fleet.after(faultTime, func() {
		router.isolatedAt = time.Time{}
		router.stale = true
		for _, other := range fleet.routers {
			if other != router {
				other.owner.Connected(router.session)
				other.entry.Connected(router.session)
				router.owner.Connected(other.session)
				router.entry.Connected(other.session)
			}
		}
		fleet.refreshViews(nil)
	})
}
