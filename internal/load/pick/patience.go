package pick

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/usage"
)

const (
	// maxLatencyFactor is the multiple of the latency goal that organisations far below their fair share may wait.
	// Their answers are late then, but other organisations cannot take all of the engines' time.
	maxLatencyFactor = 3.0
	// minLatencyFactor is the multiple of the latency goal that organisations far above their share may wait.
	minLatencyFactor = 0.1
	// goalRatio is the ratio to its fair share at which an organisation may wait for exactly the latency goal, and
	// overservedSlope how fast the limit falls above it. The limit reaches minLatencyFactor at about one and a half
	// shares, so that organisations that ask for more get equal parts of what the others leave.
	goalRatio       = 0.5
	overservedSlope = 0.8
	// underservedSlope is how fast the limit rises below goalRatio; it reaches maxLatencyFactor at a quarter of the
	// share.
	underservedSlope = 8.0
	// maxLead is the ratio to the tokens of the least served waiting organisation above which another organisation is
	// throttled. Users are promised that none gets more than twice as many in any six seconds. The margin is for new
	// bursts: the shares, which decay over two seconds, lag behind what a burst has got.
	maxLead = 1.25
	// pauseLead is the same ratio above which the other organisation gets nothing, also where upstreams have room.
	pauseLead = 1.4
	// spareQueueFactor is the part of the latency goal that a request may wait in the queue of an upstream that counts as one with room to
	// spare. The others find most of the goal left.
	spareQueueFactor = 0.25
	// sparePrefillShare is the part of its time that such an upstream spends on prefill at most. With more, the answers that it generates
	// for others slow down and miss their deadlines.
	sparePrefillShare = 0.4
	// queueFactor is the ratio of Limit.Queue to Limit.Latency.
	queueFactor = 0.5
)

// MaxLatency returns the longest expected time to the first event with which a request is placed; shareRatio is what
// its organisation got, divided by its fair share. When a few organisations send many times their usual load, the limit
// falls for those that got much. Their requests are rejected at shorter queues, which leaves room for the others. The
// limit rises for organisations that got little, so that they are not rejected because of queues that others have
// filled.
func MaxLatency(goal time.Duration, shareRatio float64) time.Duration {
	factor := max(minLatencyFactor, 1-overservedSlope*(shareRatio-goalRatio))
	if shareRatio < goalRatio {
		factor = min(maxLatencyFactor, 1+underservedSlope*(goalRatio-shareRatio))
	}
	return time.Duration(factor * float64(goal))
}

// ThrottleTime returns how long an organisation above its fair share has to give way until waiting organisations come
// close to it, or 0 if it is not far ahead of them. An organisation within its share is never throttled, however little
// another one got.
func ThrottleTime(standing usage.Standing) time.Duration {
	return timeUntilLead(standing, maxLead*standing.LeastServed)
}

// PauseTime is the part of ThrottleTime in which the organisation gets nothing, however much room upstreams have, because it would get ever
// further ahead. That is so if the others cannot use the room: their callers stay with a router that cannot serve them, or they need
// upstreams that are busy. For organisations whose requests are lost at their routers it begins at the lower lead, because only the pause
// helps them.
func PauseTime(standing usage.Standing) time.Duration {
	return max(timeUntilLead(standing, maxLead*standing.LeastBlocked), timeUntilLead(standing, pauseLead*standing.LeastServed))
}

func timeUntilLead(standing usage.Standing, lead float64) time.Duration {
	limit := max(1, lead)
	if standing.Share <= limit {
		return 0
	}
	return time.Duration(math.Log(standing.Share/limit) * float64(standing.TimeConstant))
}

// Limit is the longest expected time to the first event with which a request is placed.
type Limit struct {
	// Latency applies to requests that an idle upstream would answer in less time.
	Latency time.Duration
	// Queue is the time that a request may always wait in the queue, however long its own prefill takes. Otherwise a prompt that misses
	// Latency even at an idle upstream would never be served.
	Queue time.Duration
	// PrefillTime is the part of PrefillWindow that the upstream may spend on prefill; 0 means no limit.
	PrefillTime time.Duration
	// Anywhere is set if the request goes to any upstream within the limit before it is refused, also to one that has not cached its prefix.
	// Copies of prefixes delay others, so that this is for organisations that got little.
	Anywhere bool
}

// ShareLimit returns the limit for an organisation by its standing. One that returns from idle may wait for the goal at most; otherwise it
// would be far ahead of the others before its usage is known everywhere.
func ShareLimit(goal time.Duration, standing usage.Standing) Limit {
	if standing.Returning && standing.Share < goalRatio {
		return LatencyLimit(goal)
	}
	limit := LatencyLimit(MaxLatency(goal, standing.Share))
	limit.Anywhere = standing.Share < goalRatio
	return limit
}

// LatencyLimit returns the limit that corresponds to a latency.
func LatencyLimit(latency time.Duration) Limit {
	return Limit{Latency: latency, Queue: time.Duration(queueFactor * float64(latency))}
}

// SpareLimit returns the limit for requests of an organisation that is far ahead of others. Upstreams within it have room that nobody else
// needs, so that refusing the request would leave them idle. It limits the queue alone, so that large prompts are not refused more often
// than small ones.
func SpareLimit(goal time.Duration) Limit {
	return Limit{Queue: time.Duration(spareQueueFactor * float64(goal)), PrefillTime: time.Duration(sparePrefillShare * float64(PrefillWindow))}
}

// Excess returns by how much the expected time of a placement exceeds the limit; the request may be placed if the result is not positive.
func (limit Limit) Excess(decision Decision) time.Duration {
	excess := decision.Expected - max(limit.Latency, decision.IdleLatency+limit.Queue)
	if limit.PrefillTime > 0 {
		excess = max(excess, decision.PrefillTime-limit.PrefillTime)
	}
	return excess
}
