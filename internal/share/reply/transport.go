package reply

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errEarlier = errors.New("response arrived before its request was sent")
	// errUnchecked is the error of a Transport whose connections were not dialled by its own functions.
	errUnchecked = errors.New("connection does not check responses")
)

// Transport is an http.RoundTripper over HTTP/1.1. It fails where a Scanner does, for statuses that no answer has, for responses that
// arrived before their request, and for bodies that end with their connection before the whole request was written.
type Transport struct{ inner *http.Transport }

// NewTransport returns a Transport that uses inner and replaces its dial functions. For https, inner must have a DialTLSContext.
func NewTransport(inner *http.Transport) *Transport {
	if inner.DialContext == nil {
		inner.DialContext = new(net.Dialer).DialContext
	}
	inner.DialContext = checkConns(inner.DialContext)
	if inner.DialTLSContext != nil {
		inner.DialTLSContext = checkConns(inner.DialTLSContext)
	}
	return &Transport{inner: inner}
}

// CloseIdleConnections closes the connections that no request uses.
func (transport *Transport) CloseIdleConnections() { transport.inner.CloseIdleConnections() }

// attempt is the use of a connection for a request, which net/http may send again over another one.
type attempt struct {
	conn *Conn
	// answered is set when the head of the response has arrived.
	answered atomic.Bool
	// written has the result of writing the request, once that has ended.
	written chan error
}

// RoundTrip sends a request and returns when the head of its response has arrived.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var last atomic.Pointer[attempt]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*Conn)
			if !ok {
				return
			}
			started := &attempt{conn: conn, written: make(chan error, 1)}
			conn.expected.Store(started)
			last.Store(started)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if used := last.Load(); used != nil {
				select {
				case used.written <- info.Err:
				default:
				}
			}
		},
	})
	response, err := transport.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	used := last.Load()
	if used == nil {
		response.Body.Close()
		return nil, errUnchecked
	}
	if !used.answered.Load() {
		// Each later response on the connection would be that of another request too.
		_ = used.conn.Close()
		response.Body.Close()
		return nil, errEarlier
	}
	if EndsWithConnection(response) && response.Body != http.NoBody {
		response.Body = &closingBody{ReadCloser: response.Body, ctx: request.Context(), written: used.written}
	}
	return response, nil
}

// closingBody is a body that ends with its connection.
type closingBody struct {
	io.ReadCloser
	ctx     context.Context
	written chan error
}

// Read returns io.EOF only if the request was written. By then net/http has closed the connection, which ends the writing.
func (body *closingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	select {
	case writeErr := <-body.written:
		body.written <- writeErr
		if writeErr != nil {
			err = ErrEndsDuringUpload
		}
	case <-body.ctx.Done():
		err = body.ctx.Err()
	}
	return count, err
}
