package clementinewind

// Upstream is the name of one replica behind the fleet: a model engine or a plain service.
type Upstream string

// UpstreamState describes whether an upstream takes work.
type UpstreamState int

//go:generate stringer -type UpstreamState -trimprefix Upstream -output upstreamstate_string.go

const (
	// UpstreamCold is an upstream in slow start.
	UpstreamCold UpstreamState = iota
	// UpstreamWarm is an upstream that takes work up to its adaptive limit.
	UpstreamWarm
	// UpstreamEjected is an upstream whose circuit breaker is open.
	UpstreamEjected
	// UpstreamLeaving is an upstream that takes no new work because it, or its zone, is going out of service.
	UpstreamLeaving
)
