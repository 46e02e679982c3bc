package entry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rateWindow is the time constant of the moving average of the request rate.
	rateWindow = time.Second
	// minMeasureInterval is the shortest time between two measurements.
	minMeasureInterval = 100 * time.Millisecond
)

// rateMeter measures the request rate per core, in requests per second.
type rateMeter struct {
	requests atomic.Int64
	cores    float64

	mutex       sync.Mutex
	ratePerCore float64
	measuredAt  time.Time
}

func newRateMeter(cores float64) *rateMeter {
	if cores <= 0 {
		cores = 1
	}
	return &rateMeter{cores: cores, measuredAt: time.Now()}
}

func (meter *rateMeter) measure(now time.Time) float64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	elapsed := now.Sub(meter.measuredAt)
	if elapsed >= minMeasureInterval {
		current := float64(meter.requests.Swap(0)) / elapsed.Seconds() / meter.cores
		decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		meter.ratePerCore = decay*meter.ratePerCore + (1-decay)*current
		meter.measuredAt = now
	}
	return meter.ratePerCore
}
