package shed

import (
	"math"
	"math/rand/v2"
	"sync"
)

const (
	// meanWeight is the weight of one request in the mean of their sizes.
	meanWeight = 1.0 / 64
	// leastChance is the part of the chance of a request of mean size that the smallest ones keep. The users take callers that are
	// served less than a quarter as often as all for starved.
	leastChance = 0.25
)

// Picker decides which requests are refused while a part of them must be. Its methods may be called by many goroutines.
//
// The load it answers: the callers of an organisation stay with a router whose processor is enough for one in ten of their requests.
// Each costs it the same, but the shares of the organisations count in tokens, so that an organisation whose requests are picked at
// random gets a fraction of its share while others are served fully.
type Picker struct {
	mutex sync.Mutex
	mean  float64
}

// Refuses decides for one request of a size in tokens, or 0 if that is not known, while the given part of all is refused. The choice
// needs no secrecy.
func (picker *Picker) Refuses(part, size float64) bool {
	served := 1 - part
	if size > 0 && part > 0 {
		served = max(math.Pow(served, math.Sqrt(picker.observe(size)/size)), leastChance*served)
	}
	return rand.Float64() >= served
}

// observe returns the mean size with that of one more request.
func (picker *Picker) observe(size float64) float64 {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if picker.mean == 0 {
		picker.mean = size
	}
	picker.mean += meanWeight * (size - picker.mean)
	return picker.mean
}
