package router

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/edge/keys"
)

const (
	// heartbeatInterval is the time between two heartbeats to a neighbour.
	heartbeatInterval = time.Second
	// admissionTimeout is how long the first reply of an owner to a forwarded request may take. It is far above a round
	// trip, because giving up makes the outcome of a non-repeatable request unknown.
	admissionTimeout = 5 * time.Second
	// frameTimeout is how long a forwarded answer may be silent; the owner sends a heartbeat every answerHeartbeat.
	frameTimeout    = 12 * time.Second
	answerHeartbeat = 5 * time.Second
	// cancelTimeout is how long the owner may take to end an answer that was cancelled.
	cancelTimeout = 2 * time.Second
	// loadInterval is the time between two load reports that a router asks of an upstream that it owns.
	loadInterval = time.Second
	// maxAttempts is the number of upstreams on which a repeatable request is tried.
	maxAttempts = 3
	// shutdownTimeout is how long the servers wait for the last bytes of their responses after all requests have ended.
	shutdownTimeout = 2 * time.Second
)

// Config configures a Router.
type Config struct {
	Settings conf.Router
	// Log is the platform's log.
	Log clementinewind.Log
	// Instances lists the instances that the platform knows, by name; nil leaves them unknown.
	Instances func(ctx context.Context) ([]Listed, error)
	// Dial opens connections to peers and upstreams; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens the listeners; nil listens on TCP.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// CallerKeys secure the connections of callers and operators, and PeerKeys those between routers, in both directions.
	// Nil serves plain text.
	CallerKeys, PeerKeys *keys.Store
	Logger               hclog.Logger
}

// Listed is an entry of the platform's list of instances.
type Listed struct {
	Name clementinewind.Instance
	Zone clementinewind.Zone
	// Address is where the router of the instance serves its peers, if it runs one.
	Address string
	Leaving bool
}

func (config Config) withDefaults() Config {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	if config.Listen == nil {
		config.Listen = (&net.ListenConfig{}).Listen
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return config
}
