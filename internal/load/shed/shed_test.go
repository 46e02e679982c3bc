package shed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/load/shed"
)

var config = shed.Config{TargetLag: 15 * time.Millisecond, IntegralGain: 0.4, ProportionalGain: 0.25, MaxLagFactor: 4, MaxFraction: 0.95}

func ExampleController() {
	controller := shed.New(config)
	controller.Observe(45*time.Millisecond, 65*time.Millisecond)
	fmt.Printf("%.2f\n", controller.RefusedFraction())
	controller.Observe(45*time.Millisecond, 500*time.Millisecond)
	fmt.Printf("%.2f\n", controller.RefusedFraction())
	controller.Observe(0, time.Second)
	fmt.Printf("%.2f\n", controller.RefusedFraction())
	// Output:
	// 0.00
	// 0.95
	// 0.05
}

// simulatedRouter schedules its requests in several steps, first in, first out.
type simulatedRouter struct {
	// step is the CPU time of one step of a request, refusal the CPU time to refuse a request.
	step, refusal time.Duration
	steps         int
}

type task struct {
	arrived time.Duration
	// left is the number of remaining steps; a lag probe has none.
	left    int
	refused bool
}

// simulation is the result of a simulated load.
type simulation struct {
	served, onTime int
	// maxLag is the largest lag that a probe measured in the second half.
	maxLag time.Duration
}

// simulate lets requests arrive at a rate for a time. refuse decides whether one is refused, and observe gets the lag
// of each probe.
func (router simulatedRouter) simulate(rate float64, duration time.Duration, refuse func() bool, observe func(lag, period time.Duration)) simulation {
	const probeInterval, goal = 20 * time.Millisecond, 500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	var result simulation
	var queue []task
	now, nextArrival, lastProbe := time.Duration(0), time.Duration(0), time.Duration(0)
	nextProbe := probeInterval
	for now < duration {
		for ; nextArrival <= now; nextArrival += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			queue = append(queue, task{arrived: nextArrival, left: router.steps})
		}
		if nextProbe >= 0 && now >= nextProbe {
			queue = append(queue, task{arrived: nextProbe, left: 0})
			nextProbe = -1
		}
		if len(queue) == 0 {
			now += time.Millisecond
			continue
		}
		first := queue[0]
		queue = queue[1:]
		switch {
		case first.left == 0:
			lag := now - first.arrived
			observe(lag, now-lastProbe)
			if now > duration/2 {
				result.maxLag = max(result.maxLag, lag)
			}
			lastProbe, nextProbe = now, now+probeInterval
			continue
		case first.left == router.steps && refuse():
			now += router.refusal
			continue
		}
		now += router.step
		if first.left--; first.left > 0 {
			queue = append(queue, first)
			continue
		}
		result.served++
		if now-first.arrived <= goal {
			result.onTime++
		}
	}
	return result
}

// Guards against wasting CPU time of an overloaded router. The controller has to serve nearly as many requests on time
// as an ideal that knows which requests to refuse, and more than a fixed limit on the lag.
func TestOverload(t *testing.T) {
	const duration = 20 * time.Second
	overloaded := simulatedRouter{step: 500 * time.Microsecond, refusal: time.Millisecond, steps: 10}
	for _, rate := range []float64{250, 400, 500, 700} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			controller := shed.New(config)
			controlled := overloaded.simulate(rate, duration, func() bool { return random.Float64() < controller.RefusedFraction() }, controller.Observe)
			lag := time.Duration(0)
			limited := overloaded.simulate(rate, duration, func() bool { return lag > 120*time.Millisecond }, func(measured, _ time.Duration) { lag = measured })
			// The ideal spends 1 ms on each refused request and 5 ms on each served one.
			ideal := (1 - rate*0.001) / (0.005 - 0.001) * duration.Seconds()
			quicktest.Check(t, float64(controlled.onTime) > 0.8*ideal, quicktest.IsTrue, quicktest.Commentf("%+v of %.0f", controlled, ideal))
			quicktest.Check(t, controlled.onTime > limited.onTime, quicktest.IsTrue, quicktest.Commentf("%+v, with a limit %+v", controlled, limited))
			quicktest.Check(t, float64(controlled.onTime) > 0.9*float64(controlled.served), quicktest.IsTrue, quicktest.Commentf("%+v", controlled))
		})
	}
}

// Guards against refusals while the CPU is not overloaded, and against refusals that continue after an overload.
func TestNoOverload(t *testing.T) {
	refused := 0
	controller := shed.New(config)
	router := simulatedRouter{step: 500 * time.Microsecond, refusal: time.Millisecond, steps: 10}
	result := router.simulate(120, 10*time.Second, func() bool {
		if controller.RefusedFraction() > 0.01 {
			refused++
		}
		return false
	}, controller.Observe)
	quicktest.Check(t, result.served > 1000, quicktest.IsTrue)
	quicktest.Check(t, refused < result.served/50, quicktest.IsTrue, quicktest.Commentf("%d of %d", refused, result.served))
	controller.Observe(time.Second, time.Second)
	controller.Observe(time.Second, time.Minute)
	quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.95)
	controller.Observe(0, 3*time.Second)
	quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.0)
}

// Guards against refusals at an idle router when other processes of the machine take the CPU for a moment: refusing
// requests does not reduce that lag.
func TestSingleStall(t *testing.T) {
	for _, stall := range []time.Duration{30 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
		controller := shed.New(config)
		for range 10 {
			controller.Observe(0, 20*time.Millisecond)
		}
		controller.Observe(stall, stall+20*time.Millisecond)
		quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.0, quicktest.Commentf("after %v", stall))
		controller.Observe(0, 20*time.Millisecond)
		quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.0, quicktest.Commentf("after %v and a probe on time", stall))
	}
}
