package router

import (
	"sync"

	"github.com/clementinewind/clementinewind"
)

const (
	// costSmoothing is the weight of a new observation in the average cost of an organisation.
	costSmoothing = 0.1
	// maxCosts bounds the number of organisations whose average is kept.
	maxCosts = 10_000
)

// costs estimates what a request will cost from the earlier requests of its organisation.
type costs struct {
	mu       sync.Mutex
	averages map[clementinewind.Organisation]float64
}

func newCosts() *costs {
	return &costs{averages: map[clementinewind.Organisation]float64{}}
}

// estimate returns the expected cost in tokens, at most the limit that the request sets.
func (costs *costs) estimate(organisation clementinewind.Organisation, limit float64) float64 {
	costs.mu.Lock()
	defer costs.mu.Unlock()
	average, known := costs.averages[organisation]
	if !known {
		return limit
	}
	return max(1, min(average, limit))
}

func (costs *costs) observe(organisation clementinewind.Organisation, tokens float64) {
	costs.mu.Lock()
	defer costs.mu.Unlock()
	average, known := costs.averages[organisation]
	switch {
	case known:
		costs.averages[organisation] = average + costSmoothing*(tokens-average)
	case len(costs.averages) < maxCosts:
		costs.averages[organisation] = tokens
	}
}
