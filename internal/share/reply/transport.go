package reply

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errEarlier = errors.New("response arrived before its request was sent")
	// errUnchecked is the error of a Transport whose connections were not dialled by the functions that NewTransport set.
	errUnchecked = errors.New("connection does not check responses")
)

// Transport is an http.RoundTripper over HTTP/1.1. It fails where a Scanner does, for statuses that no answer has, for responses that
// arrived before their request, and for bodies that end with their connection before the whole request was written.
type Transport struct{ inner *http.Transport }

// NewTransport returns a Transport that uses inner and replaces its dial functions. inner must have those that it needs: DialContext, and
// DialTLSContext for https.
func NewTransport(inner *http.Transport) *Transport {
	if inner.DialContext != nil {
		inner.DialContext = checkConns(inner.DialContext)
	}
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
			conn.expect()
			last.Store(&attempt{conn: conn, written: make(chan error, 1)})
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if attempt := last.Load(); attempt != nil {
				select {
				case attempt.written <- info.Err:
				default:
				}
			}
		},
	})
	response, err := transport.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	attempt := last.Load()
	switch {
	case attempt == nil:
		err = errUnchecked
	case !attempt.conn.answered.Load():
		// Nothing is read from the connection any more.
		_ = attempt.conn.Close()
		err = errEarlier
	case EndsWithConnection(response) && response.Body != http.NoBody:
		response.Body = &closingBody{ReadCloser: response.Body, ctx: request.Context(), written: attempt.written}
	}
	if err != nil {
		response.Body.Close()
		return nil, err
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
