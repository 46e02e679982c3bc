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
	network            *Network
	local, remote      addr
	outgoing, incoming *half
}

func (conn *conn) Read(data []byte) (int, error)  { return conn.incoming.read(data) }
func (conn *conn) Write(data []byte) (int, error) { return conn.outgoing.write(data) }
func (conn *conn) LocalAddr() net.Addr            { return conn.local }
func (conn *conn) RemoteAddr() net.Addr           { return conn.remote }

func (conn *conn) Close() error {
	conn.outgoing.closeWriter()
	conn.incoming.closeReader()
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
	conn.incoming.setDeadline(&conn.incoming.readDeadline, deadline)
	return nil
}

func (conn *conn) SetWriteDeadline(deadline time.Time) error {
	conn.outgoing.setDeadline(&conn.outgoing.writeDeadline, deadline)
	return nil
}

// half is one direction of a connection: one end writes to it, the other reads from it.
type half struct {
	network  *Network
	from, to string

	mu            sync.Mutex
	segments      []segment
	bufferedBytes int
	// writerClosed is set when the writer has closed its end: the reader gets the buffered bytes and then io.EOF.
	writerClosed bool
	// readerClosed is set when the reader has closed its end.
	readerClosed bool
	// silent is set when all further bytes, and the end of the connection, are dropped without an error.
	silent bool
	// frozenUntil is the time until which nothing arrives, not even the end of the connection.
	frozenUntil time.Time
	// lastArrival keeps the segments in order when the delay decreases.
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

// notify makes all waiting calls check the state again. The caller holds mu.
func (half *half) notify() {
	close(half.changed)
	half.changed = make(chan struct{})
}

func (half *half) write(data []byte) (int, error) {
	link := half.network.link(half.from, half.to)
	for {
		half.mu.Lock()
		switch {
		case half.writerClosed:
			half.mu.Unlock()
			return 0, net.ErrClosed
		case half.readerClosed && !half.silent && !link.Cut:
			half.mu.Unlock()
			return 0, io.ErrClosedPipe
		case expired(half.writeDeadline):
			half.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case half.bufferedBytes < windowBytes:
			half.push(data, link)
			half.mu.Unlock()
			return len(data), nil
		}
		changed, deadline := half.changed, half.writeDeadline
		half.mu.Unlock()
		awaitChange(changed, deadline)
	}
}

// push adds a segment. Bytes on a cut link are lost and never sent again, so the direction stays silent from then on.
// Dropped bytes count as buffered, so that writes to a silent connection block in the end. The caller holds mu.
func (half *half) push(data []byte, link LinkFaults) {
	if link.Cut {
		half.silent = true
	}
	half.bufferedBytes += len(data)
	if half.silent || half.readerClosed {
		return
	}
	arrival := time.Now().Add(link.Delay)
	if arrival.Before(half.lastArrival) {
		arrival = half.lastArrival
	}
	half.lastArrival = arrival
	half.segments = append(half.segments, segment{data: append([]byte(nil), data...), arrival: arrival})
	half.notify()
}

func (half *half) read(data []byte) (int, error) {
	for {
		half.mu.Lock()
		now := time.Now()
		next := half.readDeadline
		switch {
		case half.readerClosed:
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
		case half.writerClosed && !half.silent:
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
	half.bufferedBytes -= count
	half.notify()
	return count
}

// closeWriter closes the writing end. On a cut link the reader does not see the end.
func (half *half) closeWriter() {
	link := half.network.link(half.from, half.to)
	half.mu.Lock()
	defer half.mu.Unlock()
	half.writerClosed = true
	half.silent = half.silent || link.Cut
	half.notify()
}

func (half *half) closeReader() {
	half.mu.Lock()
	defer half.mu.Unlock()
	half.readerClosed = true
	half.segments = nil
	half.notify()
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
	half.notify()
}

func (half *half) setDeadline(field *time.Time, deadline time.Time) {
	half.mu.Lock()
	defer half.mu.Unlock()
	*field = deadline
	half.notify()
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
