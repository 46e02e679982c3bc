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
	// pingInterval and pingTimeout detect a connection that went silent.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// silenceTimeout is how long a call that timed out must have waited to count against its connection. It is below the
	// timeout of calls and also bounds how often a slow platform sees new connections.
	silenceTimeout = time.Second
	// idleTimeout closes connections that new calls no longer use.
	idleTimeout = 30 * time.Second
)

// transport is an HTTP/2 transport that leaves its connection when a call on it times out. Pings find a silent connection
// only after 15 s, which is longer than the time in which settings must be in force.
type transport struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	current *http.Transport
	since   time.Time
}

// NewHTTPClient returns an HTTP/2 client without TLS that leaves silent connections, which it detects by timeouts of calls
// and by pings. A nil dial takes the default dialer.
func NewHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	transport := &transport{dial: dial}
	transport.replace()
	return &http.Client{Transport: transport}
}

// RoundTrip sends a request over the current connection.
func (transport *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.mu.Lock()
	current := transport.current
	transport.mu.Unlock()
	sent := time.Now()
	response, err := current.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) && time.Since(sent) >= silenceTimeout {
		transport.leave(current)
	}
	return response, err
}

// CloseIdleConnections closes the connections that no call uses.
func (transport *transport) CloseIdleConnections() {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	transport.current.CloseIdleConnections()
}

// leave makes new calls use a new connection, unless they do already. Calls in flight keep the old one.
func (transport *transport) leave(left *http.Transport) {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	if transport.current != left || time.Since(transport.since) < silenceTimeout {
		return
	}
	transport.replace()
	left.CloseIdleConnections()
}

// replace takes a new transport. The caller holds mu, or is the only user.
func (transport *transport) replace() {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport.since = time.Now()
	transport.current = &http.Transport{
		DialContext:     transport.dial,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		IdleConnTimeout: idleTimeout,
	}
}
