package pick

import "time"

const (
	// leastPatience is the part of the goal that organisations far above their share may wait for.
	leastPatience = 0.4
	// patienceSlope is how fast the patience falls above the fair share.
	patienceSlope = 0.6
	// queuePatience is the part of the patience that is left for the queue, however long the request itself takes.
	queuePatience = 0.5
)

// Patience returns the longest expected time to the first event with which a request is placed; ratio is what its
// organisation got as a part of its fair share. The load it answers: one organisation sends many times its usual. Its
// requests are rejected at a shorter queue than those of the others, so that there is room left for these.
func Patience(goal time.Duration, ratio float64) time.Duration {
	part := min(1, max(leastPatience, 1-patienceSlope*(ratio-1)))
	return time.Duration(part * float64(goal))
}

// Late returns by how much a placement exceeds a patience; it is not positive if the request is to be placed. The load it
// answers: prompts that take longer than the goal even at an idle upstream. They may wait behind others for a part of the
// patience, because they would never be served otherwise.
func Late(decision Decision, patience time.Duration) time.Duration {
	queue := time.Duration(queuePatience * float64(patience))
	return decision.Expected - max(patience, decision.Own+queue)
}
