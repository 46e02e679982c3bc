package clementinewind

import "time"

// Names of the log streams.
const (
	// ControlStream carries settings edits and session records.
	ControlStream = "control"
	// SnapshotStream carries snapshots of the state that the control stream describes.
	SnapshotStream = "snapshots"
	// EventStream carries the events that must be disclosed.
	EventStream = "events"
	// ClaimStreamPrefix is followed by the number of a claims stream.
	ClaimStreamPrefix = "claims-"
)

// Record is an entry of a log stream.
type Record struct {
	// Writer is a random number that a writing process draws at start.
	Writer uint64
	// Sequence rises with every record of a writer; readers skip a pair of Writer and Sequence that they have seen.
	Sequence uint64
	// Payload is an encoded message of wire/recordv1.
	Payload []byte
	// Time is set by the log on append.
	Time time.Time
}
