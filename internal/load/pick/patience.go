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
	// goalRatio is the part of its fair share at which an organisation may wait for exactly the latency goal, and
	// overservedSlope how fast the limit falls above it. The limit reaches minLatencyFactor at about one and a half
	// shares, so that organisations that ask for more get equal parts of what the others leave.
	goalRatio       = 0.5
	overservedSlope = 0.8
	// underservedSlope is how fast the limit rises below goalRatio; it reaches maxLatencyFactor at a quarter of the
	// share.
	underservedSlope = 8.0
	// maxLead is how many times as many tokens as the least served waiting organisation another one may get. Users are
	// promised at most twice as many in any six seconds. The margin is for new bursts: the shares, which decay over two
	// seconds, lag behind what a burst has got.
	maxLead = 1.25
	// queueFactor is the part of the latency limit that a request may always wait in the queue, however long its own
	// prefill takes.
	queueFactor = 0.5
)

// MaxLatency returns the longest expected time to the first event with which a request is placed; shareRatio is what
// its organisation got as a part of its fair share. When a few organisations send many times their usual load, the limit
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

// ThrottleTime returns how long an organisation above its fair share has to pause until waiting organisations come
// close to it, or 0 if it is not far ahead of them. A lower MaxLatency does not protect the others if their callers stay
// with a router that cannot serve them, because then the upstreams have no queues. An organisation
// within its share is never throttled, however little another one got.
func ThrottleTime(standing usage.Standing) time.Duration {
	limit := max(1, maxLead*standing.LeastServed)
	if standing.Share <= limit {
		return 0
	}
	return time.Duration(math.Log(standing.Share/limit) * float64(standing.TimeConstant))
}

// ExcessLatency returns by how much the expected time of a placement exceeds the limit; the request may be placed if
// the result is not positive. A prompt that misses the goal even at an idle upstream may still wait in the queue for a
// part of the limit, because otherwise it would never be served.
func ExcessLatency(decision Decision, maxLatency time.Duration) time.Duration {
	queueTime := time.Duration(queueFactor * float64(maxLatency))
	return decision.Expected - max(maxLatency, decision.IdleLatency+queueTime)
}
