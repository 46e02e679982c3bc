package gate

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

//go:generate stringer -type Decision -trimprefix Decision -output decision_string.go

// Decision tells what was decided about the first request of a connection when it was accepted.
type Decision int32

const (
	// DecisionOpen leaves it to the request.
	DecisionOpen Decision = iota
	// DecisionServed lets the request be served.
	DecisionServed
	// DecisionRefused has the request refused.
	DecisionRefused
)

// Conn is a connection of a caller. It embeds the socket, so that its state can be looked at.
type Conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
	decision atomic.Int32
	// unread was received before the connection was accepted. It is used by one reader at a time.
	unread []byte
}

var _ syscall.Conn = (*Conn)(nil)

func newConn(accepted *net.TCPConn, listener *Listener, decision Decision, unread []byte) *Conn {
	conn := &Conn{TCPConn: accepted, listener: listener, unread: unread}
	conn.decision.Store(int32(decision))
	return conn
}

// TakeDecision returns what was decided about the first request, and DecisionOpen for later ones.
func (conn *Conn) TakeDecision() Decision { return Decision(conn.decision.Swap(int32(DecisionOpen))) }

// Read returns what the caller sent.
func (conn *Conn) Read(into []byte) (int, error) {
	if len(conn.unread) > 0 && len(into) > 0 {
		count := copy(into, conn.unread)
		conn.unread = conn.unread[count:]
		return count, nil
	}
	return conn.TCPConn.Read(into)
}

// Close closes the connection and makes room for another one.
func (conn *Conn) Close() error {
	err := conn.TCPConn.Close()
	conn.once.Do(conn.listener.leave)
	return err
}
