package send

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

var (
	errSecondSend = errors.New("request was already written to another connection")
	errRevoked    = errors.New("request was given up before it was written")
	errNoTicket   = errors.New("no request may be written to this connection")
)

// ticket permits one request to be written to one connection, the first that asks for it.
type ticket struct {
	mu sync.Mutex
	// ctx is the request's context.
	ctx      context.Context
	dispatch func() error
	// cancel cancels the request's context when dispatch fails, so that the transport does not try further connections.
	cancel func(error)
	// conn is the connection that the request may be written to, or nil before the dispatch.
	conn *conn
	// err is why the request may no longer be written.
	err error
}

// admit returns nil if the request may be written to conn. The first call runs the dispatch step and binds the ticket to
// its connection.
func (ticket *ticket) admit(conn *conn) error {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	switch {
	case ticket.conn == conn:
		return nil
	case ticket.conn != nil:
		return errSecondSend
	case ticket.err != nil:
		return ticket.err
	case ticket.ctx.Err() != nil:
		// The transport may still be about to write when the context ends.
		ticket.err = ticket.ctx.Err()
		return ticket.err
	}
	if ticket.dispatch != nil {
		if err := ticket.dispatch(); err != nil {
			ticket.err = err
			ticket.cancel(err)
			return err
		}
	}
	ticket.conn = conn
	return nil
}

// revoke reports whether the request was dispatched, or the error that prevented it, and rules out a later dispatch.
// RoundTrip of Go 1.26 waits for its write goroutine before it returns an error, but net/http does not guarantee that.
func (ticket *ticket) revoke() (dispatched bool, prevented error) {
	ticket.mu.Lock()
	defer ticket.mu.Unlock()
	prevented = ticket.err
	if ticket.conn == nil && ticket.err == nil {
		ticket.err = errRevoked
	}
	return ticket.conn != nil, prevented
}

// conn is a connection that accepts only writes permitted by its current ticket.
type conn struct {
	net.Conn
	ticket atomic.Pointer[ticket]
}

// Write writes data if the ticket permits it. The dispatch step runs before the first byte of a request.
func (conn *conn) Write(data []byte) (int, error) {
	ticket := conn.ticket.Load()
	if ticket == nil {
		return 0, errNoTicket
	}
	if err := ticket.admit(conn); err != nil {
		return 0, err
	}
	return conn.Conn.Write(data)
}
