package router

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// loads asks the model engines that this router owns for their load reports, with one goroutine for each.
type loads struct {
	router *Router

	mu      sync.Mutex
	polls   map[clementinewind.Upstream]*poll
	booted  map[clementinewind.Upstream]string
	waiting sync.WaitGroup
}

type poll struct {
	address string
	stop    context.CancelFunc
}

func newLoads(router *Router) *loads {
	return &loads{router: router, polls: map[clementinewind.Upstream]*poll{}, booted: map[clementinewind.Upstream]string{}}
}

// set replaces the upstreams to ask. Plain services have no load reports.
func (loads *loads) set(owned []tree.Upstream, settings tree.Tree) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	if loads.router.ctx.Err() != nil {
		return
	}
	wanted := map[clementinewind.Upstream]string{}
	for _, upstream := range owned {
		if pool, ok := settings.Pool(upstream.Pool); ok && pool.Kind == clementinewind.PoolModel {
			wanted[upstream.Name] = upstream.Address.String()
		}
	}
	for upstream, poll := range loads.polls {
		if wanted[upstream] != poll.address {
			poll.stop()
			delete(loads.polls, upstream)
			delete(loads.booted, upstream)
		}
	}
	for upstream, address := range wanted {
		if loads.polls[upstream] == nil {
			ctx, cancel := context.WithCancel(loads.router.ctx)
			loads.polls[upstream] = &poll{address: address, stop: cancel}
			loads.waiting.Go(func() { loads.run(ctx, upstream, address) })
		}
	}
}

func (loads *loads) run(ctx context.Context, upstream clementinewind.Upstream, address string) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var sequence int64
	for {
		sequence = loads.ask(ctx, upstream, address, sequence)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask passes one load report on and returns the sequence of its newest cache event.
func (loads *loads) ask(ctx context.Context, upstream clementinewind.Upstream, address string, sequence int64) int64 {
	report, err := loads.router.models.Load(ctx, address, sequence)
	if err != nil {
		loads.router.logger.Debug("no load report", "Upstream", upstream, "Error", err)
		return sequence
	}
	if loads.boot(upstream, report.BootID) {
		// Sequences start again with the engine, and an engine that just started is cold.
		sequence = 0
	}
	loads.router.owner.Report(upstream, admit.Load{
		Boot: report.BootID, Running: report.Running, Queued: report.Waiting, CachedTokens: -1,
	})
	for _, event := range report.Events {
		sequence = max(sequence, event.Sequence)
	}
	return sequence
}

// boot notes the boot id of an upstream and reports whether it differs from the last one.
func (loads *loads) boot(upstream clementinewind.Upstream, bootID string) bool {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	last, known := loads.booted[upstream]
	if bootID == "" || last == bootID {
		return false
	}
	loads.booted[upstream] = bootID
	return known
}

// observeBoot takes the boot id that came with an answer, which is newer than that of any load report.
func (router *Router) observeBoot(upstream clementinewind.Upstream, bootID string) {
	if router.loads.boot(upstream, bootID) {
		router.owner.Cool(upstream, admit.SignBoot)
	}
}

// close stops all requests for load reports.
func (loads *loads) close() {
	loads.mu.Lock()
	for _, poll := range loads.polls {
		poll.stop()
	}
	loads.mu.Unlock()
	loads.waiting.Wait()
}
