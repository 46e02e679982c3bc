package state

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/wire/recordv1"
)

const (
	// writerLifetime is how long the sequence number of a writer is kept after its last record. A writer retries for far
	// less than a day.
	writerLifetime = 24 * time.Hour
	// maxEdits and maxChanges bound the history. The newest edit is kept whatever its size.
	maxEdits   = 2000
	maxChanges = 20_000
	// maxEnded is more than the sessions that end while one reader of the view is between two looks.
	maxEnded = 1024
	// maxRecent bounds the pairs of writer and sequence for which the offset is known.
	maxRecent = 4096
	// pruneInterval is the number of records between two removals of versions that are no longer needed.
	pruneInterval = 1000
)

// ErrGap is returned for a batch that starts above the version of the replica.
var ErrGap = errors.New("control records are missing before the batch")

// Config is the configuration of a Replica.
type Config struct {
	// Observe, if set, is called for every record that is not a repetition, in order, by the goroutine that applies it.
	// It must not call the replica.
	Observe func(Applied)
}

// Applied is a record that a replica has applied.
type Applied struct {
	Offset clementinewind.Offset
	Time   time.Time
	Record *recordv1.ControlRecord
	// Accepted reports whether the record took effect, and Conflict tells why it did not.
	Accepted bool
	Conflict string
}

// Result is the verdict on an edit.
type Result struct {
	// Version is the first version that includes the edit.
	Version  clementinewind.Offset
	Accepted bool
	// Conflict describes the edit that won, or the faults of the edit.
	Conflict string
}

// Proof shows that the end of the control stream was at Tail at some time not before Sent, by the local clock.
type Proof struct {
	Sent time.Time
	Tail clementinewind.Offset
}

// Replica applies the control stream. It may be used by many goroutines.
type Replica struct {
	observe func(Applied)
	view    atomic.Pointer[View]

	mu       sync.Mutex
	changed  chan struct{}
	versions versions
	writers  map[uint64]writer
	// clock is the highest time of a record so far, in milliseconds; it decides when a writer is forgotten.
	clock  int64
	recent offsets[pair]
	copies offsets[clementinewind.Offset]
}

type writer struct {
	sequence uint64
	millis   int64
}

type pair struct{ writer, sequence uint64 }

// offsets remembers the offsets of the newest keys.
type offsets[K comparable] struct {
	found map[K]clementinewind.Offset
	order []K
}

func (offsets *offsets[K]) put(key K, offset clementinewind.Offset) {
	if offsets.found == nil {
		offsets.found = map[K]clementinewind.Offset{}
	}
	if len(offsets.order) == maxRecent {
		delete(offsets.found, offsets.order[0])
		offsets.order = offsets.order[1:]
	}
	offsets.found[key] = offset
	offsets.order = append(offsets.order, key)
}

// New returns a replica at version 0.
func New(config Config) *Replica {
	replica := &Replica{
		observe:  config.Observe,
		changed:  make(chan struct{}),
		versions: versions{},
		writers:  map[uint64]writer{},
	}
	if replica.observe == nil {
		replica.observe = func(Applied) {}
	}
	replica.view.Store(&View{MembershipOffset: -1})
	return replica
}

// View returns the current state.
func (replica *Replica) View() View { return *replica.view.Load() }

// Changed returns a channel that is closed at the next change of the view. Call it before View to miss no change.
func (replica *Replica) Changed() <-chan struct{} {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.changed
}

// Result returns the verdict on the edit at an offset. It is not known for an offset that the replica has not applied,
// that holds no edit, or that the history no longer has.
func (replica *Replica) Result(offset clementinewind.Offset) (Result, bool) {
	edit, ok := replica.View().edit(replica.Original(offset))
	if !ok {
		return Result{}, false
	}
	return Result{Version: edit.Version, Accepted: edit.Accepted, Conflict: edit.Conflict}, true
}

// Original returns the offset at which a record took effect. It differs from offset for a record that was appended again
// after a lost reply.
func (replica *Replica) Original(offset clementinewind.Offset) clementinewind.Offset {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if original, ok := replica.copies.found[offset]; ok {
		return original
	}
	return offset
}

// Find returns the offset at which a recent record of a writer took effect.
func (replica *Replica) Find(writer, sequence uint64) (clementinewind.Offset, bool) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	offset, ok := replica.recent.found[pair{writer, sequence}]
	return offset, ok
}

// Read reads one batch of the control stream, applies it, and returns the proof that the read gives.
func (replica *Replica) Read(ctx context.Context, log clementinewind.Log, wait time.Duration) (Proof, error) {
	sent := time.Now()
	batch, err := log.Read(ctx, clementinewind.LogQuery{
		Stream: clementinewind.ControlStream, From: replica.View().Version, Wait: wait,
	})
	if err != nil {
		return Proof{}, err
	}
	if err := replica.Apply(batch); err != nil {
		return Proof{}, err
	}
	return Proof{Sent: sent, Tail: batch.Tail}, nil
}

// Apply applies a batch of the control stream. It skips records below its version.
func (replica *Replica) Apply(batch clementinewind.LogBatch) error {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	view := replica.View()
	if batch.First > view.Version {
		return errors.Wrapf(ErrGap, "batch starts at %d, replica is at %d", batch.First, view.Version)
	}
	if batch.Next() <= view.Version {
		return nil
	}
	for _, record := range batch.Records[view.Version-batch.First:] {
		replica.apply(&view, record)
		view.Version++
		if view.Version%pruneInterval == 0 {
			replica.versions.prune(view.Version)
			replica.forgetWriters()
		}
	}
	replica.publish(&view)
	return nil
}

func (replica *Replica) publish(view *View) {
	replica.view.Store(view)
	close(replica.changed)
	replica.changed = make(chan struct{})
}

// apply applies the record at view.Version.
func (replica *Replica) apply(view *View, record clementinewind.Record) {
	offset := view.Version
	replica.clock = max(replica.clock, record.Time.UnixMilli())
	if replica.repeated(record, offset) {
		return
	}
	var message recordv1.ControlRecord
	if err := proto.Unmarshal(record.Payload, &message); err != nil {
		// The payload is the same for all replicas, so all of them skip it.
		return
	}
	applied := Applied{Offset: offset, Time: record.Time, Record: &message}
	switch body := message.GetBody().(type) {
	case *recordv1.ControlRecord_Edit:
		applied.Conflict = replica.applyEdit(view, body.Edit, record.Time)
	case *recordv1.ControlRecord_SessionOpened:
		view.open(offset, body.SessionOpened)
	case *recordv1.ControlRecord_SessionClosed:
		applied.Conflict = view.end(offset, clementinewind.Session(body.SessionClosed.GetSession()), true)
	case *recordv1.ControlRecord_SessionExpired:
		applied.Conflict = view.expire(offset, body.SessionExpired)
	default:
		applied.Conflict = "the record is of an unknown kind"
	}
	applied.Accepted = applied.Conflict == ""
	replica.observe(applied)
}

// repeated reports whether the record was applied before, and notes it otherwise.
func (replica *Replica) repeated(record clementinewind.Record, offset clementinewind.Offset) bool {
	known, ok := replica.writers[record.Writer]
	if ok && !replica.forgotten(known) && record.Sequence <= known.sequence {
		if original, ok := replica.recent.found[pair{record.Writer, record.Sequence}]; ok {
			replica.copies.put(offset, original)
		}
		return true
	}
	replica.writers[record.Writer] = writer{sequence: record.Sequence, millis: replica.clock}
	replica.recent.put(pair{record.Writer, record.Sequence}, offset)
	return false
}

func (replica *Replica) forgotten(writer writer) bool {
	return replica.clock-writer.millis > writerLifetime.Milliseconds()
}

func (replica *Replica) forgetWriters() {
	for id, writer := range replica.writers {
		if replica.forgotten(writer) {
			delete(replica.writers, id)
		}
	}
}

func (replica *Replica) applyEdit(view *View, message *recordv1.Edit, when time.Time) string {
	edit := Edit{
		Version: view.Version + 1,
		Time:    when,
		Who:     message.GetWho(),
		Why:     message.GetWhy(),
		Changes: ChangesOf(message.GetChanges()),
	}
	changed, conflict := judge(*view, replica.versions, edit, clementinewind.Offset(message.GetAgainst()))
	edit.Accepted, edit.Conflict = conflict == "", conflict
	if edit.Accepted {
		view.Tree = changed
		for _, change := range edit.Changes {
			replica.versions.record(change, view.Version)
		}
	}
	view.Edits = bounded(append(view.Edits, edit))
	return conflict
}

// bounded drops the oldest edits of a history that is too long. Views share the array, of which they see only their own
// part, so an append is never seen by an older view.
func bounded(edits []Edit) []Edit {
	changes, first := 0, len(edits)
	for first > 0 && len(edits)-first < maxEdits {
		changes += len(edits[first-1].Changes)
		if changes > maxChanges && first < len(edits) {
			break
		}
		first--
	}
	if first == 0 {
		return edits
	}
	return edits[first:]
}

func (view *View) open(offset clementinewind.Offset, opened *recordv1.SessionOpened) {
	view.MembershipOffset = offset
	view.Sessions = append(slices.Clip(view.Sessions), sessionOf(clementinewind.Session(offset), opened))
}

func sessionOf(id clementinewind.Session, opened *recordv1.SessionOpened) Session {
	return Session{
		ID:            id,
		Instance:      clementinewind.Instance(opened.GetInstance()),
		Zone:          clementinewind.Zone(opened.GetZone()),
		PeerAddress:   opened.GetPeerAddress(),
		CallerAddress: opened.GetCallerAddress(),
	}
}

// expire ends a session only on the word of a live one: a router that has itself been expired must not expire others.
func (view *View) expire(offset clementinewind.Offset, expired *recordv1.SessionExpired) string {
	if _, ok := view.Session(clementinewind.Session(expired.GetBy())); !ok {
		view.MembershipOffset = offset
		return "the session that reports the expiry is not live"
	}
	return view.end(offset, clementinewind.Session(expired.GetSession()), false)
}

func (view *View) end(offset clementinewind.Offset, id clementinewind.Session, closed bool) string {
	view.MembershipOffset = offset
	session, ok := view.Session(id)
	if !ok {
		return "the session is not live"
	}
	view.Sessions = slices.DeleteFunc(slices.Clone(view.Sessions), func(session Session) bool { return session.ID == id })
	view.Ended = append(view.Ended, Ended{Session: session, Offset: offset, Closed: closed})
	if len(view.Ended) > maxEnded {
		view.Ended = view.Ended[len(view.Ended)-maxEnded:]
	}
	return ""
}
