// Package shed decides which part of the requests a router refuses while its processor is short.
package shed

import (
	"sync/atomic"
	"time"
)

// Config configures a Controller.
type Config struct {
	// TargetLag is the lag of the processor that is aimed at. A request passes the scheduler about ten times, so that it is late by
	// ten times this.
	TargetLag time.Duration
	// IntegralGain is how fast the refused part changes, in parts a second for each time that the lag is off the target, and Damping what
	// is added to it at once for each. Without damping the part swings.
	IntegralGain     float64
	ProportionalGain float64
	// MaxLagFactor bounds a lag to this many times the target, so that one long pause does not refuse everything for long.
	MaxLagFactor float64
	// MaxFraction bounds the refused part, so that callers who come back are served now and then.
	MaxFraction float64
}

// Controller follows the lag with the part of the requests that is refused. The load it answers: the callers of a large
// organisation keep to one router, which gets several times what its processor can do. Refusing all of them while the lag is
// above a limit, and none below it, makes the lag swing, and the processor idles in between; a part that moves with the lag
// keeps it busy and the requests that it takes on time. Its methods may be called by many goroutines.
type Controller struct {
	config Config
	// sum is the part that follows from the lags so far, and first what the first lag above the target adds to it if the next one
	// is above it too. Only Observe uses them.
	sum, first float64
	// part is the refused part in millionths.
	part atomic.Int64
}

const millionths = 1_000_000

// New returns a controller that refuses nothing.
func New(config Config) *Controller { return &Controller{config: config} }

// Observe records the lag of the processor, measured over the given time. It is called by one goroutine. A single lag above the
// target refuses nothing: a processor that is not enough is late again at the next one, and then both count.
func (controller *Controller) Observe(lag, over time.Duration) {
	config := controller.config
	off := min(float64(lag)/float64(config.TargetLag), config.MaxLagFactor) - 1
	if off > 0 && controller.sum == 0 && controller.first == 0 {
		bounded := min(over.Seconds(), config.MaxLagFactor*config.TargetLag.Seconds())
		controller.first = config.IntegralGain * off * bounded
		controller.part.Store(0)
		return
	}
	if off > 0 {
		controller.sum += controller.first
	}
	controller.first = 0
	controller.sum = min(max(controller.sum+config.IntegralGain*off*over.Seconds(), 0), config.MaxFraction)
	part := controller.sum + config.ProportionalGain*max(off, 0)
	controller.part.Store(int64(millionths * min(part, config.MaxFraction)))
}

// RefusedFraction returns the part of the requests that is refused.
func (controller *Controller) RefusedFraction() float64 {
	return float64(controller.part.Load()) / millionths
}
