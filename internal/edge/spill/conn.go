package spill

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxPending bounds the bytes of one answer that wait to be sent. A Write waits above it.
const maxPending = 64 << 10

// Conn is the connection of a caller at another router, with one request. It is a net.Conn for an http.Server.
type Conn struct {
	bearer *bearer
	number uint32
	// changed is signalled at each change of the fields below, which the mutex of the bearer guards.
	changed *sync.Cond
	unread  []byte
	pending []byte
	// queued is set while the bearer is to send pending, and started after the first Write.
	queued, started bool
	left, closed    bool
	readBy, writeBy deadline
}

var _ net.Conn = (*Conn)(nil)

// deadline wakes those that wait on a Conn.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (deadline *deadline) set(at time.Time, wake func()) {
	if deadline.timer != nil {
		deadline.timer.Stop()
		deadline.timer = nil
	}
	deadline.at = at
	if !at.IsZero() {
		deadline.timer = time.AfterFunc(time.Until(at), wake)
	}
}

func (deadline *deadline) passed() bool {
	return !deadline.at.IsZero() && !time.Now().Before(deadline.at)
}

// Left reports whether the caller has left, or the router that it is connected to cannot be reached.
func (conn *Conn) Left() bool {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	return conn.left
}

// Read implements net.Conn. Behind the request it waits until the caller leaves.
func (conn *Conn) Read(buffer []byte) (int, error) {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	for {
		switch {
		case conn.closed:
			return 0, net.ErrClosed
		case conn.readBy.passed():
			return 0, os.ErrDeadlineExceeded
		case len(conn.unread) > 0:
			count := copy(buffer, conn.unread)
			conn.unread = conn.unread[count:]
			return count, nil
		case conn.left:
			return 0, io.EOF
		}
		conn.changed.Wait()
	}
}

// Write implements net.Conn. The first piece of an answer is sent at once, later ones with what comes behind them.
func (conn *Conn) Write(written []byte) (int, error) {
	bearer := conn.bearer
	bearer.mutex.Lock()
	defer bearer.mutex.Unlock()
	for {
		switch {
		case conn.closed, conn.left:
			return 0, net.ErrClosed
		case conn.writeBy.passed():
			return 0, os.ErrDeadlineExceeded
		case len(conn.pending) <= maxPending:
			conn.pending = append(conn.pending, written...)
			bearer.queue(conn)
			if !conn.started {
				conn.started = true
				bearer.flush()
			}
			return len(written), nil
		}
		conn.changed.Wait()
	}
}

// Close implements net.Conn. What was written is sent before the end.
func (conn *Conn) Close() error {
	bearer := conn.bearer
	bearer.mutex.Lock()
	defer bearer.mutex.Unlock()
	if conn.closed {
		return net.ErrClosed
	}
	conn.closed = true
	conn.readBy.set(time.Time{}, nil)
	conn.writeBy.set(time.Time{}, nil)
	conn.changed.Broadcast()
	delete(bearer.conns, conn.number)
	bearer.receiver.open.Add(-1)
	if !conn.left {
		bearer.queue(conn)
		bearer.flush()
	}
	return nil
}

// LocalAddr implements net.Conn.
func (conn *Conn) LocalAddr() net.Addr { return conn.bearer.conn.LocalAddr() }

// RemoteAddr implements net.Conn with the address of the router that the caller is connected to.
func (conn *Conn) RemoteAddr() net.Addr { return conn.bearer.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (conn *Conn) SetDeadline(at time.Time) error {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	conn.readBy.set(at, conn.wake)
	conn.writeBy.set(at, conn.wake)
	conn.changed.Broadcast()
	return nil
}

// SetReadDeadline implements net.Conn.
func (conn *Conn) SetReadDeadline(at time.Time) error {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	conn.readBy.set(at, conn.wake)
	conn.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (conn *Conn) SetWriteDeadline(at time.Time) error {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	conn.writeBy.set(at, conn.wake)
	conn.changed.Broadcast()
	return nil
}

func (conn *Conn) wake() {
	conn.bearer.mutex.Lock()
	defer conn.bearer.mutex.Unlock()
	conn.changed.Broadcast()
}
