package table

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Version orders configurations. A configuration never replaces one with a higher version.
type Version int64

// Service is the name of a set of interchangeable upstreams.
type Service string

// RouteKind says whether a router may retry the requests of a route.
type RouteKind int

//go:generate stringer -type RouteKind -trimprefix Route -output routekind_string.go

const (
	// RouteOnce is for requests that must run at most once. It is the zero value because it is always safe.
	RouteOnce RouteKind = iota
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent
	// RouteStream is for requests whose answers are event streams. A request that may have run is retried only if Route.Resumable
	// is set.
	RouteStream
)

// ServiceWeight is the relative weight of a service in the traffic split of a route.
type ServiceWeight struct {
	Service Service
	Weight  float64
}

// Route configures the handling of requests to one host below one path prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout limits how long a caller waits; 0 means that the route sets no limit.
	Timeout time.Duration
	// LatencyGoal is the target time to the answer, or to the first event of a stream.
	LatencyGoal time.Duration
	// GapGoal is the target for the longest gap between two events of a stream.
	GapGoal time.Duration
	// MaxAttempts limits how many upstreams may run one request.
	MaxAttempts  int
	TrafficSplit []ServiceWeight
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Resumable is set if another upstream can continue a stream after the last event that was received.
	Resumable bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch size.
	Slots int
	// MemoryTokens is the KV cache capacity, for prompts and answers.
	MemoryTokens int
}

// ServiceSettings describes the upstreams of a service.
type ServiceSettings struct {
	Name       Service
	HealthPath string
	// MaxConnections is the connection limit of each upstream, for all routers together.
	MaxConnections int
	// ColdTime is how long an upstream is cold, that is, warming up, after a start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold upstream can take.
	ColdRate float64
	// Engine is nil for services without a model.
	Engine *Engine
}

// OrganisationKeys lists the API keys of an organisation.
type OrganisationKeys struct {
	Organisation clementinewind.Organisation
	Keys         []string
}

// Limits are the limits for all routes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the throughput of all upstreams together; 0 means unknown.
	TokensPerSecond float64
}

// Configuration is one immutable version of the operators' configuration.
type Configuration struct {
	Version       Version
	Routes        []Route
	Services      []ServiceSettings
	Organisations []OrganisationKeys
	Limits        Limits
}
