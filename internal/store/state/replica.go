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
	// maxEnded is more than the sessions that can end between two reads of the view.
	maxEnded = 1024
	// pruneInterval is the number of records between two calls of prune.
	pruneInterval = 1000
)

// ErrGap is returned for a batch that starts above the version of the replica.
var ErrGap = errors.New("control records are missing before the batch")

// Config configures a Replica.
type Config struct {
	// OnApply is called for every record that is not a duplicate, in log order; it may be nil. It runs with the replica
	// locked and must not call it.
	OnApply func(AppliedRecord)
}

// AppliedRecord is a record that a replica has applied.
type AppliedRecord struct {
	Offset clementinewind.Offset
	Time   time.Time
	Record *recordv1.ControlRecord
	// Accepted reports whether the record took effect. If it did not, Conflict is the reason.
	Accepted bool
	Conflict string
}

// EditResult is the outcome of an edit.
type EditResult struct {
	// Version is the first version that includes the edit.
	Version  clementinewind.Offset
	Accepted bool
	// Conflict describes the conflicting edit or the validation errors.
	Conflict string
}

// Replica applies the control stream. It is safe for concurrent use.
type Replica struct {
	onApply func(AppliedRecord)
	view    atomic.Pointer[View]

	mu       sync.Mutex
	changed  chan struct{}
	versions keyVersions
	dedup    *plog.Dedup
}

// New returns a replica at version 0.
func New(config Config) *Replica {
	replica := &Replica{
		onApply:  config.OnApply,
		changed:  make(chan struct{}),
		versions: keyVersions{},
		dedup:    plog.NewDedup(0),
	}
	if replica.onApply == nil {
		replica.onApply = func(AppliedRecord) {}
	}
	replica.view.Store(&View{MembershipOffset: -1})
	return replica
}

// View returns the current state.
func (replica *Replica) View() View { return *replica.view.Load() }

// Changed returns a channel that is closed at the next change of the view. To miss no change, call it before View.
func (replica *Replica) Changed() <-chan struct{} {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.changed
}

// EditResult returns the outcome of the edit whose first copy is at an offset. It is unknown if the replica has not
// applied the offset, if the record is not an edit, or if the history no longer holds it.
func (replica *Replica) EditResult(offset clementinewind.Offset) (EditResult, bool) {
	edit, ok := replica.View().editAt(offset)
	if !ok {
		return EditResult{}, false
	}
	return EditResult{Version: edit.Version, Accepted: edit.Accepted, Conflict: edit.Conflict}, true
}

// Read reads one batch of the control stream, applies it, and returns how fresh the replica is then.
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

// Apply applies a batch of the control stream. It skips records below the version of the replica.
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

// apply applies the record at offset view.Version.
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
		view.openSession(offset, body.SessionOpened)
	case *recordv1.ControlRecord_SessionClosed:
		applied.Conflict = view.endSession(offset, clementinewind.Session(body.SessionClosed.GetSession()), true)
	case *recordv1.ControlRecord_SessionExpired:
		applied.Conflict = view.expireSession(offset, body.SessionExpired)
	default:
		applied.Conflict = "the record is of an unknown kind"
	}
	applied.Accepted = applied.Conflict == ""
	replica.onApply(applied)
}

func (replica *Replica) applyEdit(view *View, message *recordv1.Edit, when time.Time) string {
	edit := Edit{
		Version: view.Version + 1,
		Time:    when,
		Who:     message.GetWho(),
		Why:     message.GetWhy(),
		Changes: ChangesFromProto(message.GetChanges()),
	}
	changed, conflict := decideEdit(*view, replica.versions, edit, clementinewind.Offset(message.GetAgainst()))
	edit.Accepted, edit.Conflict = conflict == "", conflict
	if edit.Accepted {
		view.Tree = changed
		for _, change := range edit.Changes {
			replica.versions.record(change, view.Version)
		}
	}
	view.Edits = trimHistory(append(view.Edits, edit))
	return conflict
}

// trimHistory drops the oldest edits of a history that is too long. Views share the underlying array but only see their
// own part of it, so an append never changes an older view.
func trimHistory(edits []Edit) []Edit {
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

func (view *View) openSession(offset clementinewind.Offset, opened *recordv1.SessionOpened) {
	view.MembershipOffset = offset
	// An instance runs one router, so its earlier session has ended. Without this rule, sessions that all ended at once
	// could not be expired, because fewer than half of all sessions would be present.
	for _, session := range view.Sessions {
		if session.Instance == clementinewind.Instance(opened.GetInstance()) {
			view.removeSession(EndedSession{Session: session, Offset: offset, Replaced: true})
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

// expireSession ends a session only if a live one reports it, so that a router that has itself been expired cannot
// expire others.
func (view *View) expireSession(offset clementinewind.Offset, expired *recordv1.SessionExpired) string {
	if _, ok := view.Session(clementinewind.Session(expired.GetBy())); !ok {
		view.MembershipOffset = offset
		return "the session that reports the expiry is not live"
	}
	return view.endSession(offset, clementinewind.Session(expired.GetSession()), false)
}

func (view *View) endSession(offset clementinewind.Offset, id clementinewind.Session, closed bool) string {
	view.MembershipOffset = offset
	session, ok := view.Session(id)
	if !ok {
		return "the session is not live"
	}
	view.removeSession(EndedSession{Session: session, Offset: offset, Closed: closed})
	return ""
}

func (view *View) removeSession(ended EndedSession) {
	view.Sessions = slices.DeleteFunc(slices.Clone(view.Sessions), func(session Session) bool {
		return session.ID == ended.Session.ID
	})
	view.Ended = append(view.Ended, ended)
	if surplus := len(view.Ended) - maxEnded; surplus > 0 {
		view.EndedSince = view.Ended[surplus-1].Offset + 1
		view.Ended = view.Ended[surplus:]
	}
}
