package clementinewind

import "time"

// Event is an entry of the operators' timeline.
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
	// EventDrainStarted reports that a router started to drain and no longer advertises its address.
	EventDrainStarted
	// EventSessionOpened reports a new session.
	EventSessionOpened
	// EventSessionClosed reports a session that was closed by its own router.
	EventSessionClosed
	// EventSessionExpired reports a session that was expired by another router.
	EventSessionExpired
	// EventPeerSuspected reports that a router no longer receives heartbeats from a peer.
	EventPeerSuspected
	// EventPeerHeard reports that a router receives heartbeats from a suspected peer again.
	EventPeerHeard
	// EventSettingsAccepted reports an accepted change of the settings.
	EventSettingsAccepted
	// EventSettingsRejected reports a change of the settings that was invalid or conflicted with another one.
	EventSettingsRejected
	// EventZoneOut reports an availability zone taken out of service.
	EventZoneOut
	// EventZoneIn reports an availability zone returned to service.
	EventZoneIn
	// EventOwnerChanged reports that this router became the owner of an upstream: the one that may send requests to it.
	EventOwnerChanged
	// EventColdStart reports that an upstream is in slow start.
	EventColdStart
	// EventWarm reports that an upstream left slow start.
	EventWarm
	// EventEjected reports that the circuit breaker of an upstream opened.
	EventEjected
	// EventOverload reports that an upstream refused or reset a request.
	EventOverload
	// EventRefused reports a request that was refused and has not run.
	EventRefused
	// EventUnknownOutcome reports a failed request that may have run.
	EventUnknownOutcome
	// EventResumed reports an answer that was resumed after a lost connection.
	EventResumed
	// EventLogLost reports that the platform's log became unreachable.
	EventLogLost
	// EventLogRegained reports that the platform's log is reachable again.
	EventLogRegained
	// EventStale reports that a router stopped dispatching requests because its configuration may be stale.
	EventStale
	// EventFresh reports that a router's configuration is current again, so that it may dispatch requests.
	EventFresh
	// EventSnapshotWritten reports a snapshot of the state.
	EventSnapshotWritten
)

// Disclosed reports whether events of this kind must be disclosed. Such events are also appended to EventStream, where
// they outlive the router.
func (eventKind EventKind) Disclosed() bool {
	switch eventKind {
	case EventSessionExpired, EventSettingsAccepted, EventZoneOut, EventZoneIn, EventUnknownOutcome,
		EventLogLost, EventLogRegained, EventStale, EventFresh, EventEjected:
		return true
	default:
		return false
	}
}

// Recorder adds events to the timeline. Record must not block and must be safe for concurrent use.
type Recorder interface {
	Record(event Event)
}
