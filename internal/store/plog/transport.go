package plog

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// pingInterval and pingTimeout detect a connection on which nothing arrives any more.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// silenceTimeout is how long a call must have waited for its timeout to count as a fault of its connection. It is
	// below the timeout of calls. It is also the minimum time between two new connections, which limits them if the
	// platform is slow.
	silenceTimeout = time.Second
	// idleTimeout closes connections that new calls no longer use.
	idleTimeout = 30 * time.Second
)

// transport is an HTTP/2 transport that replaces its connection when a call on it times out. Pings detect a dead
// connection only after 15 s, which is longer than changed settings may take to be in force.
type transport struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu         sync.Mutex
	current    *http.Transport
	replacedAt time.Time
}

// NewHTTPClient returns an HTTP/2 client without TLS that replaces dead connections, which it detects by timeouts of
// calls and by pings. A nil dial selects the default dialer.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	transport := &transport{dial: dial}
	transport.replace()
	return &http.Client{Transport: transport}
}

// RoundTrip sends a request on the current connection.
func (transport *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.mu.Lock()
	current := transport.current
	transport.mu.Unlock()
	sent := time.Now()
	response, err := current.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) && time.Since(sent) >= silenceTimeout {
		transport.abandon(current)
	}
	return response, err
}

// CloseIdleConnections closes the connections that no call uses.
func (transport *transport) CloseIdleConnections() {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.current.CloseIdleConnections()
}

// abandon makes new calls use a new connection, unless it has been replaced already. Calls in flight stay on the old
// one.
func (transport *transport) abandon(old *http.Transport) {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if transport.current != old || time.Since(transport.replacedAt) < silenceTimeout {
		return
	}
	transport.replace()
	old.CloseIdleConnections()
}

// replace installs a new transport. The caller holds mu or is the only user.
func (transport *transport) replace() {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport.replacedAt = time.Now()
	transport.current = &http.Transport{
		DialContext:     transport.dial,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		IdleConnTimeout: idleTimeout,
	}
}
