package slope

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

const (
	// pollStep is the time between two looks at the version of a router.
	pollStep      = 2 * time.Millisecond
	partitionTime = 30 * time.Second
	editsMeasured = 5
)

// edited is how long an edit took.
type edited struct {
	// inForce is the time until every router has applied the edit, and confirmed the time until the call that waits for
	// that returned.
	inForce, confirmed time.Duration
	// missing is the number of routers that the call could not confirm.
	missing int
}

// edit makes an edit at the first router and waits until it is in force on all.
func (world *world) edit(ctx context.Context, t *testing.T, number int) edited {
	var result edited
	var wait sync.WaitGroup
	started := time.Now()
	accepted := make(chan int64, 1)
	wait.Go(func() {
		defer close(accepted)
		response, err := world.Operator(0).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
			Changes: []*operatorv1.Change{{
				Section: "Organisations.Organisation1", Key: "MaxQueued", Value: fmt.Sprint(1000 + number),
			}},
			Who: "slope", Why: "measurement", Wait: true,
		}))
		if quicktest.Check(t, err, quicktest.IsNil) {
			result.confirmed, result.missing = time.Since(started), len(response.Msg.Missing)
		}
	})
	want := fmt.Sprint("MaxQueued = ", 1000+number)
	var mu sync.Mutex
	for router := range world.Nodes {
		wait.Go(func() {
			for ctx.Err() == nil && !world.hasSetting(ctx, router, want) {
				time.Sleep(pollStep)
			}
			mu.Lock()
			defer mu.Unlock()
			result.inForce = max(result.inForce, time.Since(started))
		})
	}
	wait.Wait()
	return result
}

func (world *world) hasSetting(ctx context.Context, router int, want string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := world.Operator(router).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{
		Section: "Organisations.Organisation1",
	}))
	return err == nil && strings.Contains(response.Msg.Text, want)
}

// BenchmarkEdit reports the longest time of several edits until every router has them in force, and until the call that
// waits for that returns.
func BenchmarkEdit(b *testing.B) {
	for _, routers := range routerCounts {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var longest edited
			runFleet(b, routers, func(t *testing.T, ctx context.Context, world *world) {
				time.Sleep(settleTime)
				for number := range editsMeasured {
					longest = longest.with(world.edit(ctx, t, number))
					time.Sleep(time.Second)
				}
			})
			longest.report(b)
		})
	}
}

// BenchmarkEditAfterPartition makes an edit while one zone is cut off from the other routers and from the log, and
// reports the time from the end of the partition until the edit is in force on every router.
func BenchmarkEditAfterPartition(b *testing.B) {
	for _, routers := range routerCounts {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var healed time.Duration
			runFleet(b, routers, func(t *testing.T, ctx context.Context, world *world) {
				time.Sleep(settleTime)
				world.cutZone(2, true)
				time.Sleep(partitionTime)
				var done edited
				var wait sync.WaitGroup
				wait.Go(func() { done = world.edit(ctx, t, 0) })
				started := time.Now()
				time.Sleep(partitionTime)
				cut := time.Since(started)
				world.cutZone(2, false)
				wait.Wait()
				healed = done.inForce - cut
			})
			b.ReportMetric(healed.Seconds(), "in-force-after-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (longest edited) with(other edited) edited {
	return edited{
		inForce: max(longest.inForce, other.inForce), confirmed: max(longest.confirmed, other.confirmed),
		missing: max(longest.missing, other.missing),
	}
}

func (longest edited) report(b *testing.B) {
	b.ReportMetric(longest.inForce.Seconds(), "in-force-s")
	b.ReportMetric(longest.confirmed.Seconds(), "confirmed-s")
	b.ReportMetric(float64(longest.missing), "unconfirmed-routers")
	b.ReportMetric(0, "ns/op")
}

// cutZone cuts the routers of a zone off from all others and from the log, or heals the network.
func (world *world) cutZone(zone int, cut bool) {
	if !cut {
		world.network.Heal()
	}
	for i, node := range world.Nodes {
		if node.Zone != clementinewind.Zone(demo.ZoneName(zone)) {
			continue
		}
		world.tapLog(node.Name).(*tappedLog).setCut(cut)
		for j, other := range world.Nodes {
			if cut && i != j && other.Zone != node.Zone {
				here, there := world.host(string(node.Name)), world.host(string(other.Name))
				world.network.SetFaults(here, there, stand.LinkFaults{Cut: true})
				world.network.SetFaults(there, here, stand.LinkFaults{Cut: true})
			}
		}
	}
}
