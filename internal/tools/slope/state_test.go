package slope

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/share/place"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// growth holds, for each kind of entry, a size without entries of the kind and a size with the target number of them.
var growth = map[string]struct {
	count      int
	base, full size
}{
	"organisation": {targetOrganisations, size{0, 10, 1}, size{targetOrganisations, 10, 1}},
	"upstream":     {targetUpstreams, size{10, 0, 1}, size{10, targetUpstreams, 1}},
	"session":      {targetRouters, size{10, 10, 0}, size{10, 10, targetRouters}},
}

// BenchmarkReplica reports, for each kind of entry, the memory of one entry in the replica and the time to apply its
// records. The memory includes the history of edits, until that is full.
func BenchmarkReplica(b *testing.B) {
	for part, growth := range growth {
		b.Run(part, func(b *testing.B) {
			base, full := newStream(b, growth.base), newStream(b, growth.full)
			measure := func(stream *stream) (float64, float64) {
				var micros float64
				bytes := retainedBytes(func() any {
					var replica *state.Replica
					micros = meanMicros(1, func(int) { replica = newReplica(b, stream) })
					return replica
				})
				return bytes, micros
			}
			baseBytes, baseMicros := measure(base)
			fullBytes, fullMicros := measure(full)
			b.ReportMetric((fullBytes-baseBytes)/float64(growth.count), "B/"+part)
			b.ReportMetric((fullMicros-baseMicros)/float64(growth.count), "µs/"+part)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkApply reports the time in which the replica applies one record at the target size.
func BenchmarkApply(b *testing.B) {
	stream := newStream(b, target)
	var bytes float64
	var replica *state.Replica
	bytes = retainedBytes(func() any { replica = newReplica(b, stream); return replica })
	b.ReportMetric(bytes/1e6, "replica-MB")
	for name, record := range map[string]func(call int){
		"organisation-edit": func(call int) {
			stream.edit(tree.Change{Section: "Organisations." + organisationName(call), Key: "Weight", Value: "3"})
		},
		"zone-edit": func(call int) {
			stream.edit(tree.Change{Section: "Zones.Zone1", Key: "InService", Value: fmt.Sprint(call%2 == 0)})
		},
		"upstream-edit": func(call int) {
			stream.edit(tree.Change{Section: upstreamSection(call), Key: "InService", Value: fmt.Sprint(call%2 == 0)})
		},
		"session-record": func(call int) { stream.openSession(fmt.Sprint("Router", call), call, "10.200.0.9:7001") },
	} {
		b.ReportMetric(meanMicros(100, func(call int) {
			record(call)
			quicktest.Assert(b, replica.Apply(stream.batch(len(stream.records)-1)), quicktest.IsNil)
		}), "µs/"+name)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSnapshot reports the size of a snapshot at the target size, and the time to create it, to write it, and to
// start from it.
func BenchmarkSnapshot(b *testing.B) {
	replica := newReplica(b, newStream(b, target))
	log := stand.NewLog()
	var snapshot *recordv1.StateSnapshot
	b.ReportMetric(meanMicros(3, func(int) { snapshot = replica.Snapshot() })/1000, "make-ms")
	b.ReportMetric(float64(proto.Size(snapshot))/1e6, "MB")
	b.ReportMetric(meanMicros(1, func(int) {
		quicktest.Assert(b, state.WriteSnapshot(context.Background(), log, snapshot), quicktest.IsNil)
	})/1000, "write-ms")
	b.ReportMetric(meanMicros(3, func(int) {
		read, err := state.ReadSnapshot(context.Background(), log)
		quicktest.Assert(b, err, quicktest.IsNil)
		quicktest.Assert(b, state.New(state.Config{}).Restore(read), quicktest.IsNil)
	})/1000, "start-ms")
	b.ReportMetric(0, "ns/op")
}

func sessionsOf(view state.View) []clementinewind.Session {
	sessions := make([]clementinewind.Session, len(view.Sessions))
	for i, session := range view.Sessions {
		sessions[i] = session.ID
	}
	return sessions
}

// BenchmarkAssignment reports the time of each step of an assignment at the target size: the owners of all upstreams,
// the settings of all upstreams, and the weights of all organisations. It also reports the time to locate the routers
// of one organisation.
func BenchmarkAssignment(b *testing.B) {
	view := newReplica(b, newStream(b, target)).View()
	ring := place.New(place.Config[state.Session]{
		Members: view.Sessions,
		ID:      func(session state.Session) uint64 { return uint64(session.ID) },
		Zone:    func(session state.Session) string { return string(session.Zone) },
	})
	upstreams := view.Tree.AllUpstreams()
	b.ReportMetric(meanMicros(5, func(int) {
		for _, upstream := range upstreams {
			ring.Owner(string(upstream.Name))
		}
	})/1000, "owners-ms")
	edited := func(section, key string) func(call int) tree.Tree {
		return func(call int) tree.Tree {
			changed, err := view.Tree.WithChanges([]tree.Change{{Section: section, Key: key, Value: fmt.Sprint(2 + call)}})
			quicktest.Assert(b, err, quicktest.IsNil)
			return changed
		}
	}
	pool, organisation := edited("Pools.Model0", "MaxLimit"), edited("Organisations."+organisationName(0), "Weight")
	b.ReportMetric(meanMicros(5, func(call int) { organisation(call).AllUpstreams() })/1000, "upstreams-ms/organisation-edit")
	b.ReportMetric(meanMicros(5, func(call int) { pool(call).AllUpstreams() })/1000, "upstreams-ms/pool-edit")
	b.ReportMetric(meanMicros(5, func(call int) { organisation(call).TotalWeight() })/1000, "weights-ms/organisation-edit")
	b.ReportMetric(meanMicros(1000, func(call int) { ring.TopAcrossZones(organisationName(call), 3) }), "µs/locate")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkKeeper reports the memory of the lease keeper at the target size, the time to observe an edit and a session
// record, and the time of the check that precedes each send.
func BenchmarkKeeper(b *testing.B) {
	stream := newStream(b, target)
	replica := newReplica(b, stream)
	view := replica.View()
	var keeper *lease.Keeper
	b.ReportMetric(retainedBytes(func() any {
		keeper = lease.New(lease.Config{Neighbours: member.Neighbours})
		keeper.SetSession(view.Sessions[0].ID)
		keeper.Observe(view)
		return keeper
	})/1e6, "MB")
	next := func(record func(call int)) func(call int) {
		return func(call int) {
			record(call)
			quicktest.Assert(b, replica.Apply(stream.batch(len(stream.records)-1)), quicktest.IsNil)
			keeper.Observe(replica.View())
		}
	}
	b.ReportMetric(meanMicros(5, next(func(call int) {
		stream.edit(tree.Change{Section: "Organisations." + organisationName(call), Key: "Weight", Value: "3"})
	}))/1000, "ms/edit")
	b.ReportMetric(meanMicros(5, next(func(call int) {
		stream.openSession(fmt.Sprint("Router", 100+call), call, "10.200.0.9:7001")
	}))/1000, "ms/session-record")
	keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: replica.View().Version})
	upstream := view.Tree.AllUpstreams()[0].Name
	b.ReportMetric(meanMicros(100_000, func(int) { _ = keeper.MaySend(upstream) })*1000, "ns/check")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDetector reports the memory of the membership failure detector at the target size, the number of heartbeats
// that it sends, and the time to build a heartbeat, to process one, and to list expirable sessions.
func BenchmarkDetector(b *testing.B) {
	stream := newStream(b, target)
	replica := newReplica(b, stream)
	view := replica.View()
	var keeper *lease.Keeper
	var detector *member.Detector
	keeperBytes := retainedBytes(func() any {
		keeper = lease.New(lease.Config{Neighbours: member.Neighbours})
		keeper.Observe(view)
		return keeper
	})
	self := view.Sessions[0].ID
	b.ReportMetric(retainedBytes(func() any {
		detector = member.New(member.Config{Keeper: keeper})
		detector.SetSession(self)
		detector.Observe(view)
		for _, session := range view.Sessions {
			detector.Heartbeat(session.ID)
		}
		return detector
	})/1e6, "MB")
	b.ReportMetric(keeperBytes/1e6, "keeper-MB")
	neighbours := member.Neighbours(sessionsOf(view), self)
	b.ReportMetric(float64(len(neighbours)), "neighbours")
	sent := 0
	for _, session := range view.Sessions {
		if detector.Heartbeat(session.ID) != nil {
			sent++
		}
	}
	b.ReportMetric(float64(sent), "heartbeats-sent/s")
	b.ReportMetric(meanMicros(10_000, func(call int) { detector.Heartbeat(neighbours[call%len(neighbours)]) }), "µs/heartbeat-sent")
	b.ReportMetric(meanMicros(10_000, func(call int) {
		detector.Receive(&peerv1.Heartbeat{
			Session: int64(neighbours[call%len(neighbours)]), Sequence: uint64(call + 1), Echo: 1,
			Offset: int64(view.Version), FreshAgeMillis: 100,
		})
	}), "µs/heartbeat-taken")
	b.ReportMetric(meanMicros(1000, func(int) { detector.Expirable() }), "µs/expirable")
	b.ReportMetric(0, "ns/op")
}
