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

// processor is a router whose requests pass the scheduler in several steps, first come, first served.
type processor struct {
	// step is the time of one of the steps of a request, refusal the time to refuse one.
	step, refusal time.Duration
	steps         int
}

type task struct {
	arrived time.Duration
	// left are the steps to do; a probe of the lag has none.
	left    int
	refused bool
}

// result is how a load ended.
type result struct {
	served, onTime int
	// lags are those that probes saw in the second half.
	worst time.Duration
}

// play lets requests arrive at a rate for a time. Refuse decides for each of them, observe is told the lag of each probe.
func (processor processor) play(rate float64, lasts time.Duration, refuse func() bool, observe func(lag, over time.Duration)) result {
	const probe, goal = 20 * time.Millisecond, 500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	var played result
	var queue []task
	now, next, probed := time.Duration(0), time.Duration(0), time.Duration(0)
	nextProbe := probe
	for now < lasts {
		for ; next <= now; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			queue = append(queue, task{arrived: next, left: processor.steps})
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
			observe(lag, now-probed)
			if now > lasts/2 {
				played.worst = max(played.worst, lag)
			}
			probed, nextProbe = now, now+probe
			continue
		case first.left == processor.steps && refuse():
			now += processor.refusal
			continue
		}
		now += processor.step
		if first.left--; first.left > 0 {
			queue = append(queue, first)
			continue
		}
		played.served++
		if now-first.arrived <= goal {
			played.onTime++
		}
	}
	return played
}

// Replays a router that gets two and a half times the requests that its processor can do: it serves nearly as many on time as it
// could if it knew which to refuse, and more than one that refuses everything above a limit of the lag.
func TestCrowdedProcessor(t *testing.T) {
	const lasts = 20 * time.Second
	crowded := processor{step: 500 * time.Microsecond, refusal: time.Millisecond, steps: 10}
	for _, rate := range []float64{250, 400, 500, 700} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			controller := shed.New(config)
			steady := crowded.play(rate, lasts, func() bool { return random.Float64() < controller.RefusedFraction() }, controller.Observe)
			lag := time.Duration(0)
			limit := crowded.play(rate, lasts, func() bool { return lag > 120*time.Millisecond }, func(seen, _ time.Duration) { lag = seen })
			// Of each second, the refusals of all that cannot be served are taken off.
			ideal := (1 - rate*0.001) / (0.005 - 0.001) * lasts.Seconds()
			quicktest.Check(t, float64(steady.onTime) > 0.8*ideal, quicktest.IsTrue, quicktest.Commentf("%+v of %.0f", steady, ideal))
			quicktest.Check(t, steady.onTime > limit.onTime, quicktest.IsTrue, quicktest.Commentf("%+v, with a limit %+v", steady, limit))
			quicktest.Check(t, float64(steady.onTime) > 0.9*float64(steady.served), quicktest.IsTrue, quicktest.Commentf("%+v", steady))
		})
	}
}

// Guards against refusals at a router whose processor is enough, and against ones that go on after a crowd has left.
func TestQuietProcessor(t *testing.T) {
	refused := 0
	controller := shed.New(config)
	quiet := processor{step: 500 * time.Microsecond, refusal: time.Millisecond, steps: 10}
	played := quiet.play(120, 10*time.Second, func() bool {
		if controller.RefusedFraction() > 0.01 {
			refused++
		}
		return false
	}, controller.Observe)
	quicktest.Check(t, played.served > 1000, quicktest.IsTrue)
	quicktest.Check(t, refused < played.served/50, quicktest.IsTrue, quicktest.Commentf("%d of %d", refused, played.served))
	controller.Observe(time.Second, time.Second)
	controller.Observe(time.Second, time.Minute)
	quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.95)
	controller.Observe(0, 3*time.Second)
	quicktest.Check(t, controller.RefusedFraction(), quicktest.Equals, 0.0)
}

// Guards against refusals at an idle router of which other processes of its machine take the processor for a moment: what the
// router refuses then does not make it less late.
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
