package send

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/reply"
)

const (
	defaultDialTimeout = 2 * time.Second
	// maxIdleConnections limits the idle connections kept for each upstream; it exceeds the number of slots of an upstream.
	maxIdleConnections = 256
	// idleConnectionTimeout is shorter than the keep-alive time of common servers (60 s and more), so that a request
	// seldom meets a connection that the server is closing.
	idleConnectionTimeout = 30 * time.Second
	maxHeaderBytes        = 32 << 10
)

// Config is the configuration of a Transport.
type Config struct {
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits the opening of a connection; 0 means 2 s.
	DialTimeout time.Duration
}

// Options are the options of a single request.
type Options struct {
	// Dispatch is the dispatch step, or nil. It is called at most once, just before the first byte of the request is written,
	// and must not block. If it returns an error nothing is written.
	Dispatch func() error
	// Fresh sends over a new connection. A successful dial shows that the upstream is reachable; an idle connection does not.
	Fresh bool
}

// Transport sends each request at most once. It speaks HTTP/1.1, follows no redirects and uses no proxy.
type Transport struct {
	reusing *reply.Transport
	fresh   *reply.Transport
}

// New returns a Transport.
func New(config Config) *Transport {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDialTimeout
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	reusing := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, config.DialTimeout)
			defer cancel()
			dialled, err := config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: dialled}, nil
		},
		Protocols:              protocols,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	fresh := reusing.Clone()
	fresh.DisableKeepAlives = true
	return &Transport{reusing: reply.NewTransport(reusing), fresh: reply.NewTransport(fresh)}
}

// Do sends a request and returns the response once its headers have arrived. Every error is an *Error.
func (transport *Transport) Do(request *http.Request, options Options) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	ticket := &ticket{ctx: ctx, dispatch: options.Dispatch, cancel: cancel}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// The transport gives a connection to one request at a time, so the ticket cannot permit the
		// writes of another request.
		if checked, ok := info.Conn.(*reply.Conn); ok {
			if conn, ok := checked.NetConn().(*conn); ok {
				conn.ticket.Store(ticket)
			}
		}
	}})
	inner := transport.reusing
	if options.Fresh {
		inner = transport.fresh
	}
	response, err := inner.RoundTrip(request.WithContext(traced))
	if err == nil {
		return transport.check(response, ticket, cancel)
	}
	cancel(nil)
	if ended := request.Context().Err(); ended != nil {
		err = ended
	}
	dispatched, prevented := ticket.revoke()
	switch {
	case dispatched:
		return nil, Fail(clementinewind.ProgressDispatched, err)
	case prevented != nil:
		return nil, Fail(clementinewind.ProgressQueued, prevented)
	default:
		return nil, Fail(clementinewind.ProgressQueued, err)
	}
}

// check returns an error for a response that arrived before the request was written, and for one by which the upstream
// refuses to run the request.
func (transport *Transport) check(response *http.Response, ticket *ticket, cancel func(error)) (*http.Response, error) {
	if dispatched, _ := ticket.revoke(); !dispatched {
		response.Body.Close()
		cancel(nil)
		return nil, Fail(clementinewind.ProgressQueued, errors.Errorf("status %d before the request was written", response.StatusCode))
	}
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(HeaderNotRun) == "true" {
		response.Body.Close()
		cancel(nil)
		return nil, &Error{
			Progress:   clementinewind.ProgressDeclined,
			Reason:     clementinewind.ReasonUpstreamFailed,
			RetryAfter: RetryAfter(response.Header),
			Err:        errors.Errorf("upstream refused before running: status %d", response.StatusCode),
		}
	}
	response.Body = &body{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (transport *Transport) CloseIdleConnections() {
	transport.reusing.CloseIdleConnections()
	transport.fresh.CloseIdleConnections()
}

// RetryAfter reads the Retry-After header in seconds; 0 when it is missing or is a date.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
