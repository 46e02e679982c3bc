package clementinewind

// Reason is why a request was refused or failed.
type Reason int

//go:generate stringer -type Reason -trimprefix Reason -output reason_string.go

const (
	// ReasonNone is the reason of an answered request.
	ReasonNone Reason = iota
	// ReasonInvalid means that the request is malformed or names something that does not exist.
	ReasonInvalid
	// ReasonUnauthorized means that the caller is not allowed to send the request.
	ReasonUnauthorized
	// ReasonQueueFull means that the organisation's queue is full.
	ReasonQueueFull
	// ReasonRateLimited means that the organisation's rate limit is reached.
	ReasonRateLimited
	// ReasonDeadline means that the request could not be, or was not, served before its deadline.
	ReasonDeadline
	// ReasonNoCapacity means that no router is in service or no upstream can take the request.
	ReasonNoCapacity
	// ReasonBusy means that the router cannot take the request now, for example because it has no free slot for a
	// forwarded request, which the entry router then queues, or because it is overloaded.
	ReasonBusy
	// ReasonStale means that the router cannot prove that its configuration is current.
	ReasonStale
	// ReasonLogUnavailable means that the request needs the platform's log, which is unreachable.
	ReasonLogUnavailable
	// ReasonUpstreamFailed means that the upstream failed or refused the request.
	ReasonUpstreamFailed
	// ReasonConnectionLost means that a connection between routers or to the upstream broke.
	ReasonConnectionLost
	// ReasonCancelled means that the caller cancelled the request or disconnected.
	ReasonCancelled
	// ReasonShutdown means that the router stopped before the request completed.
	ReasonShutdown
	// ReasonKeyExpired means that the idempotency key is older than its lifetime.
	ReasonKeyExpired
	// ReasonKeyInUse means that an earlier call with the same idempotency key is still running, that its outcome is unknown,
	// or that it has run and its answer is not kept.
	ReasonKeyInUse
	// ReasonKeyMismatch means that the idempotency key was used earlier for a different call.
	ReasonKeyMismatch
	// ReasonQuarantined means that the prompt has a part that crashed several upstreams.
	ReasonQuarantined
	// ReasonOriginUnknown means that the request takes up a stream of which it is not known which version of the upstreams began it.
	ReasonOriginUnknown
	// ReasonOriginGone means that the request takes up a stream that a version began of which there are no upstreams.
	ReasonOriginGone
)
