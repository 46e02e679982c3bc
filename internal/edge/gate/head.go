package gate

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/share/bound"
)

// headFreeBytes is the part of each head that does not count. The server reads it at once, and most heads are smaller.
const headFreeBytes = 4 << 10

var errHeadMemory = errors.New("the memory for heads of requests is used up")

// headPhase is what a connection does with regard to heads.
type headPhase int

const (
	// headArriving means that the head of a request has not fully arrived.
	headArriving headPhase = iota
	// headArrived means that the request is served.
	headArrived
	// headAwaited means that the next request has not begun.
	headAwaited
)

// head counts the head of the request on a connection. The server uses it in one goroutine at a time.
type head struct {
	// memory is nil if nothing is counted.
	memory *bound.Reservation
	bytes  int
	// uncounted is set when the head has lost its place, but its request is served. The connection counts no heads after that.
	uncounted bool
	// mutex protects phase, so that a head that has just arrived is not evicted.
	mutex sync.Mutex
	phase headPhase
}

// claim begins to count for a new connection, whose first head is due.
func (head *head) claim(conn *Conn) {
	budget := conn.listener.config.Memory
	if budget == nil {
		return
	}
	owner := bound.Owner{}
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		owner.Address = address.AddrPort().Addr().Unmap()
	}
	head.memory = budget.Claim(bound.Claim{Kind: bound.KindHead, Owner: owner, Free: headFreeBytes, Evict: func() {
		head.mutex.Lock()
		defer head.mutex.Unlock()
		if head.phase == headArriving {
			// It fails only if the connection is closed already.
			_ = conn.TCPConn.SetReadDeadline(past)
		}
	}})
	head.memory.Await(time.Now())
}

// read counts bytes that arrived. It fails if there is no room for them.
func (head *head) read(count int) error {
	if head.memory == nil || head.uncounted || count <= 0 || head.phase == headArrived {
		return nil
	}
	if head.phase == headAwaited {
		head.setPhase(headArriving)
		head.memory.Await(time.Now())
	}
	if head.bytes += count; head.bytes > headFreeBytes && !head.memory.Hold(head.bytes) {
		return errHeadMemory
	}
	return nil
}

func (head *head) setPhase(phase headPhase) {
	head.mutex.Lock()
	defer head.mutex.Unlock()
	head.phase = phase
}

// changed follows the state that the server reports. What a head holds is given up at the end of its request.
func (head *head) changed(conn *Conn, state http.ConnState) {
	switch {
	case head.memory == nil, head.uncounted:
	case state == http.StateActive:
		head.setPhase(headArrived)
		if !head.memory.Settle() {
			// It arrived just before it lost its place, and is served. It fails only if the connection is closed already.
			_ = conn.TCPConn.SetReadDeadline(time.Time{})
			head.memory.Release()
			head.uncounted = true
		}
	case state == http.StateIdle:
		head.setPhase(headAwaited)
		if head.bytes > headFreeBytes {
			// It cannot fail, because nothing is held.
			_ = head.memory.Hold(0)
		}
		head.bytes = 0
	}
}

func (head *head) release() {
	if head.memory != nil {
		head.memory.Release()
	}
}
