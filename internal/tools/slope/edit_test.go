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
	// pollInterval is the time between two checks of the settings of a router.
	pollInterval  = 2 * time.Millisecond
	partitionTime = 30 * time.Second
	editsMeasured = 5
)

// editTimes holds the times that an edit took.
type editTimes struct {
	// inForce is the time until every router has applied the edit, and confirmed the time until the SetSettings call
	// returned, which waits for all routers.
	inForce, confirmed time.Duration
	// missing is the number of routers that the call did not confirm.
	missing int
}

// edit makes an edit at the first router and waits until it is in force on all.
func (tappedFleet *tappedFleet) edit(ctx context.Context, t *testing.T, number int) editTimes {
	var result editTimes
	var wait sync.WaitGroup
	started := time.Now()
	accepted := make(chan int64, 1)
	wait.Go(func() {
		defer close(accepted)
		response, err := tappedFleet.Operator(0).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
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
	for router := range tappedFleet.Nodes {
		wait.Go(func() {
			for ctx.Err() == nil && !tappedFleet.hasSetting(ctx, router, want) {
				time.Sleep(pollInterval)
			}
			mu.Lock()
			defer mu.Unlock()
			result.inForce = max(result.inForce, time.Since(started))
		})
	}
	wait.Wait()
	return result
}

func (tappedFleet *tappedFleet) hasSetting(ctx context.Context, router int, want string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := tappedFleet.Operator(router).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{
		Section: "Organisations.Organisation1",
	}))
	return err == nil && strings.Contains(response.Msg.Text, want)
}

// BenchmarkEdit reports the longest times, over several edits, until every router has applied an edit and until the
// SetSettings call that waits for them returns.
func BenchmarkEdit(b *testing.B) {
	for _, routers := range routerCounts {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var longest editTimes
			runFleet(b, routers, func(t *testing.T, ctx context.Context, tappedFleet *tappedFleet) {
				time.Sleep(settleTime)
				for number := range editsMeasured {
					longest = longest.maxOf(tappedFleet.edit(ctx, t, number))
					time.Sleep(time.Second)
				}
			})
			longest.report(b)
		})
	}
}

// BenchmarkEditAfterPartition makes an edit while one zone is partitioned from the other routers and from the log. It
// reports the time from the end of the partition until every router has applied the edit.
func BenchmarkEditAfterPartition(b *testing.B) {
	for _, routers := range routerCounts {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			var healed time.Duration
			runFleet(b, routers, func(t *testing.T, ctx context.Context, tappedFleet *tappedFleet) {
				time.Sleep(settleTime)
				tappedFleet.cutZone(2, true)
				time.Sleep(partitionTime)
				var done editTimes
				var wait sync.WaitGroup
				wait.Go(func() { done = tappedFleet.edit(ctx, t, 0) })
				started := time.Now()
				time.Sleep(partitionTime)
				cut := time.Since(started)
				tappedFleet.cutZone(2, false)
				wait.Wait()
				healed = done.inForce - cut
			})
			b.ReportMetric(healed.Seconds(), "in-force-after-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (longest editTimes) maxOf(other editTimes) editTimes {
	return editTimes{
		inForce: max(longest.inForce, other.inForce), confirmed: max(longest.confirmed, other.confirmed),
		missing: max(longest.missing, other.missing),
	}
}

func (longest editTimes) report(b *testing.B) {
	b.ReportMetric(longest.inForce.Seconds(), "in-force-s")
	b.ReportMetric(longest.confirmed.Seconds(), "confirmed-s")
	b.ReportMetric(float64(longest.missing), "unconfirmed-routers")
	b.ReportMetric(0, "ns/op")
}

// cutZone partitions the routers of a zone from all others and from the log, or heals the partition.
func (tappedFleet *tappedFleet) cutZone(zone int, cut bool) {
	if !cut {
		tappedFleet.network.Heal()
	}
	for i, node := range tappedFleet.Nodes {
		if node.Zone != clementinewind.Zone(demo.ZoneName(zone)) {
			continue
		}
		tappedFleet.tapLog(node.Name).(*tappedLog).setCut(cut)
		for j, other := range tappedFleet.Nodes {
			if cut && i != j && other.Zone != node.Zone {
				here, there := tappedFleet.host(string(node.Name)), tappedFleet.host(string(other.Name))
				tappedFleet.network.SetFaults(here, there, stand.LinkFaults{Cut: true})
				tappedFleet.network.SetFaults(there, here, stand.LinkFaults{Cut: true})
			}
		}
	}
}
