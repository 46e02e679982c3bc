package state_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// stream builds a control stream.
type stream struct {
	records []clementinewind.Record
}

func (stream *stream) append(body any) clementinewind.Offset {
	var message recordv1.ControlRecord
	switch body := body.(type) {
	case *recordv1.Edit:
		message.Body = &recordv1.ControlRecord_Edit{Edit: body}
	case *recordv1.SessionOpened:
		message.Body = &recordv1.ControlRecord_SessionOpened{SessionOpened: body}
	case *recordv1.SessionClosed:
		message.Body = &recordv1.ControlRecord_SessionClosed{SessionClosed: body}
	case *recordv1.SessionExpired:
		message.Body = &recordv1.ControlRecord_SessionExpired{SessionExpired: body}
	}
	payload, err := proto.Marshal(&message)
	if err != nil {
		panic(err)
	}
	offset := clementinewind.Offset(len(stream.records))
	stream.records = append(stream.records, clementinewind.Record{
		Writer: 1, Sequence: uint64(offset) + 1, Payload: payload, Time: time.UnixMilli(int64(offset) * 1000),
	})
	return offset
}

func (stream *stream) batch(first, next clementinewind.Offset) clementinewind.LogBatch {
	return clementinewind.LogBatch{Records: stream.records[first:next], First: first, Tail: clementinewind.Offset(len(stream.records))}
}

func (stream *stream) all() clementinewind.LogBatch {
	return stream.batch(0, clementinewind.Offset(len(stream.records)))
}

func edit(against clementinewind.Offset, who string, changes ...tree.Change) *recordv1.Edit {
	return &recordv1.Edit{Against: int64(against), Who: who, Why: "test", Changes: state.ChangesToProto(changes)}
}

func set(section, key, value string) tree.Change {
	return tree.Change{Section: section, Key: key, Value: value}
}

func unset(section, key string) tree.Change {
	return tree.Change{Section: section, Key: key, Unset: true}
}

// Guards against an edit that silently overwrites one that its author has not seen, and against a false conflict.
func TestConflictingEdits(t *testing.T) {
	start := []tree.Change{set("Organisations.A", "Weight", "2"), set("Organisations.A.B", "Weight", "3")}
	tests := map[string]struct {
		first, second tree.Change
		conflict      string
	}{
		"same key":            {set("Organisations.A", "Weight", "5"), set("Organisations.A", "Weight", "6"), `\[Organisations.A\] Weight was changed at version 2 by Asha \(test\)`},
		"same key unset":      {unset("Organisations.A", "Weight"), set("Organisations.A", "Weight", "6"), `.* Weight was changed at version 2 by Asha .*`},
		"other key":           {set("Organisations.A", "Weight", "5"), set("Organisations.A", "MaxQueued", "6"), ""},
		"other section":       {set("Organisations.A", "Weight", "5"), set("Organisations.A.B", "Weight", "6"), ""},
		"section removed":     {unset("Organisations.A", ""), set("Organisations.A", "MaxQueued", "6"), `.* MaxQueued was changed at version 2 .*`},
		"parent removed":      {unset("Organisations.A", ""), set("Organisations.A.B", "Weight", "6"), `.* Weight was changed at version 2 .*`},
		"removal after edit":  {set("Organisations.A.B", "MaxQueued", "6"), unset("Organisations.A", ""), `\[Organisations.A\] was changed at version 2 .*`},
		"removal of another":  {set("Organisations.A", "MaxQueued", "6"), unset("Organisations.A.B", ""), ""},
		"not valid":           {set("Organisations.A", "Weight", "5"), set("Organisations.A", "MaxQueued", "many"), `the edit is not valid:\n.*MaxQueued.*`},
		"section added twice": {set("Organisations.C", "", ""), set("Organisations.C", "", ""), `\[Organisations.C\] was changed at version 2 .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stream stream
			stream.append(edit(0, "Root", start...))
			stream.append(edit(1, "Asha", test.first))
			second := stream.append(edit(1, "Ravi", test.second))
			replica := state.New(state.Config{})
			quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
			result, ok := replica.EditResult(second)
			quicktest.Assert(t, ok, quicktest.IsTrue)
			quicktest.Assert(t, result.Accepted, quicktest.Equals, test.conflict == "")
			quicktest.Assert(t, result.Conflict, quicktest.Matches, "(?s)"+test.conflict)
			// The same edit based on the current version is no conflict.
			third := stream.append(edit(3, "Ravi", test.second))
			quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
			result, _ = replica.EditResult(third)
			quicktest.Assert(t, strings.Contains(result.Conflict, "was changed"), quicktest.IsFalse)
			quicktest.Assert(t, replica.View().History("Organisations", 0), quicktest.HasLen, 4)
		})
	}
}

// Guards against an accepted edit whose base version does not exist yet, or is older than the versions that are kept.
func TestEditBaseOutsideWindow(t *testing.T) {
	var stream stream
	stream.append(edit(5, "Asha", set("Organisations.A", "Weight", "5")))
	for range 10_100 {
		stream.append(&recordv1.SessionClosed{})
	}
	last := stream.append(edit(3, "Asha", set("Organisations.A", "Weight", "5")))
	replica := state.New(state.Config{})
	quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
	for offset, want := range map[clementinewind.Offset]string{0: "does not exist", last: "more than 10000 records old"} {
		result, _ := replica.EditResult(offset)
		quicktest.Assert(t, result.Accepted, quicktest.IsFalse)
		quicktest.Assert(t, result.Conflict, quicktest.Contains, want)
	}
}

// Guards against a record that takes effect twice because the append was retried after its reply was lost.
func TestDuplicateRecord(t *testing.T) {
	var stream stream
	stream.append(&recordv1.SessionOpened{Instance: "I1"})
	stream.records = append(stream.records, stream.records[0])
	replica := state.New(state.Config{})
	quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
	quicktest.Assert(t, replica.View().Sessions, quicktest.HasLen, 1)
}

// Guards against ended sessions that become live again, and against an expired router that expires others.
func TestSessionLifecycle(t *testing.T) {
	var stream stream
	first := stream.append(&recordv1.SessionOpened{Instance: "I1"})
	second := stream.append(&recordv1.SessionOpened{Instance: "I2"})
	third := stream.append(&recordv1.SessionOpened{Instance: "I3"})
	expired := stream.append(&recordv1.SessionExpired{Session: int64(first), By: int64(second)})
	stream.append(&recordv1.SessionExpired{Session: int64(second), By: int64(first)})
	closed := stream.append(&recordv1.SessionClosed{Session: int64(third)})
	replica := state.New(state.Config{})
	changed := replica.Changed()
	quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
	<-changed
	view := replica.View()
	quicktest.Assert(t, view.Sessions, quicktest.HasLen, 1)
	quicktest.Assert(t, view.Sessions[0].Instance, quicktest.Equals, clementinewind.Instance("I2"))
	quicktest.Assert(t, view.MembershipOffset, quicktest.Equals, closed)
	quicktest.Assert(t, view.Ended, quicktest.HasLen, 2)
	quicktest.Assert(t, view.Ended[0].Offset == expired && !view.Ended[0].Closed && view.Ended[1].Closed, quicktest.IsTrue)
	stream.append(&recordv1.SessionOpened{Instance: "I2"})
	quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
	quicktest.Assert(t, replica.View().Sessions, quicktest.HasLen, 1)
	quicktest.Assert(t, replica.View().Ended[2].Replaced, quicktest.IsTrue)
	quicktest.Assert(t, replica.Apply(stream.batch(0, 2)), quicktest.IsNil)
	quicktest.Assert(t, replica.View().Version, quicktest.Equals, closed+2)
	gap := clementinewind.LogBatch{First: closed + 3, Records: stream.records[:1]}
	quicktest.Assert(t, replica.Apply(gap), quicktest.ErrorIs, state.ErrGap)
}

// drawBody draws a record over few names, so that conflicts are frequent.
func drawBody(t *rapid.T, next int) any {
	section := rapid.SampledFrom([]string{"Organisations.A", "Organisations.A.B", "Zones.Z", "Organisations"}).Draw(t, "section")
	key := rapid.SampledFrom([]string{"", "Weight", "InService"}).Draw(t, "key")
	against := clementinewind.Offset(rapid.IntRange(max(0, next-4), next).Draw(t, "against"))
	session := int64(rapid.IntRange(0, next).Draw(t, "session"))
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		return &recordv1.SessionOpened{Instance: fmt.Sprint("I", next%5)}
	case 2:
		return &recordv1.SessionClosed{Session: session}
	case 3:
		return &recordv1.SessionExpired{Session: session, By: int64(rapid.IntRange(0, next).Draw(t, "by"))}
	case 4:
		return edit(against, "Asha", unset(section, key))
	default:
		return edit(against, "Ravi", set(section, key, map[string]string{"Weight": fmt.Sprint(next + 1), "InService": "false"}[key]))
	}
}

// Guards against replicas that differ because one started from a snapshot, read other batches or read duplicates, and
// against a version that decreases.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream stream
		length := rapid.IntRange(1, 40).Draw(t, "records")
		for next := range length {
			stream.append(drawBody(t, next))
			if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
				stream.records = append(stream.records, stream.records[rapid.IntRange(0, len(stream.records)-1).Draw(t, "which")])
			}
		}
		next := clementinewind.Offset(len(stream.records))
		whole := state.New(state.Config{})
		if err := whole.Apply(stream.all()); err != nil {
			t.Fatal(err)
		}
		split := clementinewind.Offset(rapid.IntRange(1, int(next)).Draw(t, "split"))
		early, late := state.New(state.Config{}), state.New(state.Config{})
		if err := early.Apply(stream.batch(0, split)); err != nil {
			t.Fatal(err)
		}
		if err := late.Restore(early.Snapshot()); err != nil {
			t.Fatal(err)
		}
		for _, replica := range []*state.Replica{early, late} {
			for at := split; at < next; at++ {
				from := clementinewind.Offset(rapid.IntRange(0, int(at)).Draw(t, "from"))
				if err := replica.Apply(stream.batch(from, at+1)); err != nil {
					t.Fatal(err)
				}
			}
			if !proto.Equal(replica.Snapshot(), whole.Snapshot()) {
				t.Fatalf("replicas differ:\n%v\n%v", replica.Snapshot(), whole.Snapshot())
			}
			if err := replica.Restore(early.Snapshot()); replica.View().Version < next || err == nil {
				t.Fatalf("version fell to %d: %v", replica.View().Version, err)
			}
		}
	})
}

// filledReplica returns a replica whose snapshot has several chunks.
func filledReplica(t *testing.T, organisations int) *state.Replica {
	t.Helper()
	var changes []tree.Change
	for i := range organisations {
		changes = append(changes, set(fmt.Sprintf("Organisations.O%d", i), "Weight", fmt.Sprint(1+i%1000)))
	}
	var stream stream
	stream.append(edit(0, "Root", changes...))
	replica := state.New(state.Config{})
	quicktest.Assert(t, replica.Apply(stream.all()), quicktest.IsNil)
	return replica
}

// Guards against a start from an incomplete, corrupt or outdated snapshot, and against finding none after a truncation.
func TestReadSnapshotSkipsInvalid(t *testing.T) {
	ctx := context.Background()
	log := stand.NewLog()
	_, err := state.ReadSnapshot(ctx, log)
	quicktest.Assert(t, err, quicktest.ErrorIs, state.ErrNoSnapshot)

	old, recent := filledReplica(t, 2000), filledReplica(t, 3000)
	snapshot := recent.Snapshot()
	snapshot.Covers = 7
	quicktest.Assert(t, state.WriteSnapshot(ctx, log, snapshot), quicktest.IsNil)
	quicktest.Assert(t, state.WriteSnapshot(ctx, log, old.Snapshot()), quicktest.IsNil)
	written, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.SnapshotStream})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(written.Records) > 4, quicktest.IsTrue)

	// A newer snapshot without its last chunk, and one with a corrupt chunk.
	snapshot.Covers = 9
	scratch := stand.NewLog()
	quicktest.Assert(t, state.WriteSnapshot(ctx, scratch, snapshot), quicktest.IsNil)
	newer, err := scratch.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.SnapshotStream})
	quicktest.Assert(t, err, quicktest.IsNil)
	incomplete := newer.Records[:len(newer.Records)-1]
	var corrupt []clementinewind.Record
	for i, record := range newer.Records {
		record.Writer = rand.Uint64()
		if corrupt != nil {
			record.Writer = corrupt[0].Writer
		}
		if i == 1 {
			record.Payload = append([]byte(nil), record.Payload...)
			record.Payload[chunkMiddle] ^= 1
		}
		corrupt = append(corrupt, record)
	}
	for _, records := range [][]clementinewind.Record{incomplete, corrupt, written.Records[1:2], {{Payload: []byte("junk")}}} {
		_, err := log.Append(ctx, clementinewind.SnapshotStream, records)
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	log.Truncate(clementinewind.SnapshotStream, 0)
	found, err := state.ReadSnapshot(ctx, log)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, found.GetCovers(), quicktest.Equals, int64(7))

	// Retention drops the first chunk of the newest snapshot, so the older one is used.
	log.Truncate(clementinewind.SnapshotStream, 1)
	found, err = state.ReadSnapshot(ctx, log)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, proto.Equal(found, old.Snapshot()), quicktest.IsTrue)
}

// chunkMiddle is a position inside the data of a chunk.
const chunkMiddle = state.ChunkSize / 2

// Guards against a start that misses the newest records, and against one that succeeds although records are missing.
func TestCatchUp(t *testing.T) {
	ctx := context.Background()
	var stream stream
	for i := range 30 {
		stream.append(edit(clementinewind.Offset(i), "Asha", set("Organisations.A", "Weight", fmt.Sprint(i+1))))
	}
	log := stand.NewLog()
	_, err := log.Append(ctx, clementinewind.ControlStream, stream.records[:20])
	quicktest.Assert(t, err, quicktest.IsNil)
	first := state.New(state.Config{})
	freshness, err := state.CatchUp(ctx, log, first)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, freshness.Tail, quicktest.Equals, clementinewind.Offset(20))
	quicktest.Assert(t, state.WriteSnapshot(ctx, log, first.Snapshot()), quicktest.IsNil)
	_, err = log.Append(ctx, clementinewind.ControlStream, stream.records[20:])
	quicktest.Assert(t, err, quicktest.IsNil)
	log.Truncate(clementinewind.ControlStream, 15)

	second := state.New(state.Config{})
	_, err = state.CatchUp(ctx, log, second)
	quicktest.Assert(t, err, quicktest.IsNil)
	organisation, _ := second.View().Tree.Organisation("A")
	quicktest.Assert(t, organisation.Weight, quicktest.Equals, 30.0)
	log.Truncate(clementinewind.ControlStream, 25)
	_, err = state.CatchUp(ctx, log, state.New(state.Config{}))
	quicktest.Assert(t, err, quicktest.ErrorIs, clementinewind.ErrTruncated)
}
