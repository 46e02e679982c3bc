// Package shed implements load shedding: it decides which fraction of the requests a router refuses while its CPU is
// overloaded.
package shed

import (
	"sync/atomic"
	"time"
)

// Config configures a Controller.
type Config struct {
	// TargetLag is the scheduling lag to hold. A request is scheduled about ten times, so that it is delayed by about
	// ten times the lag.
	TargetLag time.Duration
	// IntegralGain and ProportionalGain apply to the deviation of the lag, in multiples of the target. For each
	// multiple, the refused fraction changes by IntegralGain a second, and ProportionalGain is added at once. Without
	// the proportional term the fraction oscillates.
	IntegralGain     float64
	ProportionalGain float64
	// MaxLagFactor caps a lag at this multiple of the target, so that one long stall does not refuse everything for
	// long.
	MaxLagFactor float64
	// MaxFraction caps the refused fraction, so that callers that retry are served now and then.
	MaxFraction float64
}

// Controller is a PI controller that derives the fraction of refused requests from the scheduling lag. The callers
// of a large organisation may stay with one router and send several times the requests that its CPU can handle. A fixed
// limit on the lag, above which all requests are refused, makes the lag oscillate, and the CPU idles in between. A
// fraction that follows the lag keeps the CPU busy and the accepted requests on time. RefusedFraction is safe for
// concurrent use.
type Controller struct {
	config Config
	// integral is the integral term, and pending what a first lag above the target adds to it if the next lag is above
	// the target too. Only Observe uses them.
	integral, pending float64
	refusedMillionths atomic.Int64
}

const millionths = 1_000_000

// New returns a controller that refuses nothing.
func New(config Config) *Controller { return &Controller{config: config} }

// Observe updates the controller with the lag that was measured over the given period. It must be called by one
// goroutine only. While nothing is refused, a single lag above the target changes nothing: an overloaded CPU is late
// again the next time, and then both lags count.
func (controller *Controller) Observe(lag, period time.Duration) {
	config := controller.config
	deviation := min(float64(lag)/float64(config.TargetLag), config.MaxLagFactor) - 1
	if deviation > 0 && controller.integral == 0 && controller.pending == 0 {
		periodSeconds := min(period.Seconds(), config.MaxLagFactor*config.TargetLag.Seconds())
		controller.pending = config.IntegralGain * deviation * periodSeconds
		controller.refusedMillionths.Store(0)
		return
	}
	if deviation > 0 {
		controller.integral += controller.pending
	}
	controller.pending = 0
	controller.integral = min(max(controller.integral+config.IntegralGain*deviation*period.Seconds(), 0), config.MaxFraction)
	fraction := controller.integral + config.ProportionalGain*max(deviation, 0)
	controller.refusedMillionths.Store(int64(millionths * min(fraction, config.MaxFraction)))
}

// RefusedFraction returns the fraction of the requests to refuse, from 0 to 1.
func (controller *Controller) RefusedFraction() float64 {
	return float64(controller.refusedMillionths.Load()) / millionths
}
