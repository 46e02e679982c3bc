package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
	"google.golang.org/protobuf/proto"
)

// Size of the fleet that the design targets.
const (
	organisations = 29_000
	upstreams     = 1300
	sessionCount  = 350
)

// targetFleet returns the records of a fleet of the target size.
func targetFleet() *stream {
	changes := []tree.Change{}
	for zone := range 5 {
		changes = append(changes, tree.Change{Section: fmt.Sprintf("Zones.Z%d", zone)})
	}
	for pool := range 5 {
		changes = append(changes, tree.Change{Section: fmt.Sprintf("Pools.P%d", pool)})
	}
	for upstream := range upstreams {
		path := fmt.Sprintf("Pools.P%d.E%d", upstream%5, upstream)
		changes = append(changes, set(path, "Address", fmt.Sprintf("10.0.%d.%d:9000", upstream/250, 1+upstream%250)), set(path, "Zone", fmt.Sprintf("Z%d", upstream%5)))
	}
	for organisation := range organisations {
		path := fmt.Sprintf("Organisations.Customer%d", organisation)
		changes = append(changes, set(path, "Weight", fmt.Sprint(1+organisation%50)), set(path, "MaxRunning", "64"), set(path, "TokenHashes", fmt.Sprintf("%064x", organisation)))
	}
	stream := &stream{}
	stream.append(edit(0, "Root", changes...))
	for session := range sessionCount {
		stream.append(&recordv1.SessionOpened{
			Instance: fmt.Sprint("Instance", session), Zone: "Z1", PeerAddress: "10.1.0.1:7000", CallerAddress: "10.1.0.1:7001",
		})
	}
	return stream
}

func BenchmarkEdit(b *testing.B) {
	stream, replica := targetFleet(), state.New(state.Config{})
	if err := replica.Apply(stream.all()); err != nil {
		b.Fatal(err)
	}
	first := clementinewind.Offset(len(stream.records))
	for i := range b.N {
		path := fmt.Sprintf("Organisations.Customer%d", i%organisations)
		stream.append(edit(first+clementinewind.Offset(i), "Asha", set(path, "Weight", fmt.Sprint(1+i%1000))))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range clementinewind.Offset(b.N) {
		if err := replica.Apply(stream.batch(first+i, first+i+1)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOrganisation(b *testing.B) {
	replica := state.New(state.Config{})
	if err := replica.Apply(targetFleet().all()); err != nil {
		b.Fatal(err)
	}
	settings := replica.View().Tree
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := settings.Organisation(clementinewind.Organisation(fmt.Sprintf("Customer%d", i%organisations))); !ok {
			b.Fatal("organisation is missing")
		}
	}
}

// BenchmarkStart measures a start from a snapshot, and the sizes of the state in memory and of the snapshot.
func BenchmarkStart(b *testing.B) {
	source := state.New(state.Config{})
	if err := source.Apply(targetFleet().all()); err != nil {
		b.Fatal(err)
	}
	data, err := proto.Marshal(source.Snapshot())
	if err != nil {
		b.Fatal(err)
	}
	source = nil
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	before := heap()
	var replica *state.Replica
	for b.Loop() {
		var snapshot recordv1.StateSnapshot
		if err := proto.Unmarshal(data, &snapshot); err != nil {
			b.Fatal(err)
		}
		replica = state.New(state.Config{})
		if err := replica.Restore(&snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((heap()-before)/organisations, "heap-B/organisation")
	b.ReportMetric(float64(len(data))/organisations, "snapshot-B/organisation")
	runtime.KeepAlive(replica)
	runtime.KeepAlive(data)
}
