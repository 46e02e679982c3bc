package canary

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/usage"
)

const (
	// A version is bad on a route if its rate of bad answers is far above that of the other versions at the same time. The cumulative
	// sum test (Page, "Continuous inspection schemes", Biometrika 41, 1954) compares the rate that is tolerated with the one that is
	// to be found; it restarts from 0, so that good answers of the past do not hide a version that turns bad.
	toleratedFactor = 1.5
	toleratedExtra  = 0.01
	minTolerated    = 0.02
	foundFactor     = 3.0
	foundExtra      = 0.04
	maxFound        = 0.97
	// condemnScore is the logarithm of the likelihood ratio at which the version counts as bad, 10,000 to 1.
	condemnScore = 9.2
	// doubtScore is the one above which the share of the version does not grow.
	doubtScore = condemnScore / 3
	// trustScore is the logarithm of the likelihood ratio below which the version counts as good, 1 to 20 (Wald, "Sequential tests of
	// statistical hypotheses", Annals of Mathematical Statistics 16, 1945), and minTrust the lowest value that is kept.
	trustScore = -3.0
	minTrust   = -4.0
	// trustedFactor is how far the rate over the whole roll-out may be above the one that is tolerated.
	trustedFactor = 1.5
	// A version that is bad more rarely than the test finds is found over the whole roll-out, by the score interval for a rate (Wilson,
	// "Probable inference", JASA 22, 1927) at boundDeviations standard deviations, from minBoundBad bad answers on. It is found before
	// it gave 50 of them.
	boundDeviations = 4.0
	minBoundBad     = 10.0
	// minOldAnswers is the number of answers of the other versions without which nothing can be compared.
	minOldAnswers = 10.0
	// rateWindow and shortWindow are the time constants of the rate of the other versions; the higher rate counts, because a fault that
	// has just begun at all versions is seen in the short one first. While the others get no requests, their last rate counts.
	rateWindow  = 8 * time.Second
	shortWindow = time.Second
	// One upstream is told from the version once the others should have given minPeerBad bad answers, and gave as few as tolerated. By
	// chance that happens once in twenty times. The upstream itself must have given minWorstBad.
	minPeerBad  = 3.0
	minWorstBad = 2.5
)

// Count counts the answers of the target and of the other versions on one route.
type Count struct {
	Answers, Bad       uint32
	OldAnswers, OldBad uint32
}

func (count Count) plus(other Count) Count {
	return Count{
		Answers: count.Answers + other.Answers, Bad: count.Bad + other.Bad,
		OldAnswers: count.OldAnswers + other.OldAnswers, OldBad: count.OldBad + other.OldBad,
	}
}

// minus takes the part of a router off a sum.
func (count Count) minus(other Count) Count {
	return Count{
		Answers: count.Answers - other.Answers, Bad: count.Bad - other.Bad,
		OldAnswers: count.OldAnswers - other.OldAnswers, OldBad: count.OldBad - other.OldBad,
	}
}

// since returns what was added to an earlier count. A sum that fell, because a router left it, says nothing.
func (count Count) since(earlier Count) Count {
	if count.Answers < earlier.Answers || count.Bad < earlier.Bad || count.OldAnswers < earlier.OldAnswers || count.OldBad < earlier.OldBad {
		return Count{}
	}
	return Count{
		Answers: count.Answers - earlier.Answers, Bad: count.Bad - earlier.Bad,
		OldAnswers: count.OldAnswers - earlier.OldAnswers, OldBad: count.OldBad - earlier.OldBad,
	}
}

// routeEvidence is what all routers found on one route.
type routeEvidence struct {
	score, trust       float64
	answers, bad       float64
	oldAnswers, oldBad float64
	recent, last       rate
}

// rate is the part of the answers that was bad, the older ones with less weight.
type rate struct{ answers, bad usage.DecayingSum }

func newRate(window time.Duration) rate {
	return rate{answers: usage.NewDecayingSum(window), bad: usage.NewDecayingSum(window)}
}

func (rate *rate) add(count Count, now time.Time) {
	rate.answers.Add(float64(count.OldAnswers), now)
	rate.bad.Add(float64(count.OldBad), now)
}

func (rate *rate) at(now time.Time) float64 {
	return rate.bad.Tokens(now) / max(rate.answers.Tokens(now), math.SmallestNonzeroFloat64)
}

func newRouteEvidence() *routeEvidence {
	return &routeEvidence{recent: newRate(rateWindow), last: newRate(shortWindow)}
}

// add adds what was counted since the last call.
func (evidence *routeEvidence) add(count Count, now time.Time) {
	if count.OldAnswers > 0 {
		evidence.oldAnswers += float64(count.OldAnswers)
		evidence.oldBad += float64(count.OldBad)
		evidence.recent.add(count, now)
		evidence.last.add(count, now)
	}
	evidence.answers += float64(count.Answers)
	evidence.bad += float64(count.Bad)
	if evidence.oldAnswers < minOldAnswers {
		return
	}
	tolerated := evidence.tolerated(now)
	found := min(foundFactor*tolerated+foundExtra, maxFound)
	if found <= tolerated {
		return
	}
	good := float64(count.Answers) - float64(count.Bad)
	added := float64(count.Bad)*math.Log(found/tolerated) + good*math.Log((1-found)/(1-tolerated))
	evidence.score = max(0, evidence.score+added)
	evidence.trust = min(max(minTrust, evidence.trust+added), 0)
}

// tolerated returns the rate of bad answers up to which the version is no worse than the others.
func (evidence *routeEvidence) tolerated(now time.Time) float64 {
	return max(minTolerated, toleratedFactor*max(evidence.recent.at(now), evidence.last.at(now))+toleratedExtra)
}

// condemned reports whether the version is bad on the route.
func (evidence *routeEvidence) condemned() bool {
	if evidence.score >= condemnScore {
		return true
	}
	if evidence.bad < minBoundBad || evidence.oldAnswers < minOldAnswers {
		return false
	}
	low, _ := rateBounds(evidence.bad, evidence.answers)
	_, high := rateBounds(evidence.oldBad, evidence.oldAnswers)
	return low > max(high, toleratedExtra)
}

// trusted reports whether the version is no worse than the others, in the last answers and in all.
func (evidence *routeEvidence) trusted() bool {
	old := evidence.oldBad / max(evidence.oldAnswers, 1)
	return evidence.trust <= trustScore &&
		evidence.bad <= trustedFactor*max(minTolerated, toleratedFactor*old+toleratedExtra)*evidence.answers
}

// rateBounds returns the score interval of a rate.
func rateBounds(bad, answers float64) (low, high float64) {
	const squared = boundDeviations * boundDeviations
	rate := bad / answers
	middle := (rate + squared/(2*answers)) / (1 + squared/answers)
	half := boundDeviations / (1 + squared/answers) * math.Sqrt(rate*(1-rate)/answers+squared/(4*answers*answers))
	return middle - half, middle + half
}

// UpstreamCount counts the answers of one upstream of the target, older ones with less weight.
type UpstreamCount struct{ Answers, Bad float64 }

// oneUpstream reports whether the bad answers are those of one upstream of several, whose fault is not that of the version.
func oneUpstream(counts map[uint32]UpstreamCount, tolerated float64) bool {
	var all, worst UpstreamCount
	for upstream, count := range counts {
		all.Answers += count.Answers
		all.Bad += count.Bad
		if upstream != otherUpstreams && count.Bad > worst.Bad {
			worst = count
		}
	}
	others := all.Answers - worst.Answers
	return worst.Bad >= minWorstBad && all.Bad/all.Answers*others >= minPeerBad && all.Bad-worst.Bad <= tolerated*others
}
