package bench

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
)

// Result holds the figures of a run.
type Result struct {
	// Gap is the largest difference of normalised service, outside faults and their recovery, in tokens per unit of weight.
	Gap float64
	// FaultGap is the same over the whole measured time.
	FaultGap    float64
	Utilisation float64
	// ServedShare is the service in the fault window over what the engines in service could carry.
	ServedShare float64
	Starved     int
	Control     float64
	Overloads   int
	LateSends   int
	Cut         int
	Completed   int
	Refused     int
	// Bound is the bound on the gap for this run.
	Bound float64
}

// gauge samples the service of all organisations.
type gauge struct {
	fleet *fleet
	// open says that the gap counts, outside faults.
	open   bool
	pairs  [][]pair
	hungry []hunger
	// total and possible are integrals of tokens served and tokens that the engines in service could serve.
	possible      float64
	faultPossible float64
	faultServed   float64
	faultWindow   bool
	lastServed    float64
	started       float64
	// density is the largest number of answers in progress per unit of weight of a backlogged organisation.
	density float64
}

type pair struct {
	low, high float64
	joint     bool
}

// hunger tracks the service of an organisation while it is backlogged.
type hunger struct {
	since   time.Time
	service float64
	starved bool
}

func newGauge(fleet *fleet) *gauge {
	count := len(fleet.organisations)
	gauge := &gauge{fleet: fleet, hungry: make([]hunger, count), pairs: make([][]pair, count)}
	for index := range gauge.pairs {
		gauge.pairs[index] = make([]pair, count)
	}
	return gauge
}

func (gauge *gauge) served() float64 {
	sum := 0.0
	for _, organisation := range gauge.fleet.organisations {
		organisation.settle()
		sum += organisation.service
	}
	return sum
}

// reset starts new intervals, so that no interval spans a fault.
func (gauge *gauge) reset() {
	for _, row := range gauge.pairs {
		clear(row)
	}
}

func (gauge *gauge) sample() {
	fleet := gauge.fleet
	served := gauge.served()
	delta := served - gauge.lastServed
	gauge.lastServed = served
	if !fleet.measuring {
		return
	}
	possible := 0.0
	for _, engine := range fleet.engines {
		if engine.leftAt.IsZero() {
			possible += float64(engine.carries()) * tokenRate * sampleTime.Seconds()
		}
	}
	gauge.possible += possible
	if gauge.faultWindow {
		gauge.faultPossible += possible
		gauge.faultServed += delta
	}
	gauge.sampleGap()
	gauge.sampleHunger(possible / sampleTime.Seconds())
}

func (gauge *gauge) sampleGap() {
	result := &gauge.fleet.result
	for i, a := range gauge.fleet.organisations {
		if a.waiting > 0 {
			gauge.density = max(gauge.density, float64(a.decoding)/a.weight)
		}
		for j, b := range gauge.fleet.organisations[:i] {
			entry := &gauge.pairs[i][j]
			if a.waiting == 0 || b.waiting == 0 {
				entry.joint = false
				continue
			}
			difference := a.service/a.weight - b.service/b.weight
			if !entry.joint {
				*entry = pair{low: difference, high: difference, joint: true}
			}
			entry.low = min(entry.low, difference)
			entry.high = max(entry.high, difference)
			result.FaultGap = max(result.FaultGap, entry.high-entry.low)
			if gauge.open {
				result.Gap = max(result.Gap, entry.high-entry.low)
			}
		}
	}
}

// sampleHunger counts organisations that are backlogged for starvedTime and get less than a tenth of their share.
func (gauge *gauge) sampleHunger(capacity float64) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for index, organisation := range gauge.fleet.organisations {
		state := &gauge.hungry[index]
		if organisation.waiting == 0 {
			state.since = time.Time{}
			continue
		}
		if state.since.IsZero() {
			state.since, state.service = time.Now(), organisation.service
		}
		if time.Since(state.since) < starvedTime {
			continue
		}
		share := capacity * organisation.weight / sum * starvedTime.Seconds()
		if organisation.service-state.service < share/10 && !state.starved {
			state.starved = true
			gauge.fleet.result.Starved++
		}
		state.since, state.service = time.Now(), organisation.service
	}
}

// bound returns the bound on the gap outside faults, in tokens per unit of weight. docs/measures.md derives it.
func (gauge *gauge) bound() float64 {
	routers, engines := float64(len(gauge.fleet.routers)), float64(len(gauge.fleet.engines))
	order := sched.DefaultDamping * averageLimit * (gauge.density + engines)
	inProgress := gauge.density * costMax
	unknown := fair.DefaultQuantum*(routers+1) + gauge.density*tokenRate*exchangeTime.Seconds()
	return 2 * (order + inProgress + unknown)
}

// Run simulates one run. It must be called in a synctest bubble.
func Run(config Config) Result {
	fleet := newFleet(config)
	fleet.prepare()
	fleet.start()
	fleet.run(config.Warmup)
	fleet.result = Result{}
	fleet.measuring = true
	gauge := fleet.gauge
	gauge.open = true
	gauge.started = gauge.served()
	fleet.run(config.Duration / 4)
	if unsettled := config.Scenario.unsettled(); unsettled > 0 {
		gauge.open = false
		fleet.after(unsettled, func() {
			gauge.reset()
			gauge.open = true
		})
	}
	gauge.faultWindow = true
	fleet.after(config.Duration/2, func() { gauge.faultWindow = false })
	fleet.strike()
	fleet.run(config.Duration * 3 / 4)
	result := fleet.result
	result.Utilisation = (gauge.served() - gauge.started) / max(gauge.possible, 1)
	result.ServedShare = gauge.faultServed / max(gauge.faultPossible, 1)
	result.Control = float64(fleet.bytes) / float64(len(fleet.routers)) / config.Duration.Seconds()
	result.Bound = gauge.bound()
	return result
}
