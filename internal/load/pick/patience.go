package pick

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/usage"
)

const (
	// mostPatience is the part of the goal that organisations far below their share may wait for. Their answers come late
	// then, but those of others cannot take all of the engines' time.
	mostPatience = 3.0
	// leastPatience is the part of the goal that organisations far above their share may wait for.
	leastPatience = 0.1
	// fullPatience is the part of its fair share up to which an organisation may wait for the whole goal, and patienceSlope
	// how fast the patience falls above it. It reaches leastPatience at about one and a half shares, so that those that
	// ask for more come to equal parts of what is left by the others.
	fullPatience  = 0.5
	patienceSlope = 0.8
	// unservedSlope is how fast the patience rises below fullPatience; it reaches mostPatience at a quarter of the share.
	unservedSlope = 8.0
	// mostGap is how many times as much as the least served organisation that waits another one may get. The users' rule allows twice as
	// much in any six seconds; what a new flood got in them is ahead of the shares, which decay over two seconds.
	mostGap = 1.25
	// queuePatience is the part of the patience that is left for the queue, however long the request itself takes.
	queuePatience = 0.5
)

// MaxLatency returns the longest expected time to the first event with which a request is placed; ratio is what its
// organisation got as a part of its fair share. The load it answers: a few organisations send many times their usual. The
// more one of them has got, the shorter the queue at which its requests are rejected, so that there is room left for the
// others, and for those of them that were served less. One that got hardly anything is not rejected for a queue that others
// made.
func MaxLatency(goal time.Duration, ratio float64) time.Duration {
	part := max(leastPatience, 1-patienceSlope*(ratio-fullPatience))
	if ratio < fullPatience {
		part = min(mostPatience, 1+unservedSlope*(fullPatience-ratio))
	}
	return time.Duration(part * float64(goal))
}

// ThrottleTime returns how long an organisation that got more than its share has to pause until others that wait come close to it, and 0
// if it is not far ahead of them; standing is that of usage.Shares. The load it answers: the callers of an organisation stay with a router
// that cannot serve them, while the upstreams have room, so that shorter queues for the others would not help it. An organisation
// that got no more than its share never pauses, however little another one got.
func ThrottleTime(standing usage.Standing) time.Duration {
	limit := max(1, mostGap*standing.LeastServed)
	if standing.Share <= limit {
		return 0
	}
	return time.Duration(math.Log(standing.Share/limit) * float64(standing.Window))
}

// Late returns by how much a placement exceeds a patience; it is not positive if the request is to be placed. The load it
// answers: prompts that take longer than the goal even at an idle upstream. They may wait behind others for a part of the
// patience, because they would never be served otherwise.
func Late(decision Decision, patience time.Duration) time.Duration {
	queue := time.Duration(queuePatience * float64(patience))
	return decision.Expected - max(patience, decision.Own+queue)
}
