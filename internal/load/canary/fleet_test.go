package canary_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	tick      = 50 * time.Millisecond
	heartbeat = 4 // ticks
)

// answer says how an upstream answers a request: how long it takes, and whether it fails.
type answer func(fleet *fleet, version, route string, upstream int) (time.Duration, bool)

// fleet is a set of registries that exchange reports and keep decisions in a log, in virtual time.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	routers   []*router
	decisions []canary.Decision
	log       []string
	storeDown bool
	// requests is the number of requests of the service in a second, answers how its upstreams answer, and targets their number.
	requests float64
	answers  answer
	targets  int
	order    canary.Order
	ordered  time.Time
	// total and target count the requests since the order, bad the bad answers of the target, and late the requests at it that were
	// sent later than the last of the 50 bad answers that the fleet may see, by how much.
	total, target, bad, late int
	fiftieth                 time.Time
	lateBy                   time.Duration
	lastTarget               time.Duration
	targetRate               float64
	// unsafe counts requests at the old version while the store says that it has ended.
	unsafe int
}

type router struct {
	fleet    *fleet
	number   int
	registry *canary.Registry
	running  map[string]int
	ending   []ending
	seen     int
	// cut is set while no other router is heard, noStore while the store is not reached.
	cut, noStore bool
}

type ending struct {
	at       time.Time
	version  string
	observer board.Observer
	result   board.Result
}

func newFleet(routers int, requests float64, answers answer) *fleet {
	built := &fleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, uint64(routers))), requests: requests, answers: answers, targets: 3}
	for number := range routers {
		built.routers = append(built.routers, built.newRouter(number))
	}
	return built
}

func (fleet *fleet) newRouter(number int) *router {
	added := &router{fleet: fleet, number: number, running: map[string]int{}}
	added.registry = canary.New(canary.Config{
		Random: fleet.random.Float64,
		Loads: func(table.Service) map[string]board.VersionLoad {
			return map[string]board.VersionLoad{"v1": {Upstreams: 3, Running: added.running["v1"]}, "v2": {Upstreams: fleet.targets, Running: added.running["v2"]}}
		},
	})
	return added
}

// start orders the version v2.
func (fleet *fleet) start(period time.Duration) {
	fleet.order = canary.Order{Service: "s", Target: "v2", Period: period, Offset: 7}
	fleet.ordered = fleet.now
	for _, router := range fleet.routers {
		router.registry.Order(fleet.order, false, fleet.now)
	}
}

// restart replaces a router by one that knows nothing; requests that it had sent go on.
func (fleet *fleet) restart(number int) {
	fleet.routers[number] = fleet.newRouter(number)
	fleet.routers[number].registry.Order(fleet.order, true, fleet.now)
}

func (fleet *fleet) decision() canary.Decision {
	if len(fleet.decisions) == 0 {
		return canary.Decision{}
	}
	return fleet.decisions[len(fleet.decisions)-1]
}

// run lets the fleet serve for a duration, or until the roll-out has a result.
func (fleet *fleet) run(duration time.Duration, each func()) time.Duration {
	return fleet.serve(duration, each, func() bool { return fleet.decision().Final() })
}

// runOn lets the fleet serve for a duration, whether or not the roll-out has a result.
func (fleet *fleet) runOn(duration time.Duration, each func()) {
	fleet.serve(duration, each, func() bool { return false })
}

func (fleet *fleet) serve(duration time.Duration, each func(), ended func() bool) time.Duration {
	start := fleet.now
	for step := 0; fleet.now.Sub(start) < duration && !ended(); step++ {
		if each != nil {
			each()
		}
		for _, router := range fleet.routers {
			router.step(step)
		}
		fleet.now = fleet.now.Add(tick)
	}
	return fleet.now.Sub(start)
}

func (router *router) step(step int) {
	fleet := router.fleet
	router.ending = slices.DeleteFunc(router.ending, func(ended ending) bool {
		if ended.at.After(fleet.now) {
			return false
		}
		router.running[ended.version]--
		if ended.observer != nil {
			ended.observer.End(ended.result, fleet.now)
		}
		return true
	})
	if !router.noStore && !fleet.storeDown {
		for ; router.seen < len(fleet.decisions); router.seen++ {
			router.registry.Decide(fleet.decisions[router.seen], fleet.now)
		}
		router.registry.SetKnown(fleet.now)
	}
	rate := fleet.requests * tick.Seconds() / float64(len(fleet.routers))
	for count := rate; count > fleet.random.Float64(); count-- {
		router.send()
	}
	if step%heartbeat == router.number%heartbeat {
		router.exchange()
	}
}

// exchange tells the others of this router and stores the steps that are due.
func (router *router) exchange() {
	fleet := router.fleet
	source := usage.Source{Instance: clementinewind.Instance(fmt.Sprint(router.number)), Zone: "a"}
	reports := router.registry.Reports(fleet.now)
	alive := 0
	for _, other := range fleet.routers {
		if other == router || (!router.cut && !other.cut) {
			alive++
			other.registry.Merge(source, reports, fleet.now)
		}
	}
	for _, proposal := range router.registry.Proposals(canary.Fleet{Alive: alive, Known: len(fleet.routers)}, fleet.now) {
		if (router.number == 0 || router.cut || proposal.Overdue) && !router.noStore && !fleet.storeDown && proposal.Decision.Follows(fleet.decision()) {
			fleet.decisions = append(fleet.decisions, proposal.Decision)
			fleet.log = append(fleet.log, fmt.Sprintf("%v %v: %s", fleet.now.Sub(fleet.ordered), proposal.Decision.Stage, proposal.Cause))
		}
	}
}

// send places a request, as relay does.
func (router *router) send() {
	fleet := router.fleet
	version := ""
	choices := router.registry.Choices("s", false, fleet.now)
	if choices == nil {
		choices = []func(string) bool{func(string) bool { return true }}
	}
	for _, allowed := range choices {
		for _, candidate := range []string{"v1", "v2"} {
			if version == "" && allowed(candidate) {
				version = candidate
			}
		}
	}
	if version == "" {
		return
	}
	route, upstream := []string{"draft", "chat"}[fleet.random.IntN(2)], fleet.random.IntN(3)
	took, failed := fleet.answers(fleet, version, route, upstream)
	result := board.ResultServed
	if failed {
		result = board.ResultFailed
	}
	observer := router.registry.Record(canary.Sent{Route: route, Entry: table.Entry{
		Upstream: clementinewind.Upstream(fmt.Sprintf("%s-%d", version, upstream)), Service: "s", Version: version,
	}}, fleet.now)
	fleet.count(version, failed || took > 200*time.Millisecond)
	if observer != nil {
		observer.FirstEvent(fleet.now.Add(took))
	}
	router.running[version]++
	router.ending = append(router.ending, ending{at: fleet.now.Add(took), version: version, observer: observer, result: result})
}

// count counts a request since the order.
func (fleet *fleet) count(version string, bad bool) {
	if fleet.ordered.IsZero() {
		return
	}
	fleet.total++
	fleet.targetRate *= 0.99
	if version == "v1" {
		if slices.Contains(fleet.decision().Barred, "v1") {
			fleet.unsafe++
		}
		return
	}
	fleet.target++
	fleet.targetRate += 0.01
	fleet.lastTarget = fleet.now.Sub(fleet.ordered)
	if !fleet.fiftieth.IsZero() {
		fleet.late++
		fleet.lateBy = fleet.now.Sub(fleet.fiftieth)
	}
	if bad {
		if fleet.bad++; fleet.bad == 50 {
			fleet.fiftieth = fleet.now
		}
	}
}
