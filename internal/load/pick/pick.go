package pick

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
)

const (
	// rereadWeight prices shared parts that are read again, in reading times on top of the reading itself: it delays the other
	// requests of that upstream, and the copy takes the place of other parts in its memory.
	rereadWeight = 2.0
	// zoneCost is the price of sending a request to another zone, against a millisecond on the way and paid traffic.
	zoneCost = 15 * time.Millisecond
	// runningCost is how much one more running request delays each of the others.
	runningCost = time.Millisecond
	// failureCost prices the expected loss when an upstream fails part of its requests, as a share of the goal.
	failureCost = 4.0
	// Homes is the least number of upstreams that a large prefix is kept at. Two are enough to even out the load between them;
	// with more, the prefixes of all requests do not fit into the memory of the upstreams and drive each other out.
	Homes = 2
	// LargePrefix is the size from which the homes of a prefix are worth the whole of strayCost, and smallPrefix the size from which
	// a prefix has homes. Reading fewer tokens takes less than the requests of an engine vary by.
	LargePrefix = 1000
	smallPrefix = 150
	// rankCost leads all routers to send a new prefix to the same home. strayCost is the wait at the homes from which a large
	// prefix is read elsewhere; for a small one it is less in proportion.
	rankCost  = 15 * time.Millisecond
	strayCost = 3000 * time.Millisecond
	// memoryShare is the part of an engine's memory that is filled; beyond it the engine preempts running requests.
	memoryShare = 0.9
	// homeShare is the part of an upstream's time that one prefix may take; the homes have other prefixes too.
	homeShare = readShare / 2
	// ReadWindow is the time over which the reading of an engine is measured. Others tell of it with up to 0.8 s of delay.
	ReadWindow = 2 * time.Second
	// readShare is the part of an engine's time that it may read prompts. Each step reads a chunk and makes one token of each
	// answer, so that answers of an engine that reads all the time take ten times as long and miss their deadlines.
	readShare = 0.7
)

// HomesFor returns at how many upstreams a large prefix is kept whose requests, without the prefix itself, take the given
// part of one upstream's time. The load it answers: one subject gets much of the traffic, and its homes reject what others
// could serve. It follows the requests that are placed, over seconds: following the queues made every prefix move in a burst.
func HomesFor(work float64) int { return max(Homes, int(math.Ceil(work/homeShare))) }

// Candidate is an upstream as this router knows it.
type Candidate struct {
	Upstream clementinewind.Upstream
	Zone     clementinewind.Zone
	// Rank is the position of the upstream in the rendezvous order of the prompt's prefix; all that are no homes are the same.
	Rank int
	// Slots is the number of requests that the upstream runs at once; Running counts those of all routers.
	Slots   int
	Running int
	// QueuedTokens are prompt tokens that the upstream has yet to read for all routers.
	QueuedTokens int
	// CachedTokens of this request's prompt are believed to be in the memory of the upstream.
	CachedTokens int
	// ResidentTokens are held by running requests; MemoryTokens is the size of the memory, 0 for plain services.
	ResidentTokens int
	MemoryTokens   int
	// RecentTokens are prompt tokens that all routers handed over, decayed over ReadWindow.
	RecentTokens int
	// PerToken is the time to read one token, Base the time to an answer without any work ahead, and Service the time
	// that a request holds a slot.
	PerToken time.Duration
	Base     time.Duration
	Service  time.Duration
	// FailureRate is the share of recent requests that the upstream failed.
	FailureRate float64
	// Overdue is by how much the oldest unanswered request is later than expected.
	Overdue time.Duration
}

// Request is what the decision needs to know of a request.
type Request struct {
	Zone clementinewind.Zone
	// Goal is the time to the first event that is still left.
	Goal time.Duration
	// InputTokens is 0 for plain services.
	InputTokens  int
	SharedTokens int
	OutputTokens int
	// Homes is the number of upstreams that the shared part is kept at.
	Homes int
}

// pairTokens is the reading time of a million pairs of tokens, in tokens: attention makes long prompts slower than their
// length alone.
const pairTokens = 20

// Work returns the prompt tokens that a candidate has to read, and the same with the extra time of long prompts.
func Work(candidate Candidate, request Request) (uncached, effective int) {
	uncached = max(request.InputTokens-candidate.CachedTokens, 0)
	pairs := float64(uncached) * (float64(candidate.CachedTokens) + float64(uncached)/2)
	return uncached, uncached + int(pairs/1e6*pairTokens)
}

// Decision is where a request goes.
type Decision struct {
	// Index is the chosen candidate, or -1 if there is none.
	Index int
	// Expected is the expected time to the first event.
	Expected time.Duration
	// Own is the part of Expected that the request would take at an idle upstream.
	Own time.Duration
	// UncachedTokens are those that the chosen upstream has to read; EffectiveTokens include the extra time of a long prompt.
	UncachedTokens  int
	EffectiveTokens int
}

// Best returns the candidate with the least cost. The load it answers: many prompts with shared parts, where the upstream
// that holds the parts may be busy while others are idle.
func Best(candidates []Candidate, request Request) Decision {
	best := Decision{Index: -1}
	var bestCost time.Duration
	for index, candidate := range candidates {
		uncached, effective := Work(candidate, request)
		expected := Expect(candidate, request)
		cost := expected + extra(candidate, request)
		if best.Index < 0 || cost < bestCost {
			own := candidate.Base + time.Duration(effective)*candidate.PerToken
			best = Decision{Index: index, Expected: expected, Own: own, UncachedTokens: uncached, EffectiveTokens: effective}
			bestCost = cost
		}
	}
	return best
}

// Expect returns the expected time to the first event at a candidate.
func Expect(candidate Candidate, request Request) time.Duration {
	uncached, effective := Work(candidate, request)
	expected := candidate.Base + time.Duration(candidate.QueuedTokens+effective)*candidate.PerToken + candidate.Overdue
	if ahead := candidate.Running + 1 - candidate.Slots; candidate.Slots > 0 && ahead > 0 {
		expected += candidate.Service * time.Duration(ahead) / time.Duration(candidate.Slots)
	}
	if over := time.Duration(candidate.RecentTokens)*candidate.PerToken - time.Duration(readShare*float64(ReadWindow)); over > 0 {
		expected += over
	}
	if memory := int(memoryShare * float64(candidate.MemoryTokens)); memory > 0 {
		if over := candidate.ResidentTokens + uncached + request.OutputTokens - memory; over > 0 {
			// A request that does not fit waits for others to end.
			expected += candidate.Service * time.Duration(over) / time.Duration(memory)
		}
	}
	return expected
}

// extra is the cost that a placement causes to others, or may cause to the request itself.
func extra(candidate Candidate, request Request) time.Duration {
	cost := runningCost * time.Duration(candidate.Running)
	if request.SharedTokens >= smallPrefix {
		cost += rankCost * time.Duration(min(candidate.Rank, request.Homes))
		if candidate.Rank >= request.Homes {
			cost += strayCost * time.Duration(min(request.SharedTokens, LargePrefix)) / LargePrefix
		}
	}
	if reread := request.SharedTokens - candidate.CachedTokens; reread > 0 {
		cost += time.Duration(rereadWeight * float64(reread) * float64(candidate.PerToken))
	}
	if candidate.Zone != request.Zone {
		cost += zoneCost
	}
	cost += time.Duration(failureCost * candidate.FailureRate * float64(request.Goal))
	return cost
}
