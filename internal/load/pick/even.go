package pick

import (
	"math"
	"math/rand/v2"
	"time"
)

// Reported is what follows from the reports of load of an upstream.
type Reported struct {
	// Temperature is the difference in cost at which upstreams count as nearly equal.
	Temperature time.Duration
	// Slowdown is the current duration of work in multiples of the mean that the durations of the candidate hold for, and SlowdownLeft
	// how long it is expected to last.
	Slowdown     float64
	SlowdownLeft time.Duration
}

// jitter returns a random part of the cost. The cheapest candidate is then drawn with probabilities that fall by a factor of e for each
// Temperature by which its cost is higher, so that routers that decide at the same moment by the same reports do not all choose the same
// upstream.
func (reported *Reported) jitter() time.Duration {
	// The logarithm of an exponential variable has the Gumbel distribution. The choice is not security-sensitive.
	return time.Duration(float64(reported.Temperature) * math.Log(max(rand.ExpFloat64(), math.SmallestNonzeroFloat64)))
}

// slowedDown returns how long work takes that takes the given time at the mean pace. The part that is left when the pace is expected to
// change is done at the mean pace.
func (reported *Reported) slowedDown(work time.Duration) time.Duration {
	if reported.SlowdownLeft <= 0 {
		return work
	}
	if slowed := time.Duration(reported.Slowdown * float64(work)); slowed <= reported.SlowdownLeft {
		return slowed
	}
	return work + reported.SlowdownLeft - time.Duration(float64(reported.SlowdownLeft)/reported.Slowdown)
}
