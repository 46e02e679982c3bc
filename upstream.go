package clementinewind

// Upstream is the name of one replica that the routers send requests to: a model engine or a plain service.
type Upstream string

// UpstreamState is whether an upstream accepts requests.
type UpstreamState int

//go:generate stringer -type UpstreamState -trimprefix Upstream -output upstreamstate_string.go

const (
	// UpstreamCold is an upstream in slow start.
	UpstreamCold UpstreamState = iota
	// UpstreamWarm is an upstream that accepts requests up to its adaptive limit.
	UpstreamWarm
	// UpstreamEjected is an upstream whose circuit breaker is open.
	UpstreamEjected
	// UpstreamLeaving is an upstream that gets no new requests, because it or its zone is being taken out of service.
	UpstreamLeaving
)
