package entry

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadWindow is the time over which the request rate is averaged.
	loadWindow = time.Second
	// leastMeasure is the shortest time between two measurements.
	leastMeasure = 100 * time.Millisecond
)

// load measures the requests a second for each core.
type load struct {
	count atomic.Int64
	cores float64

	mutex sync.Mutex
	rate  float64
	at    time.Time
}

func newLoad(cores float64) *load {
	if cores <= 0 {
		cores = 1
	}
	return &load{cores: cores, at: time.Now()}
}

func (load *load) measure(now time.Time) float64 {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	elapsed := now.Sub(load.at)
	if elapsed >= leastMeasure {
		current := float64(load.count.Swap(0)) / elapsed.Seconds() / load.cores
		kept := math.Exp(-elapsed.Seconds() / loadWindow.Seconds())
		load.rate = kept*load.rate + (1-kept)*current
		load.at = now
	}
	return load.rate
}
