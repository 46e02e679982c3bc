package gate

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Conn is a connection of a caller. It embeds the socket, so that its state can be looked at.
type Conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
	served   atomic.Bool
}

var _ syscall.Conn = (*Conn)(nil)

func newConn(accepted *net.TCPConn, listener *Listener, served bool) *Conn {
	conn := &Conn{TCPConn: accepted, listener: listener}
	conn.served.Store(served)
	return conn
}

// TakeAdmission reports, for the first request of the connection only, whether it was decided that the request is served when the
// connection was accepted.
func (conn *Conn) TakeAdmission() bool { return conn.served.Swap(false) }

// Close closes the connection and makes room for another one.
func (conn *Conn) Close() error {
	err := conn.TCPConn.Close()
	conn.once.Do(conn.listener.leave)
	return err
}
