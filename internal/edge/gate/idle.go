package gate

import (
	"container/list"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/route/link"
)

const (
	// fullPollInterval is how often a listener that has no free connection tries again to close an idle one.
	fullPollInterval = 20 * time.Millisecond
	// maxFullWait is how long a new connection waits for a free one before its request is refused. It is below a third of the shortest
	// deadlines, after which callers give up on a request that was not read.
	maxFullWait = 250 * time.Millisecond
	// maxFullTime is the time without a free connection after which the listener counts as full. Platforms check readiness once a
	// second.
	maxFullTime = time.Second
	// nearlyFullFraction is the fraction of MaxConnections from which callers should not leave connections open.
	nearlyFullFraction = 0.8
)

// past is a deadline that has always expired.
var past = time.Unix(1, 0)

// idleConns are the connections that wait for their next request.
type idleConns struct {
	mutex sync.Mutex
	// waiting holds the *Conn, the one that has waited longest first.
	waiting list.List
}

// idleState is the part of a connection that the mutex of idleConns protects.
type idleState struct {
	// reported is set between the report that the connection is idle and the deadline of the wait for the next request.
	reported bool
	// element is the element of the connection in idleConns.waiting; it is nil while the connection does not wait.
	element *list.Element
	since   time.Time
	// evicted is set while the connection is being closed to make room for another.
	evicted bool
}

// ConnState tracks which connections are idle. It must be the ConnState of the http.Server.
func (listener *Listener) ConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*Conn)
	if !ok {
		return
	}
	caller.head.changed(caller, state)
	if state == http.StateIdle {
		listener.idle.mutex.Lock()
		defer listener.idle.mutex.Unlock()
		caller.idle.reported = true
	}
}

// SetReadDeadline implements net.Conn. After http.Server has reported a connection as idle, it sets the deadline of the wait for the next
// request, which is replaced by the one that follows from Config.IdleTimeout.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	idle := &conn.listener.idle
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	idle.removeLocked(conn)
	if conn.idle.reported {
		conn.idle.reported, conn.idle.since = false, time.Now()
		conn.idle.element = idle.waiting.PushBack(conn)
		if limit := conn.listener.idleTimeout(); limit > 0 {
			deadline = conn.idle.since.Add(limit)
		}
	}
	return conn.TCPConn.SetReadDeadline(deadline)
}

// Read implements net.Conn. An idle connection whose deadline has passed is read on if a request has arrived, which a process that was
// paused or overloaded has not read in time, or if the idle timeout has become longer.
func (conn *Conn) Read(buffer []byte) (int, error) {
	for {
		count, err := conn.TCPConn.Read(buffer)
		if conn.readsOn(err) {
			continue
		}
		if err == nil {
			err = conn.head.read(count)
		}
		return count, err
	}
}

func (conn *Conn) readsOn(err error) bool {
	idle := &conn.listener.idle
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	if conn.idle.element == nil && !conn.idle.evicted {
		return false
	}
	evicted, since := conn.idle.evicted, conn.idle.since
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		idle.removeLocked(conn)
		return false
	}
	if link.HasUnread(conn.TCPConn) {
		idle.removeLocked(conn)
		return conn.TCPConn.SetReadDeadline(time.Time{}) == nil
	}
	if deadline := since.Add(conn.listener.idleTimeout()); !evicted && time.Now().Before(deadline) {
		return conn.TCPConn.SetReadDeadline(deadline) == nil
	}
	idle.removeLocked(conn)
	return false
}

func (idle *idleConns) removeLocked(conn *Conn) {
	conn.idle.evicted = false
	if conn.idle.element != nil {
		idle.waiting.Remove(conn.idle.element)
		conn.idle.element = nil
	}
}

// remove stops tracking a connection.
func (idle *idleConns) remove(conn *Conn) {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	idle.removeLocked(conn)
}

// closeLongest closes the connection that has been idle for longest, if there is one. Its caller is the least likely to use it again.
func (idle *idleConns) closeLongest() bool {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	front := idle.waiting.Front()
	if front == nil {
		return false
	}
	conn := front.Value.(*Conn)
	idle.removeLocked(conn)
	conn.idle.evicted = true
	// The server closes the connection when its read fails. Closing it here could cut off a request that has just been read.
	return conn.TCPConn.SetReadDeadline(past) == nil
}

func (listener *Listener) idleTimeout() time.Duration {
	if listener.config.IdleTimeout == nil {
		return 0
	}
	return listener.config.IdleTimeout()
}

// acquire waits until another connection may be opened, and closes idle ones for it. While all are busy, it refuses the requests of
// queued connections, if the listener can refuse. It returns false once the listener is closed.
func (listener *Listener) acquire() bool {
	if listener.openConns == nil {
		return true
	}
	select {
	case listener.openConns <- struct{}{}:
		return true
	default:
	}
	start := time.Now()
	listener.fullSince.Store(&start)
	defer listener.fullSince.Store(nil)
	for {
		if !listener.idle.closeLongest() && !listener.evictStalled() && time.Since(start) > maxFullWait {
			listener.refuseAllQueued()
		}
		select {
		case listener.openConns <- struct{}{}:
			return true
		case <-listener.closed:
			return false
		case <-time.After(fullPollInterval):
		}
	}
}

// evictStalled makes the caller lose its connection that has stopped for longest in the middle of a request, or does not read its answer.
func (listener *Listener) evictStalled() bool {
	return listener.config.Memory != nil && listener.config.Memory.EvictStalled(time.Now())
}

func (listener *Listener) release() {
	if listener.openConns != nil {
		<-listener.openConns
	}
}

// Open returns the number of open connections; 0 if it is not limited.
func (listener *Listener) Open() int { return len(listener.openConns) }

// NearlyFull reports whether so many connections are open that callers should not leave them open.
func (listener *Listener) NearlyFull() bool {
	return listener.openConns != nil && float64(listener.Open()) >= nearlyFullFraction*float64(cap(listener.openConns))
}

// Full reports whether no new connection could be opened for maxFullTime, because all are busy.
func (listener *Listener) Full() bool {
	since := listener.fullSince.Load()
	return since != nil && time.Since(*since) > maxFullTime
}
