package gate

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Conn is a connection of a caller. It embeds the socket, so that link.ClosedByPeer can inspect its state.
type Conn struct {
	*net.TCPConn
	listener  *Listener
	closeOnce sync.Once
	admitted  atomic.Bool
	idle      idleState
	head      head
}

var _ syscall.Conn = (*Conn)(nil)

func newConn(accepted *net.TCPConn, listener *Listener, admitted bool) *Conn {
	conn := &Conn{TCPConn: accepted, listener: listener}
	conn.admitted.Store(admitted)
	conn.head.claim(conn)
	return conn
}

// TakeAdmission reports whether the first request of the connection was admitted when the connection was accepted. Only
// the first call can return true.
func (conn *Conn) TakeAdmission() bool { return conn.admitted.Swap(false) }

// Close closes the connection and lets Accept return another one.
func (conn *Conn) Close() error {
	conn.listener.idle.remove(conn)
	conn.head.release()
	err := conn.TCPConn.Close()
	conn.closeOnce.Do(conn.listener.release)
	return err
}
