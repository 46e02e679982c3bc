package table

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Version numbers configurations. A configuration with a lower version never replaces one with a higher version.
type Version int64

// Service is the name of a set of equal upstreams.
type Service string

// RouteKind tells what a router may repeat.
type RouteKind int

//go:generate stringer -type RouteKind -trimprefix Route -output routekind_string.go

const (
	// RouteOnce is a route whose requests run at most once. It is the zero value, because it is always safe.
	RouteOnce RouteKind = iota
	// RouteIdempotent is a route whose requests may run again.
	RouteIdempotent
	// RouteStream is a route whose answers are streams of events.
	RouteStream
)

// ServiceWeight is the part of the requests of a route that goes to one service.
type ServiceWeight struct {
	Service Service
	Weight  float64
}

// Route says how the requests of one host below one path are handled.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or to the first event of a stream.
	LatencyGoal time.Duration
	// GapGoal is the longest pause between two events of a stream.
	GapGoal time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts  int
	TrafficSplit []ServiceWeight
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another upstream after the last event that was received.
	Resumable bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the memory for prompts and answers.
	MemoryTokens int
}

// ServiceSettings describes the upstreams of a service.
type ServiceSettings struct {
	Name       Service
	HealthPath string
	// MaxConnections is the limit of an upstream for the connections of all routers.
	MaxConnections int
	// ColdTime is how long an upstream stays cold after a start.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold upstream tolerates.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// OrganisationKeys are the keys that an organisation may use.
type OrganisationKeys struct {
	Organisation clementinewind.Organisation
	Keys         []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all upstreams together produce; 0 means unknown.
	TokensPerSecond float64
}

// Configuration is one version of everything that operators configure. It is immutable.
type Configuration struct {
	Version       Version
	Routes        []Route
	Services      []ServiceSettings
	Organisations []OrganisationKeys
	Limits        Limits
}
