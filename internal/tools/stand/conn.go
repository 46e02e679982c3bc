package stand

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection of a Network.
type conn struct {
	network       *Network
	local, remote addr
	out, in       *half
}

func (conn *conn) Read(data []byte) (int, error)  { return conn.in.read(data) }
func (conn *conn) Write(data []byte) (int, error) { return conn.out.write(data) }
func (conn *conn) LocalAddr() net.Addr            { return conn.local }
func (conn *conn) RemoteAddr() net.Addr           { return conn.remote }

func (conn *conn) Close() error {
	conn.out.close()
	conn.in.abandon()
	conn.network.mu.Lock()
	delete(conn.network.conns, conn)
	conn.network.mu.Unlock()
	return nil
}

func (conn *conn) SetDeadline(deadline time.Time) error {
	conn.SetReadDeadline(deadline)
	return conn.SetWriteDeadline(deadline)
}

func (conn *conn) SetReadDeadline(deadline time.Time) error {
	conn.in.setDeadline(&conn.in.readDeadline, deadline)
	return nil
}

func (conn *conn) SetWriteDeadline(deadline time.Time) error {
	conn.out.setDeadline(&conn.out.writeDeadline, deadline)
	return nil
}

// half is one direction of a connection.
type half struct {
	network  *Network
	from, to string

	mu       sync.Mutex
	segments []segment
	bytes    int
	// closed is set when the writer has closed its end: the reader gets the rest and then io.EOF.
	closed bool
	// abandoned is set when the reader has closed its end.
	abandoned bool
	silent    bool
	// frozenUntil is the time until which nothing arrives, the end of the connection included.
	frozenUntil time.Time
	// lastArrival keeps the segments in order when the delay falls.
	lastArrival                 time.Time
	readDeadline, writeDeadline time.Time
	changed                     chan struct{}
}

type segment struct {
	data    []byte
	arrival time.Time
}

func newHalf(network *Network, from, to addr) *half {
	return &half{network: network, from: from.host(), to: to.host(), changed: make(chan struct{})}
}

// wake lets all waiting calls look at the state again. The caller holds mu.
func (half *half) wake() {
	close(half.changed)
	half.changed = make(chan struct{})
}

func (half *half) write(data []byte) (int, error) {
	link := half.network.link(half.from, half.to)
	for {
		half.mu.Lock()
		switch {
		case half.closed:
			half.mu.Unlock()
			return 0, net.ErrClosed
		case half.abandoned && !half.silent && !link.Cut:
			half.mu.Unlock()
			return 0, io.ErrClosedPipe
		case expired(half.writeDeadline):
			half.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case half.bytes < windowBytes:
			half.push(data, link)
			half.mu.Unlock()
			return len(data), nil
		}
		changed, deadline := half.changed, half.writeDeadline
		half.mu.Unlock()
		awaitChange(changed, deadline)
	}
}

// push adds a segment. Bytes on a cut link are lost for good, so the connection is silent from then on. The caller holds
// mu.
func (half *half) push(data []byte, link LinkFaults) {
	if link.Cut {
		half.silent = true
	}
	half.bytes += len(data)
	if half.silent || half.abandoned {
		return
	}
	arrival := time.Now().Add(link.Delay)
	if arrival.Before(half.lastArrival) {
		arrival = half.lastArrival
	}
	half.lastArrival = arrival
	half.segments = append(half.segments, segment{data: append([]byte(nil), data...), arrival: arrival})
	half.wake()
}

func (half *half) read(data []byte) (int, error) {
	for {
		half.mu.Lock()
		now := time.Now()
		next := half.readDeadline
		switch {
		case half.abandoned:
			half.mu.Unlock()
			return 0, net.ErrClosed
		case expired(half.readDeadline):
			half.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case half.frozenUntil.After(now):
			if next.IsZero() || half.frozenUntil.Before(next) {
				next = half.frozenUntil
			}
		case len(half.segments) > 0 && !half.segments[0].arrival.After(now):
			count := half.pop(data)
			half.mu.Unlock()
			return count, nil
		case len(half.segments) > 0:
			if arrival := half.segments[0].arrival; next.IsZero() || arrival.Before(next) {
				next = arrival
			}
		case half.closed && !half.silent:
			half.mu.Unlock()
			return 0, io.EOF
		}
		changed := half.changed
		half.mu.Unlock()
		awaitChange(changed, next)
	}
}

// pop moves bytes of the first segment to data. The caller holds mu.
func (half *half) pop(data []byte) int {
	first := &half.segments[0]
	count := copy(data, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		half.segments = half.segments[1:]
	}
	half.bytes -= count
	half.wake()
	return count
}

// close ends the direction. On a cut link the reader does not learn of it.
func (half *half) close() {
	link := half.network.link(half.from, half.to)
	half.mu.Lock()
	defer half.mu.Unlock()
	half.closed = true
	half.silent = half.silent || link.Cut
	half.wake()
}

func (half *half) abandon() {
	half.mu.Lock()
	defer half.mu.Unlock()
	half.abandoned = true
	half.segments = nil
	half.wake()
}

func (half *half) silence() {
	half.mu.Lock()
	defer half.mu.Unlock()
	half.silent = true
}

func (half *half) freeze(until time.Time) {
	half.mu.Lock()
	defer half.mu.Unlock()
	half.frozenUntil = until
	half.wake()
}

func (half *half) setDeadline(field *time.Time, deadline time.Time) {
	half.mu.Lock()
	defer half.mu.Unlock()
	*field = deadline
	half.wake()
}

func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(time.Now())
}

// awaitChange returns when changed is closed or the deadline has passed; a zero deadline never passes.
func awaitChange(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
