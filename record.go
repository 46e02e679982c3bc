package clementinewind

import "time"

// Names of the log streams.
const (
	// ControlStream carries changes of the settings and session records.
	ControlStream = "control"
	// SnapshotStream carries snapshots of the state that results from the control stream.
	SnapshotStream = "snapshots"
	// EventStream carries the events that must be disclosed.
	EventStream = "events"
	// ClaimStreamPrefix and a number form the name of a stream of idempotency claims.
	ClaimStreamPrefix = "claims-"
)

// Record is an entry of a log stream.
type Record struct {
	// Writer is a random id that each writing process chooses at start.
	Writer uint64
	// Sequence increases with every record of a writer. Readers skip records whose Writer and Sequence they have seen, as
	// a retried append may write a record twice.
	Sequence uint64
	// Payload is an encoded message of package recordv1.
	Payload []byte
	// Time is set by the log on append.
	Time time.Time
}
