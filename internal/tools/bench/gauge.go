package bench

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
)

// Result holds the measurements of a run.
type Result struct {
	// Gap is the largest difference of normalised service, outside faults and their recovery, in tokens per unit of weight.
	Gap float64
	// FaultGap is the same over the whole measured time, faults included.
	FaultGap    float64
	Utilisation float64
	// ServedShare is the fraction of the capacity of the engines in service that was used in the fault window.
	ServedShare           float64
	StarvedOrganisations  int
	ControlBytesPerSecond float64
	Overloads             int
	LateSends             int
	CutAnswers            int
	Completed             int
	Refused               int
	// Bound is the bound on the gap for this run.
	Bound float64
}

// sampler periodically samples the service of all organisations.
type sampler struct {
	fleet *fleet
	// boundApplies says that the gap counts towards Result.Gap: no fault or recovery is in progress.
	boundApplies bool
	pairs        [][]gapRange
	backlogs     []backlogState
	// possibleTokens is what the engines in service could have served so far. faultPossibleTokens and faultServedTokens
	// count the fault window only.
	possibleTokens      float64
	faultPossibleTokens float64
	faultServedTokens   float64
	faultWindow         bool
	lastServed          float64
	servedAtStart       float64
	// maxAnswersPerWeight is the largest number of answers in progress per unit of weight of a backlogged organisation.
	maxAnswersPerWeight float64
}

type gapRange struct {
	low, high      float64
	bothBacklogged bool
}

// backlogState tracks the service of an organisation while it is backlogged.
type backlogState struct {
	since   time.Time
	service float64
	starved bool
}

func newSampler(fleet *fleet) *sampler {
	count := len(fleet.organisations)
	sampler := &sampler{fleet: fleet, backlogs: make([]backlogState, count), pairs: make([][]gapRange, count)}
	for index := range sampler.pairs {
		sampler.pairs[index] = make([]gapRange, count)
	}
	return sampler
}

func (sampler *sampler) served() float64 {
	sum := 0.0
	for _, organisation := range sampler.fleet.organisations {
		organisation.settle()
		sum += organisation.service
	}
	return sum
}

// reset starts new intervals for the gap, so that none spans a fault.
func (sampler *sampler) reset() {
	for _, row := range sampler.pairs {
		clear(row)
	}
}

func (sampler *sampler) sample() {
	fleet := sampler.fleet
	served := sampler.served()
	delta := served - sampler.lastServed
	sampler.lastServed = served
	if !fleet.measuring {
		return
	}
	possible := 0.0
	for _, engine := range fleet.engines {
		if engine.leftAt.IsZero() {
			possible += float64(engine.capacity()) * tokensPerSecond * sampleInterval.Seconds()
		}
	}
	sampler.possibleTokens += possible
	if sampler.faultWindow {
		sampler.faultPossibleTokens += possible
		sampler.faultServedTokens += delta
	}
	sampler.sampleGap()
	sampler.sampleStarvation(possible / sampleInterval.Seconds())
}

func (sampler *sampler) sampleGap() {
	result := &sampler.fleet.result
	for i, a := range sampler.fleet.organisations {
		if a.waiting > 0 {
			sampler.maxAnswersPerWeight = max(sampler.maxAnswersPerWeight, float64(a.decoding)/a.weight)
		}
		for j, b := range sampler.fleet.organisations[:i] {
			entry := &sampler.pairs[i][j]
			if a.waiting == 0 || b.waiting == 0 {
				entry.bothBacklogged = false
				continue
			}
			difference := a.service/a.weight - b.service/b.weight
			if !entry.bothBacklogged {
				*entry = gapRange{low: difference, high: difference, bothBacklogged: true}
			}
			entry.low = min(entry.low, difference)
			entry.high = max(entry.high, difference)
			result.FaultGap = max(result.FaultGap, entry.high-entry.low)
			if sampler.boundApplies {
				result.Gap = max(result.Gap, entry.high-entry.low)
			}
		}
	}
}

// sampleStarvation counts organisations that are backlogged for starvationWindow and get less than a tenth of their
// share.
func (sampler *sampler) sampleStarvation(capacity float64) {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for index, organisation := range sampler.fleet.organisations {
		state := &sampler.backlogs[index]
		if organisation.waiting == 0 {
			state.since = time.Time{}
			continue
		}
		if state.since.IsZero() {
			state.since, state.service = time.Now(), organisation.service
		}
		if time.Since(state.since) < starvationWindow {
			continue
		}
		share := capacity * organisation.weight / sum * starvationWindow.Seconds()
		if organisation.service-state.service < share/10 && !state.starved {
			state.starved = true
			sampler.fleet.result.StarvedOrganisations++
		}
		state.since, state.service = time.Now(), organisation.service
	}
}

// bound returns the bound on the gap outside faults, in tokens per unit of weight. docs/measures.md derives it.
func (sampler *sampler) bound() float64 {
	routers, engines := float64(len(sampler.fleet.routers)), float64(len(sampler.fleet.engines))
	ordering := sched.DefaultDamping * averageLimit * (sampler.maxAnswersPerWeight + engines)
	inProgress := sampler.maxAnswersPerWeight * costMax
	unreported := fair.DefaultQuantum*(routers+1) + sampler.maxAnswersPerWeight*tokensPerSecond*exchangeTime.Seconds()
	return 2 * (ordering + inProgress + unreported)
}

// Run simulates one run. It must be called in a testing/synctest bubble.
func Run(config Config) Result {
	fleet := newFleet(config)
	fleet.prepare()
	fleet.start()
	fleet.run(config.Warmup)
	fleet.result = Result{}
	fleet.measuring = true
	sampler := fleet.sampler
	sampler.boundApplies = true
	sampler.servedAtStart = sampler.served()
	fleet.run(config.Duration / 4)
	if settling := config.Scenario.settlingTime(); settling > 0 {
		sampler.boundApplies = false
		fleet.after(settling, func() {
			sampler.reset()
			sampler.boundApplies = true
		})
	}
	sampler.faultWindow = true
	fleet.after(config.Duration/2, func() { sampler.faultWindow = false })
	fleet.startFault()
	fleet.run(config.Duration * 3 / 4)
	result := fleet.result
	result.Utilisation = (sampler.served() - sampler.servedAtStart) / max(sampler.possibleTokens, 1)
	result.ServedShare = sampler.faultServedTokens / max(sampler.faultPossibleTokens, 1)
	result.ControlBytesPerSecond = float64(fleet.controlBytes) / float64(len(fleet.routers)) / config.Duration.Seconds()
	result.Bound = sampler.bound()
	return result
}
