package router

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// listInterval is the time between two looks at the platform's list of instances. The list lags by more than that.
	listInterval = 5 * time.Second
	listTimeout  = 2 * time.Second
)

// instances follows the platform's list of instances. The list lags, so it decides nothing alone: it only confirms that
// a router that no longer answers is gone.
type instances struct {
	mu sync.Mutex
	// listed tells for each instance that was ever listed whether it still is.
	listed map[clementinewind.Instance]bool
}

func newInstances() *instances {
	return &instances{listed: map[clementinewind.Instance]bool{}}
}

// gone reports whether an instance was listed earlier and no longer is.
func (instances *instances) gone(instance clementinewind.Instance) bool {
	instances.mu.Lock()
	defer instances.mu.Unlock()
	listed, known := instances.listed[instance]
	return known && !listed
}

func (instances *instances) set(list []Listed) {
	instances.mu.Lock()
	defer instances.mu.Unlock()
	for instance := range instances.listed {
		instances.listed[instance] = false
	}
	for _, entry := range list {
		instances.listed[entry.Name] = true
	}
}

// followInstances reads the platform's list until ctx ends.
func (router *Router) followInstances(ctx context.Context) error {
	if router.config.Instances == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := router.config.Instances(listCtx)
		cancel()
		if err == nil {
			router.instances.set(list)
		} else {
			router.logger.Debug("instances not listed", "Error", err)
		}
		if err := pause.For(ctx, listInterval); err != nil {
			return err
		}
	}
}
