package slope

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// The target size of docs/design.md.
const (
	targetRouters       = 350
	targetUpstreams     = 1300
	targetOrganisations = 29_000
	targetPools         = 5
	targetZones         = 5
	// changesPerEdit splits the initial settings into several edits, so that each record stays small.
	changesPerEdit = 500
)

// size holds the number of entries of each kind in a control stream.
type size struct{ organisations, upstreams, sessions int }

var target = size{organisations: targetOrganisations, upstreams: targetUpstreams, sessions: targetRouters}

// stream builds a control stream with the records that operators and routers write. All records have the same writer.
type stream struct {
	b       *testing.B
	records []clementinewind.Record
}

func (stream *stream) append(record *recordv1.ControlRecord) clementinewind.Offset {
	payload, err := proto.Marshal(record)
	quicktest.Assert(stream.b, err, quicktest.IsNil)
	offset := clementinewind.Offset(len(stream.records))
	stream.records = append(stream.records, clementinewind.Record{
		Writer: 1, Sequence: uint64(offset) + 1, Payload: payload, Time: time.UnixMilli(int64(offset)),
	})
	return offset
}

func (stream *stream) edit(changes ...tree.Change) {
	stream.append(&recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{Edit: &recordv1.Edit{
		Against: int64(len(stream.records)), Who: "slope", Why: "measurement", Changes: state.ChangesToProto(changes),
	}}})
}

func (stream *stream) openSession(instance string, zone int, peerAddress string) clementinewind.Offset {
	return stream.append(&recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionOpened{
		SessionOpened: &recordv1.SessionOpened{
			Instance: instance, Zone: zoneName(zone), PeerAddress: peerAddress, CallerAddress: peerAddress,
		},
	}})
}

func (stream *stream) batch(from int) clementinewind.LogBatch {
	return clementinewind.LogBatch{
		Records: stream.records[from:], First: clementinewind.Offset(from), Tail: clementinewind.Offset(len(stream.records)),
	}
}

func zoneName(number int) string { return fmt.Sprint("Zone", number%targetZones) }

func organisationName(number int) string { return fmt.Sprint("Organisation", number) }

func upstreamSection(number int) string {
	return fmt.Sprintf("Pools.Model%d.Engine%d", number%targetPools, number)
}

// settingsOf returns the settings of a fleet of a size. Each organisation has its own weight and limit.
func settingsOf(size size) []tree.Change {
	var changes []tree.Change
	set := func(section, key, value string) {
		changes = append(changes, tree.Change{Section: section, Key: key, Value: value})
	}
	for zone := range targetZones {
		set("Zones."+zoneName(zone), "InService", "true")
	}
	for pool := range targetPools {
		set(fmt.Sprint("Pools.Model", pool), "MaxLimit", "64")
	}
	for upstream := range size.upstreams {
		set(upstreamSection(upstream), "Address", fmt.Sprintf("10.%d.%d.1:8000", 1+upstream/250, upstream%250))
		set(upstreamSection(upstream), "Zone", zoneName(upstream))
	}
	for organisation := range size.organisations {
		set("Organisations."+organisationName(organisation), "Weight", fmt.Sprint(1+organisation%9))
		set("Organisations."+organisationName(organisation), "MaxRunning", "64")
	}
	return changes
}

// newStream returns the control stream of a fleet of a size.
func newStream(b *testing.B, size size) *stream {
	stream := &stream{b: b}
	changes := settingsOf(size)
	for len(changes) > 0 {
		count := min(changesPerEdit, len(changes))
		stream.edit(changes[:count]...)
		changes = changes[count:]
	}
	for session := range size.sessions {
		stream.openSession(fmt.Sprint("Router", session), session, fmt.Sprintf("10.200.%d.%d:7001", session/250, session%250))
	}
	return stream
}

func newReplica(b *testing.B, stream *stream) *state.Replica {
	replica := state.New(state.Config{})
	quicktest.Assert(b, replica.Apply(stream.batch(0)), quicktest.IsNil)
	return replica
}

// heapBytes returns the size of the live objects on the heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// retainedBytes returns the heap memory that the result of a function retains.
func retainedBytes(build func() any) float64 {
	before := heapBytes()
	held := build()
	after := heapBytes()
	runtime.KeepAlive(held)
	return after - before
}

// meanMicros returns the mean duration of a function in microseconds over several calls.
func meanMicros(calls int, run func(call int)) float64 {
	runtime.GC()
	start := time.Now()
	for call := range calls {
		run(call)
	}
	return float64(time.Since(start).Microseconds()) / float64(calls)
}
