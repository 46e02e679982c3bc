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
	// expected is set when a request is about to be written, whose response begins with the next byte that arrives, and answered once
	// its head has ended.
	expected, answered atomic.Bool
	// inHead and scanner are only used by Read.
	inHead  bool
	scanner Scanner
}

// NetConn returns the connection that was dialled.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

func (conn *Conn) expect() {
	conn.answered.Store(false)
	conn.expected.Store(true)
}

// Read fails at a head that the grammar forbids, and at one whose status is neither informational nor final.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	if conn.expected.Swap(false) {
		conn.inHead, conn.scanner = true, Scanner{}
	}
	for rest := buffer[:count]; conn.inHead && len(rest) > 0; {
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
			conn.inHead = false
			conn.answered.Store(true)
		default:
			return 0, StatusError(status)
		}
	}
	return count, err
}
