package member_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// atTargetSize returns a view of 350 sessions and 1,300 upstreams, the target size of the design page.
func atTargetSize(b *testing.B) state.View {
	view := viewOf(350)
	changes := []tree.Change{{Section: "Zones.Z"}, {Section: "Pools.Q"}}
	for upstream := range 1300 {
		path := fmt.Sprintf("Pools.Q.E%d", upstream)
		changes = append(changes, tree.Change{Section: path, Key: "Address", Value: "10.0.0.1:1"}, tree.Change{Section: path, Key: "Zone", Value: "Z"})
	}
	settings, err := tree.Tree{}.WithChanges(changes)
	if err != nil {
		b.Fatal(err)
	}
	view.Tree = settings
	// No session record precedes version 0, and none of these sessions opens below 1000, so nobody waits for an owner.
	view.Version = 0
	for i := range view.Sessions {
		view.Sessions[i].ID += 1000
	}
	return view
}

func BenchmarkMaySend(b *testing.B) {
	keeper, view := lease.New(lease.Config{}), atTargetSize(b)
	keeper.Observe(view)
	keeper.SetSession(1005)
	for _, session := range view.Sessions {
		keeper.Hear(lease.Report{Session: session.ID, Offset: view.Version})
	}
	owned := clementinewind.Upstream("")
	for _, upstream := range view.Tree.AllUpstreams() {
		if owner, _ := keeper.Owner(upstream.Name); owner == 1005 {
			owned = upstream.Name
		}
	}
	keeper.ReadSucceeded(plog.Freshness{Sent: time.Now().Add(time.Hour), Tail: view.Version})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = keeper.MaySend(owned)
		}
	})
}

// BenchmarkObserve measures what an edit costs besides the replica itself.
func BenchmarkObserve(b *testing.B) {
	detector, view := member.New(member.Config{Keeper: lease.New(lease.Config{Neighbours: member.Neighbours})}), atTargetSize(b)
	detector.SetSession(1005)
	detector.Observe(view)
	b.ReportAllocs()
	for b.Loop() {
		view.Version++
		detector.Observe(view)
	}
}

// BenchmarkHeartbeat measures one heartbeat built and one received, and the bytes of both states of the log.
func BenchmarkHeartbeat(b *testing.B) {
	for _, lost := range []bool{false, true} {
		b.Run(fmt.Sprintf("lost=%v", lost), func(b *testing.B) {
			view := atTargetSize(b)
			var sessions []clementinewind.Session
			for _, session := range view.Sessions {
				sessions = append(sessions, session.ID)
			}
			var detectors []*member.Detector
			neighbour := member.Neighbours(sessions, 1000)[0]
			for _, self := range []clementinewind.Session{1000, neighbour} {
				keeper := lease.New(lease.Config{Neighbours: member.Neighbours})
				detector := member.New(member.Config{Keeper: keeper})
				detector.SetSession(self)
				detector.Observe(view)
				view.Version = 1
				detector.Observe(view)
				view.Version = 0
				keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: view.Version})
				detectors = append(detectors, detector)
			}
			first := detectors[0].Heartbeat(neighbour)
			detectors[1].Receive(first)
			second := detectors[1].Heartbeat(1000)
			if lost {
				for _, session := range view.Sessions {
					second.LogLost = append(second.LogLost, &peerv1.LogLost{Session: int64(session.ID)})
				}
			}
			detectors[0].Receive(second)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				heartbeat := detectors[0].Heartbeat(neighbour)
				detectors[1].Receive(heartbeat)
				size = proto.Size(heartbeat)
			}
			b.ReportMetric(float64(size), "B/heartbeat")
		})
	}
}
