package board

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/pick"
)

const (
	// paceTTL is the age at which the pace that an upstream reported says nothing any more. The pace of a machine that is shared
	// with others lasts for a few tenths of a second.
	paceTTL = 600 * time.Millisecond
	// factTTL is the age at which the requests that an upstream reported say nothing any more.
	factTTL = time.Second
	// stayFactor is the time in which the reported number of requests is expected to change, in multiples of the time for which
	// a request is there.
	stayFactor = 2
	// temperatureSlots is the temperature of the choice in multiples of the time in which an upstream frees a slot. With 0 the
	// routers that decide within one interval of reports meet at the same upstream; with 4 choices ignore the load too often when
	// reports are lost.
	temperatureSlots = 3
	// maxTemperatureDivisor divides the time for which a request is there; the quotient is the highest temperature. With few slots a place
	// in the queue is a clear difference.
	maxTemperatureDivisor = 2
	// minStay is the shortest time in which the reported number of requests is expected to change.
	minStay = time.Millisecond
	// minCorrection is the difference from the mean pace from which a choice counts as corrected by a report.
	minCorrection = 0.1
	// factResolution is the difference in time up to which two facts may be the same one. A router gets its own facts back by way of
	// its zone, later by the time that datagrams take.
	factResolution = 10 * time.Millisecond
	// maxEvents limits the starts and ends of own requests that are remembered of an upstream. They are needed for the age of
	// the facts that other routers tell.
	maxEvents = 32
	// untoldTTL is the age up to which a fact is passed on. It takes up to two intervals of heartbeats by way of the head of a zone.
	untoldTTL = 450 * time.Millisecond
)

// Report is what an upstream says of its load.
type Report struct {
	// Running and Waiting count the requests of all routers.
	Running, Waiting int
	// Pace is how long work takes on its machine, in multiples of the usual time; 0 if it does not say.
	Pace float64
}

// Fact is a report with the time at which it was true.
type Fact struct {
	// Upstream is the hash of the upstream's name.
	Upstream uint32
	Report   Report
	At       time.Time
}

// factState is the newest report of an upstream, of whatever router, and what is needed to bring it up to date.
type factState struct {
	fact Fact
	// untold is set while the fact has not been passed on to other routers.
	untold bool
	// events are the last starts and ends of own requests, oldest first.
	events []loadEvent
	// reported is what the fact means for the placement that is being made.
	reported pick.Reported
}

// loadEvent is the start or the end of an own request.
type loadEvent struct {
	at    time.Time
	delta int
}

// recordEvent records the start or the end of an own request. Without a fact there is nothing to bring up to date.
func (factState *factState) recordEvent(delta int, now time.Time) {
	if factState == nil {
		return
	}
	if len(factState.events) >= maxEvents {
		factState.events = slices.Delete(factState.events, 0, len(factState.events)-maxEvents+1)
	}
	factState.events = append(factState.events, loadEvent{at: now, delta: delta})
}

// addedSince returns by how much the number of own requests has grown since a time.
func (factState *factState) addedSince(at time.Time) int {
	sum := 0
	for i := len(factState.events) - 1; i >= 0 && factState.events[i].at.After(at); i-- {
		sum += factState.events[i].delta
	}
	return sum
}

// recordFact keeps a fact if it is newer than the known one. It reports whether it was.
func (upstream *upstream) recordFact(fact Fact, untold bool) bool {
	if upstream.facts == nil {
		upstream.facts = &factState{}
	}
	if fact.At.Sub(upstream.facts.fact.At) <= factResolution {
		return false
	}
	upstream.facts.fact, upstream.facts.untold = fact, untold
	return true
}

// age returns the age of the fact. A placement that waits for the board may have a time before a fact that arrived meanwhile.
func (factState *factState) age(now time.Time) time.Duration {
	return max(now.Sub(factState.fact.At), 0)
}

// paceWeight returns how much of a reported pace is expected to hold still at a time.
func (factState *factState) paceWeight(now time.Time) float64 {
	if factState.fact.Report.Pace == 0 {
		return 0
	}
	return 1 - min(float64(factState.age(now))/float64(paceTTL), 1)
}

// pace returns the expected duration of work in multiples of the usual duration; mean is that of all upstreams of the service.
func (factState *factState) pace(mean float64, now time.Time) float64 {
	weight := factState.paceWeight(now)
	return weight*factState.fact.Report.Pace + (1-weight)*mean
}

// runningWeight returns how much of the reported number of requests is expected to hold still at a time. It changes within stay.
func (factState *factState) runningWeight(stay time.Duration, now time.Time) float64 {
	age := factState.age(now)
	if age >= factTTL {
		return 0
	}
	return math.Exp(-float64(age) / float64(max(stay, minStay)))
}

// applyFact corrects a candidate by what the upstream last said of its load. Nothing changes if it never said anything.
func (upstream *upstream) applyFact(candidate *pick.Candidate, estimates *serviceEstimates, now time.Time) {
	facts := upstream.facts
	if facts == nil {
		return
	}
	// The estimates of times hold at the mean pace. A change of the pace is as likely at any moment.
	facts.reported = pick.Reported{
		Slowdown: facts.pace(estimates.meanPace(), now) / estimates.meanPace(), SlowdownLeft: max(paceTTL-facts.age(now), 0) / 2,
	}
	if candidate.Slots > 0 {
		facts.reported.Temperature = min(
			temperatureSlots*candidate.ServiceTime/time.Duration(candidate.Slots), candidate.ServiceTime/maxTemperatureDivisor,
		)
	}
	candidate.Reported = &facts.reported
	// The own requests are known. Those of the others are the rest of the report while it holds, and otherwise what they told.
	ownThen := upstream.running - facts.addedSince(facts.fact.At)
	othersThen := max(facts.fact.Report.Running+facts.fact.Report.Waiting-ownThen, 0)
	weight := facts.runningWeight(stayFactor*candidate.ServiceTime, now)
	others := weight*float64(othersThen) + (1-weight)*float64(upstream.remote.Running)
	candidate.Running = upstream.running + int(math.Round(others))
}

// describeFact records by which report the upstream was chosen; running is the number of requests that is expected there.
func (ticket *Ticket) describeFact(running int, meanPace float64, now time.Time) {
	upstream := ticket.upstream
	ticket.Pace = meanPace
	if upstream.facts == nil {
		return
	}
	age := now.Sub(upstream.facts.fact.At)
	if age >= factTTL {
		return
	}
	ticket.ReportAge, ticket.Pace = max(age, 1), upstream.facts.pace(meanPace, now)
	ticket.Corrected = running != upstream.running+upstream.remote.Running || math.Abs(ticket.Pace-meanPace) >= minCorrection
}

// Report records what the answer to a request says of the load of its upstream. It reports whether the report was applied.
func (ticket *Ticket) Report(report Report, now time.Time) bool {
	ticket.board.mutex.Lock()
	defer ticket.board.mutex.Unlock()
	upstream := ticket.upstream
	if upstream.entry.Incarnation != ticket.Entry.Incarnation {
		return false
	}
	ticket.pace = report.Pace
	if !upstream.recordFact(Fact{Upstream: upstream.hash, Report: report, At: now}, true) {
		return false
	}
	ticket.board.estimatesLocked(upstream.entry.Service).addPace(report.Pace)
	return true
}

// AddFacts records facts that another router told. With passOn, TakeFacts returns them later.
func (board *Board) AddFacts(facts []Fact, passOn bool, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, fact := range facts {
		upstream, ok := board.byHash[fact.Upstream]
		if !ok || now.Sub(fact.At) >= factTTL || fact.At.After(now) {
			continue
		}
		upstream.recordFact(fact, passOn)
	}
}

// TakeFacts returns facts that were not passed on yet, at most the given number, those first that differ most from what the others
// expect.
func (board *Board) TakeFacts(most int, now time.Time) []Fact {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var untold []*upstream
	for _, upstream := range board.upstreams {
		if upstream.facts != nil && upstream.facts.untold && now.Sub(upstream.facts.fact.At) <= untoldTTL {
			untold = append(untold, upstream)
		}
	}
	slices.SortFunc(untold, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(board.newsLocked(b), board.newsLocked(a)), b.facts.fact.At.Compare(a.facts.fact.At))
	})
	var facts []Fact
	for _, upstream := range untold[:min(most, len(untold))] {
		upstream.facts.untold = false
		facts = append(facts, upstream.facts.fact)
	}
	return facts
}

// newsLocked returns how far a fact is from what a router expects that does not know it: the pace from the mean, and a queue from none.
func (board *Board) newsLocked(upstream *upstream) float64 {
	report := upstream.facts.fact.Report
	news := float64(report.Waiting) / float64(max(upstream.entry.Slots, 1))
	if report.Pace > 0 {
		news += math.Abs(report.Pace - board.estimatesLocked(upstream.entry.Service).meanPace())
	}
	return news
}
