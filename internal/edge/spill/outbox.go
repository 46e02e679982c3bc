package spill

import (
	"net"
	"sync"
	"time"
)

const (
	// writeTimeout bounds one write. A router that takes nothing for so long does not run.
	writeTimeout = 2 * time.Second
	// congestedBytes and congestedTime are what may wait to be written before nothing more is handed over on a connection.
	congestedBytes = 256 << 10
	congestedTime  = 100 * time.Millisecond
)

// outbox gathers frames and writes all that wait at once. Its methods may be called by many goroutines.
type outbox struct {
	conn net.Conn
	// wake has an element while frames wait.
	wake chan struct{}
	// ended is closed by close.
	ended chan struct{}
	once  sync.Once

	mutex   sync.Mutex
	waiting []byte
	// writing is set while a write runs, and since is when it began.
	writing bool
	since   time.Time
}

func newOutbox(conn net.Conn) *outbox {
	return &outbox{conn: conn, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

func (outbox *outbox) add(kind kind, number uint32, content ...[]byte) {
	outbox.mutex.Lock()
	outbox.waiting = appendFrame(outbox.waiting, kind, number, content...)
	outbox.mutex.Unlock()
	select {
	case outbox.wake <- struct{}{}:
	default:
	}
}

// congested reports whether the other router takes frames more slowly than they come.
func (outbox *outbox) congested(now time.Time) bool {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	return len(outbox.waiting) > congestedBytes || (outbox.writing && now.Sub(outbox.since) > congestedTime)
}

// empty reports whether everything was written.
func (outbox *outbox) empty() bool {
	outbox.mutex.Lock()
	defer outbox.mutex.Unlock()
	return len(outbox.waiting) == 0 && !outbox.writing
}

// run writes until close is called or a write fails, and then closes the connection.
func (outbox *outbox) run() {
	defer outbox.close()
	var spare []byte
	for {
		select {
		case <-outbox.ended:
			return
		case <-outbox.wake:
		}
		outbox.mutex.Lock()
		written := outbox.waiting
		outbox.waiting, outbox.writing, outbox.since = spare[:0], true, time.Now()
		outbox.mutex.Unlock()
		if err := outbox.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		if _, err := outbox.conn.Write(written); err != nil {
			// The reader of the connection meets its end, and reports it.
			return
		}
		outbox.mutex.Lock()
		outbox.writing = false
		outbox.mutex.Unlock()
		spare = written
	}
}

// close closes the connection. What waits is not written.
func (outbox *outbox) close() {
	outbox.once.Do(func() {
		close(outbox.ended)
		// The connection is given up; an error of its close changes nothing.
		_ = outbox.conn.Close()
	})
}
