package state

import (
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// View is an immutable snapshot of a replica. Its slices must not be modified.
type View struct {
	Tree tree.Tree
	// Version is the first offset of the control stream that the view does not include. It never decreases.
	Version clementinewind.Offset
	// MembershipOffset is the offset of the newest session record, or -1 if there is none.
	MembershipOffset clementinewind.Offset
	// Sessions holds the live sessions in the order in which they were opened.
	Sessions []Session
	// Ended holds the sessions that ended recently, in order, with every session that ended at or after EndedSince.
	Ended      []EndedSession
	EndedSince clementinewind.Offset
	// Edits holds the newest edits, oldest first.
	Edits []Edit
}

// Session is a live session.
type Session struct {
	ID            clementinewind.Session
	Instance      clementinewind.Instance
	Zone          clementinewind.Zone
	PeerAddress   string
	CallerAddress string
}

// EndedSession is a session that is no longer live.
type EndedSession struct {
	Session Session
	// Offset is the offset of the record that ended the session.
	Offset clementinewind.Offset
	// Closed is set if the session closed itself, after it had sent its last message.
	Closed bool
	// Replaced is set if the instance opened another session, so the router of this one is gone.
	Replaced bool
}

// Edit is an edit of the settings in the history.
type Edit struct {
	// Version is the version that includes the edit: the offset of its record plus one.
	Version clementinewind.Offset
	Time    time.Time
	Who     string
	Why     string
	Changes []tree.Change
	// Accepted reports whether the edit took effect. If it did not, Conflict is the reason.
	Accepted bool
	Conflict string
}

// Session returns a live session.
func (view View) Session(id clementinewind.Session) (Session, bool) {
	index, ok := slices.BinarySearchFunc(view.Sessions, id, Session.compare)
	if !ok {
		return Session{}, false
	}
	return view.Sessions[index], true
}

func (session Session) compare(id clementinewind.Session) int { return int(session.ID - id) }

// History returns up to limit edits that affect a section or one below it, newest first. An empty section selects all
// edits; a limit of 0 means no limit.
func (view View) History(section string, limit int) []Edit {
	var edits []Edit
	for _, edit := range slices.Backward(view.Edits) {
		if limit > 0 && len(edits) == limit {
			break
		}
		if section == "" || slices.ContainsFunc(edit.Changes, func(change tree.Change) bool {
			return tree.Within(change.Section, section) || change.Key == "" && tree.Within(section, change.Section)
		}) {
			edits = append(edits, edit)
		}
	}
	return edits
}

// editAt returns the edit at an offset if the history still holds it.
func (view View) editAt(offset clementinewind.Offset) (Edit, bool) {
	index, ok := slices.BinarySearchFunc(view.Edits, offset+1, func(edit Edit, version clementinewind.Offset) int {
		return int(edit.Version - version)
	})
	if !ok {
		return Edit{}, false
	}
	return view.Edits[index], true
}

// ChangesFromProto decodes changes.
func ChangesFromProto(messages []*operatorv1.Change) []tree.Change {
	changes := make([]tree.Change, len(messages))
	for i, message := range messages {
		changes[i] = tree.Change{
			Section: message.GetSection(), Key: message.GetKey(), Value: message.GetValue(), Unset: message.GetUnset(),
		}
	}
	return changes
}

// ChangesToProto encodes changes.
func ChangesToProto(changes []tree.Change) []*operatorv1.Change {
	messages := make([]*operatorv1.Change, len(changes))
	for i, change := range changes {
		messages[i] = &operatorv1.Change{Section: change.Section, Key: change.Key, Value: change.Value, Unset: change.Unset}
	}
	return messages
}
