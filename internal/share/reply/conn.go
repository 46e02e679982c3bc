package reply

import (
	"context"
	"net"
	"sync/atomic"
)

// dialFunc opens connections, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkConns makes the connections of a dialFunc check heads.
func checkConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: dialled}, nil
	}
}

// Conn is a connection of a Transport. It checks the heads of responses and passes on their bodies. One goroutine at a time may read.
type Conn struct {
	net.Conn
	// expected is the attempt whose request is about to be written. Its response begins with the next byte that arrives.
	expected atomic.Pointer[attempt]
	// current is the attempt whose head is being read, or nil. It and scanner are only used by Read.
	current *attempt
	scanner Scanner
}

// NetConn returns the connection that was dialled.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// Read fails at a head that the grammar forbids, and at one whose status is neither informational nor final.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	if expected := conn.expected.Swap(nil); expected != nil {
		conn.current, conn.scanner = expected, Scanner{}
	}
	for rest := buffer[:count]; conn.current != nil && len(rest) > 0; {
		var headErr error
		if rest, headErr = conn.scanner.Scan(rest); headErr != nil {
			return 0, headErr
		}
		if !conn.scanner.Ended() {
			break
		}
		switch status := conn.scanner.Status(); {
		case IsInterim(status):
			conn.scanner = Scanner{}
		case IsFinal(status):
			conn.current.answered.Store(true)
			conn.current = nil
		default:
			return 0, StatusError(status)
		}
	}
	return count, err
}
