package clementinewind

// Reason tells why a request was refused.
type Reason int

//go:generate stringer -type Reason -trimprefix Reason -output reason_string.go

const (
	// ReasonNone is the reason of an answered request.
	ReasonNone Reason = iota
	// ReasonInvalid means that the request is malformed or names something that does not exist.
	ReasonInvalid
	// ReasonUnauthorized means that the caller may not do this.
	ReasonUnauthorized
	// ReasonQueueFull means that the organisation's queue is full.
	ReasonQueueFull
	// ReasonRateLimited means that the organisation's rate limit is reached.
	ReasonRateLimited
	// ReasonDeadline means that the request cannot be, or was not, served before its deadline.
	ReasonDeadline
	// ReasonNoCapacity means that no upstream of the pool takes work.
	ReasonNoCapacity
	// ReasonBusy means that the asked router has no free slot; the entry router then queues the request.
	ReasonBusy
	// ReasonStale means that the router cannot prove that its configuration is current.
	ReasonStale
	// ReasonLogUnavailable means that the platform's log is needed and cannot be reached.
	ReasonLogUnavailable
	// ReasonUpstreamFailed means that the upstream failed or refused.
	ReasonUpstreamFailed
	// ReasonConnectionLost means that a connection between routers or to the upstream broke.
	ReasonConnectionLost
	// ReasonCancelled means that the caller went away.
	ReasonCancelled
	// ReasonShutdown means that the router stopped before the request could end.
	ReasonShutdown
	// ReasonKeyExpired means that the idempotency key is older than its lifetime.
	ReasonKeyExpired
	// ReasonKeyInUse means that an earlier call with the same key has not ended, or its end is not known.
	ReasonKeyInUse
	// ReasonKeyMismatch means that the key was used earlier for a different call.
	ReasonKeyMismatch
)
