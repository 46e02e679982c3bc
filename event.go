package clementinewind

import "time"

// Event is an entry of the time line.
type Event struct {
	// Stamp is a hybrid logical clock value; it orders causally related events of different instances.
	Stamp        uint64
	Time         time.Time
	Instance     Instance
	Zone         Zone
	Kind         EventKind
	Organisation Organisation
	Upstream     Upstream
	RequestID    string
	Detail       string
}

// EventKind tells what an Event reports.
type EventKind int

//go:generate stringer -type EventKind -trimprefix Event -output eventkind_string.go

const (
	// EventStarted reports that a router started.
	EventStarted EventKind = iota
	// EventStopped reports that a router stopped.
	EventStopped
	// EventDrainStarted reports that a router stopped giving out its address.
	EventDrainStarted
	// EventSessionOpened reports a new session.
	EventSessionOpened
	// EventSessionClosed reports a session that closed itself.
	EventSessionClosed
	// EventSessionExpired reports a session that another router expired.
	EventSessionExpired
	// EventPeerSuspected reports that a router no longer hears a peer.
	EventPeerSuspected
	// EventPeerHeard reports that a router hears a suspected peer again.
	EventPeerHeard
	// EventSettingsAccepted reports an accepted edit.
	EventSettingsAccepted
	// EventSettingsRejected reports an edit that lost a race or was not valid.
	EventSettingsRejected
	// EventZoneOut reports an availability zone taken out of service.
	EventZoneOut
	// EventZoneIn reports an availability zone returned to service.
	EventZoneIn
	// EventOwnerChanged reports a new owner of an upstream.
	EventOwnerChanged
	// EventColdStart reports that an upstream is in slow start.
	EventColdStart
	// EventWarm reports that an upstream left slow start.
	EventWarm
	// EventEjected reports that the circuit breaker of an upstream opened.
	EventEjected
	// EventOverload reports that an upstream refused or reset work.
	EventOverload
	// EventRefused reports a request refused as not run.
	EventRefused
	// EventUnknownOutcome reports a request that may have run.
	EventUnknownOutcome
	// EventResumed reports an answer that was resumed after a lost connection.
	EventResumed
	// EventLogLost reports that the platform's log cannot be reached.
	EventLogLost
	// EventLogRegained reports that the platform's log can be reached again.
	EventLogRegained
	// EventStale reports that a router stopped sending work because its configuration may be stale.
	EventStale
	// EventFresh reports that a router may send work again.
	EventFresh
	// EventSnapshotWritten reports a snapshot of the state.
	EventSnapshotWritten
)

// Disclosed reports whether an event of this kind is kept in the platform's log.
func (eventKind EventKind) Disclosed() bool {
	switch eventKind {
	case EventSessionExpired, EventSettingsAccepted, EventZoneOut, EventZoneIn, EventUnknownOutcome,
		EventLogLost, EventLogRegained, EventStale, EventFresh, EventEjected:
		return true
	default:
		return false
	}
}

// Recorder takes events for the time line. Record does not block and may be called by many goroutines.
type Recorder interface {
	Record(event Event)
}
