package pick

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
)

const (
	// uncachedPrefixWeight is the penalty for shared tokens that the upstream has not cached, in multiples of their
	// prefill time. The prefill delays other requests of the upstream, and the copy evicts other prefixes from its
	// cache.
	uncachedPrefixWeight = 2.0
	// crossZoneCost is the penalty for sending a request to another availability zone: about a millisecond of network
	// latency, and traffic that is billed.
	crossZoneCost = 15 * time.Millisecond
	// runningCost is how much one more running request delays each of the others.
	runningCost = time.Millisecond
	// failureWeight is the penalty for an upstream that fails all requests, in multiples of the latency goal.
	failureWeight = 4.0
	// MinCopies is the minimum number of preferred upstreams of a prefix. Two are enough to balance the load between
	// them. With more, the prefixes of all requests exceed the cache capacity of the upstreams and evict each other.
	MinCopies = 2
	// LargePrefixTokens is the size of a prefix from which the whole of nonPreferredCost applies, and minPrefixTokens
	// the size from which a prefix has preferred upstreams. The prefill of fewer tokens takes less time than the
	// latency of an engine varies by.
	LargePrefixTokens = 1000
	minPrefixTokens   = 150
	// rankCost is the penalty for each position in the rendezvous order; it makes all routers send a new prefix to the
	// same upstream. nonPreferredCost is how much longer the wait at the preferred upstreams has to be before a large
	// prefix is sent to another upstream; for a smaller prefix it is less in proportion.
	rankCost         = 15 * time.Millisecond
	nonPreferredCost = 3000 * time.Millisecond
	// maxMemoryUse is the part of an engine's memory that is filled; beyond it the engine preempts running requests.
	maxMemoryUse = 0.9
	// maxPrefixShare is the part of an upstream's time that one prefix may take; the preferred upstreams serve other
	// prefixes too.
	maxPrefixShare = maxPrefillShare / 2
	// PrefillWindow is the time constant with which the prefill load of an engine decays. The load of other routers is
	// known with a delay of up to 0.8 s.
	PrefillWindow = 2 * time.Second
	// maxPrefillShare is the part of an engine's time that it may spend on prefill. Each step of an engine processes a
	// chunk of a prompt and generates one token of each answer, so that the answers of an engine with constant prefill
	// take ten times as long and miss their deadlines.
	maxPrefillShare = 0.7
)

// CopiesFor returns the number of preferred upstreams of a prefix whose requests, without the prefix itself, take up the
// given multiple of one upstream's time. It prevents rejections at the preferred upstreams of a popular prefix while
// others are free. The load has to be measured over seconds of placed requests: when it was derived from the lengths of
// the queues, each burst moved all prefixes.
func CopiesFor(load float64) int { return max(MinCopies, int(math.Ceil(load/maxPrefixShare))) }

// Candidate is an upstream as this router knows it.
type Candidate struct {
	Upstream clementinewind.Upstream
	Zone     clementinewind.Zone
	// Rank is the position of the upstream in the rendezvous order of the prompt's prefix, from 0. It is Request.Copies
	// for all upstreams that are not preferred.
	Rank int
	// Slots is the number of requests that the upstream runs concurrently; Running counts the requests of all routers.
	Slots   int
	Running int
	// Reported is nil if the upstream does not report its load.
	Reported *Reported
	// QueuedTokens are prompt tokens of all routers that wait for prefill at the upstream.
	QueuedTokens int
	// CachedTokens are the prompt tokens of this request that the upstream is expected to have cached.
	CachedTokens int
	// ResidentTokens are the tokens in memory for running requests, MemoryTokens is the capacity of the memory; 0 for
	// plain services.
	ResidentTokens int
	MemoryTokens   int
	// RecentTokens are the prompt tokens that all routers sent, decayed over PrefillWindow.
	RecentTokens int
	// PrefillPerToken is the time that the upstream spends on the prefill of a token.
	PrefillPerToken time.Duration
	// PerToken is the time by which a token in the queue delays the first event, which includes what this router does not know of the
	// queue. BaseLatency is the time to an answer without any queue or prefill, and ServiceTime the time that a request occupies a slot.
	PerToken    time.Duration
	BaseLatency time.Duration
	ServiceTime time.Duration
	// FailureRate is the part of the recent requests that failed at the upstream.
	FailureRate float64
	// Overdue is by how much the unanswered request that was due first is overdue at the upstream.
	Overdue time.Duration
}

// Request describes a request to be placed.
type Request struct {
	Zone clementinewind.Zone
	// Goal is the part of the latency goal that is left; the goal is the time from arrival to the first event.
	Goal time.Duration
	// InputTokens is 0 for plain services. SharedTokens are those of the prefix that other prompts share.
	InputTokens  int
	SharedTokens int
	OutputTokens int
	// Copies is the number of preferred upstreams of the shared prefix.
	Copies int
	// Limit bounds the expected time to the first event.
	Limit Limit
}

// tokensPerMillionPairs is the prefill time of a million pairs of tokens, in tokens. Because of attention, prefill time
// grows faster than the length of the prompt.
const tokensPerMillionPairs = 20

// PrefillTokens returns the prompt tokens that are not cached at a candidate, and the equivalent number that includes
// the extra attention time of long prompts.
func PrefillTokens(candidate Candidate, request Request) (uncached, effective int) {
	uncached = max(request.InputTokens-candidate.CachedTokens, 0)
	pairs := float64(uncached) * (float64(candidate.CachedTokens) + float64(uncached)/2)
	return uncached, uncached + int(pairs/1e6*tokensPerMillionPairs)
}

// Decision is the result of Best.
type Decision struct {
	// Index is the chosen candidate, or -1 if there is none.
	Index int
	// Expected is the expected time to the first event.
	Expected time.Duration
	// IdleLatency is the expected time to the first event at an idle upstream.
	IdleLatency time.Duration
	// UncachedTokens are the prompt tokens that are not cached at the chosen upstream; EffectiveTokens include the
	// extra attention time of long prompts.
	UncachedTokens  int
	EffectiveTokens int
	// PrefillTime is the part of PrefillWindow that the upstream spends on prefill.
	PrefillTime time.Duration
	// Wait is what Expected consists of, apart from the pace of the upstream.
	Wait Wait
}

// Best returns the candidate with the lowest cost. It weighs the prefill time that an upstream saves with a cached prefix against shorter
// queues elsewhere. With Limit.Anywhere, candidates within the limit come before cheaper ones.
func Best(candidates []Candidate, request Request) Decision {
	best := Decision{Index: -1}
	var bestCost time.Duration
	bestExceeds := false
	for index, candidate := range candidates {
		uncached, effective := PrefillTokens(candidate, request)
		wait := waitAt(candidate, request)
		decision := Decision{
			Index: index, Expected: candidate.slowedDown(wait), IdleLatency: wait.Base + wait.Prefill, Wait: wait,
			UncachedTokens: uncached, EffectiveTokens: effective, PrefillTime: candidate.prefillTime(),
		}
		cost := decision.Expected + penalty(candidate, request)
		exceeds := request.Limit.Anywhere && request.Limit.Excess(decision) > 0
		if best.Index < 0 || (bestExceeds && !exceeds) || (bestExceeds == exceeds && cost < bestCost) {
			best, bestCost, bestExceeds = decision, cost, exceeds
		}
	}
	return best
}

// Wait is what the expected time to the first event at a candidate consists of, at the mean pace of the upstreams.
type Wait struct {
	// Base is the time to an answer without any queue or prefill, Prefill that of the request's own tokens.
	Base, Prefill time.Duration
	// Queue is the prefill time of the tokens that wait at the upstream.
	Queue time.Duration
	// Overdue is by how much the unanswered request that was due first is overdue.
	Overdue time.Duration
	// Slots is the wait for a free slot, Busy the delay by prefill that takes most of the upstream's time, and Memory the wait for free memory.
	Slots, Busy, Memory time.Duration
}

// Total returns the sum of the parts.
func (wait Wait) Total() time.Duration {
	return wait.Base + wait.Prefill + wait.Queue + wait.Overdue + wait.Slots + wait.Busy + wait.Memory
}

// waitAt returns the expected wait of a request at a candidate.
func waitAt(candidate Candidate, request Request) Wait {
	uncached, effective := PrefillTokens(candidate, request)
	wait := Wait{
		Base: candidate.BaseLatency, Prefill: time.Duration(effective) * candidate.PerToken,
		Queue: time.Duration(candidate.QueuedTokens) * candidate.PerToken, Overdue: candidate.Overdue,
	}
	if ahead := candidate.Running + 1 - candidate.Slots; candidate.Slots > 0 && ahead > 0 {
		wait.Slots = candidate.ServiceTime * time.Duration(ahead) / time.Duration(candidate.Slots)
	}
	if over := candidate.prefillTime() - time.Duration(maxPrefillShare*float64(PrefillWindow)); over > 0 {
		wait.Busy = over
	}
	if memory := int(maxMemoryUse * float64(candidate.MemoryTokens)); memory > 0 {
		if over := candidate.ResidentTokens + uncached + request.OutputTokens - memory; over > 0 {
			// A request that does not fit waits for others to end.
			wait.Memory = candidate.ServiceTime * time.Duration(over) / time.Duration(memory)
		}
	}
	return wait
}

// ExpectedLatency returns the expected time to the first event at a candidate.
func ExpectedLatency(candidate Candidate, request Request) time.Duration {
	return candidate.slowedDown(waitAt(candidate, request))
}

// prefillTime returns the part of PrefillWindow that the upstream spends on prefill.
func (candidate Candidate) prefillTime() time.Duration {
	return time.Duration(candidate.RecentTokens) * candidate.PrefillPerToken
}

// slowedDown returns how long a wait takes at the pace that the candidate reported.
func (candidate Candidate) slowedDown(wait Wait) time.Duration {
	if candidate.Reported != nil {
		return candidate.Reported.slowedDown(wait.Total())
	}
	return wait.Total()
}

// penalty returns the part of the cost beyond the expected latency: delays of other requests, traffic, and the risk of
// a failure.
func penalty(candidate Candidate, request Request) time.Duration {
	cost := runningCost * time.Duration(candidate.Running)
	if request.SharedTokens >= minPrefixTokens {
		cost += rankCost * time.Duration(min(candidate.Rank, request.Copies))
		if candidate.Rank >= request.Copies {
			cost += nonPreferredCost * time.Duration(min(request.SharedTokens, LargePrefixTokens)) / LargePrefixTokens
		}
	}
	if uncachedShared := request.SharedTokens - candidate.CachedTokens; uncachedShared > 0 {
		cost += time.Duration(uncachedPrefixWeight * float64(uncachedShared) * float64(candidate.PerToken))
	}
	if candidate.Zone != request.Zone {
		cost += crossZoneCost
	}
	if candidate.Reported != nil {
		cost += candidate.Reported.jitter()
	}
	cost += time.Duration(failureWeight * candidate.FailureRate * float64(request.Goal))
	return cost
}
