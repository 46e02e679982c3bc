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
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// maxEdits and maxChanges bound the history. The newest edit is kept whatever its size.
	maxEdits   = 2000
	maxChanges = 20_000
	// maxEnded is more than the sessions that end while one reader of the view is between two looks.
	maxEnded = 1024
	// pruneInterval is the number of records between two removals of versions that are no longer needed.
	pruneInterval = 1000
)

// ErrGap is returned for a batch that starts above the version of the replica.
var ErrGap = errors.New("control records are missing before the batch")

// Config is the configuration of a Replica.
type Config struct {
	// OnApply, if set, is called for every record that is not a repetition, in order, by the goroutine that applies it.
	// It must not call the replica.
	OnApply func(AppliedRecord)
}

// AppliedRecord is a record that a replica has applied.
type AppliedRecord struct {
	Offset clementinewind.Offset
	Time   time.Time
	Record *recordv1.ControlRecord
	// Accepted reports whether the record took effect, and Conflict tells why it did not.
	Accepted bool
	Conflict string
}

// EditResult is the verdict on an edit.
type EditResult struct {
	// Version is the first version that includes the edit.
	Version  clementinewind.Offset
	Accepted bool
	// Conflict describes the edit that won, or the faults of the edit.
	Conflict string
}

// Replica applies the control stream. It may be used by many goroutines.
type Replica struct {
	observe func(AppliedRecord)
	view    atomic.Pointer[View]

	mu       sync.Mutex
	changed  chan struct{}
	versions versions
	dedup    *plog.Dedup
}

// New returns a replica at version 0.
func New(config Config) *Replica {
	replica := &Replica{
		observe:  config.OnApply,
		changed:  make(chan struct{}),
		versions: versions{},
		dedup:    plog.NewDedup(0),
	}
	if replica.observe == nil {
		replica.observe = func(AppliedRecord) {}
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

// EditResult returns the verdict on the edit at the offset at which it first took effect. It is not known for an offset that the replica has not applied,
// that holds no edit, or that the history no longer has.
func (replica *Replica) EditResult(offset clementinewind.Offset) (EditResult, bool) {
	edit, ok := replica.View().edit(offset)
	if !ok {
		return EditResult{}, false
	}
	return EditResult{Version: edit.Version, Accepted: edit.Accepted, Conflict: edit.Conflict}, true
}

// Read reads one batch of the control stream, applies it, and returns what the read proves.
func (replica *Replica) Read(ctx context.Context, log clementinewind.Log, wait time.Duration) (plog.Freshness, error) {
	sent := time.Now()
	batch, err := log.Read(ctx, clementinewind.LogQuery{
		Stream: clementinewind.ControlStream, From: replica.View().Version, Wait: wait,
	})
	if err != nil {
		return plog.Freshness{}, err
	}
	if err := replica.Apply(batch); err != nil {
		return plog.Freshness{}, err
	}
	return plog.Freshness{Sent: sent, Next: replica.View().Version, Tail: batch.Tail}, nil
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
	if !replica.dedup.Accept(record) {
		return
	}
	var message recordv1.ControlRecord
	if err := proto.Unmarshal(record.Payload, &message); err != nil {
		// The payload is the same for all replicas, so all of them skip it.
		return
	}
	applied := AppliedRecord{Offset: offset, Time: record.Time, Record: &message}
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

func (replica *Replica) applyEdit(view *View, message *recordv1.Edit, when time.Time) string {
	edit := Edit{
		Version: view.Version + 1,
		Time:    when,
		Who:     message.GetWho(),
		Why:     message.GetWhy(),
		Changes: ChangesFromProto(message.GetChanges()),
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
	// An instance runs one router. Without this rule sessions that all ended at once could not be expired, because less
	// than half of all sessions would be heard.
	for _, session := range view.Sessions {
		if session.Instance == clementinewind.Instance(opened.GetInstance()) {
			view.remove(EndedSession{Session: session, Offset: offset, Replaced: true})
		}
	}
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
	view.remove(EndedSession{Session: session, Offset: offset, Closed: closed})
	return ""
}

func (view *View) remove(ended EndedSession) {
	view.Sessions = slices.DeleteFunc(slices.Clone(view.Sessions), func(session Session) bool {
		return session.ID == ended.Session.ID
	})
	view.Ended = append(view.Ended, ended)
	if surplus := len(view.Ended) - maxEnded; surplus > 0 {
		view.EndedSince = view.Ended[surplus-1].Offset + 1
		view.Ended = view.Ended[surplus:]
	}
}
