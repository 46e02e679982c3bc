package router

import (
	"sync"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// usage counts what the organisations do at this router, for the status that operators see.
type usage struct {
	mu     sync.Mutex
	counts map[clementinewind.Organisation]*usageCount
}

type usageCount struct {
	// running counts the requests that wait in the queue as well.
	running int32
	served  int64
}

func newUsage() *usage {
	return &usage{counts: map[clementinewind.Organisation]*usageCount{}}
}

func (usage *usage) change(organisation clementinewind.Organisation, change func(count *usageCount)) {
	usage.mu.Lock()
	defer usage.mu.Unlock()
	count := usage.counts[organisation]
	if count == nil {
		count = &usageCount{}
		usage.counts[organisation] = count
	}
	change(count)
}

// begin counts a request and returns the function that ends it.
func (usage *usage) begin(organisation clementinewind.Organisation) func() {
	usage.change(organisation, func(count *usageCount) { count.running++ })
	return func() { usage.change(organisation, func(count *usageCount) { count.running-- }) }
}

func (usage *usage) addServed(organisation clementinewind.Organisation, tokens int64) {
	usage.change(organisation, func(count *usageCount) { count.served += tokens })
}

// fill adds the counts of an organisation to its status, of whose requests queued ones wait.
func (usage *usage) fill(status *operatorv1.OrganisationStatus, queued int) {
	usage.mu.Lock()
	defer usage.mu.Unlock()
	if count := usage.counts[clementinewind.Organisation(status.Organisation)]; count != nil {
		status.Queued = int32(queued)
		status.Running = max(count.running-int32(queued), 0)
		status.ServedTokens = count.served
	}
}
