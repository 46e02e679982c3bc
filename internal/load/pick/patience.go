package pick

import "time"

const (
	// leastPatience is the part of the goal that organisations far above their share may wait for.
	leastPatience = 0.4
	// patienceSlope is how fast the patience falls above the fair share.
	patienceSlope = 0.6
)

// Patience returns the longest expected time to the first event with which a request is placed; ratio is what its
// organisation got as a part of its fair share. The load it answers: one organisation sends many times its usual. Its
// requests are rejected at a shorter queue than those of the others, so that there is room left for these.
func Patience(goal time.Duration, ratio float64) time.Duration {
	part := min(1, max(leastPatience, 1-patienceSlope*(ratio-1)))
	return time.Duration(part * float64(goal))
}
