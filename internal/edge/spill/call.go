package spill

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxUnsent bounds the bytes that wait for a caller beyond what the kernel holds, and stuckTime how long they may wait.
	maxUnsent = 256 << 10
	stuckTime = 5 * time.Second
)

// call is a request that was handed over, with the connection of its caller. The mutex of the sender guards its fields.
type call struct {
	lane   *lane
	number uint32
	// descriptor is the caller's connection.
	descriptor int
	head       []byte
	// started is set after the first bytes of the answer, and finished after the last.
	started, finished bool
	// unsent are bytes that the caller has not taken yet, since stuck.
	unsent []byte
	stuck  time.Time
	done   func()
}

// deliver sends bytes of the answer to the caller.
func (call *call) deliver(content []byte, now time.Time) {
	call.started = true
	if len(call.unsent) > 0 {
		if call.unsent = append(call.unsent, content...); len(call.unsent) > maxUnsent {
			call.leave()
		}
		return
	}
	count, err := unix.Write(call.descriptor, content)
	switch {
	case err == unix.EAGAIN, err == unix.EINTR:
		count = 0
	case err != nil:
		call.leave()
		return
	}
	if count < len(content) {
		call.unsent, call.stuck = append(call.unsent, content[count:]...), now
	}
}

// finish ends the connection after the last bytes of the answer.
func (call *call) finish() {
	call.finished = true
	delete(call.lane.calls, call.number)
	if len(call.unsent) == 0 {
		call.close()
	}
}

// resume sends what the caller had not taken.
func (call *call) resume() {
	unsent := call.unsent
	call.unsent = nil
	stuck := call.stuck
	call.deliver(unsent, stuck)
	if call.finished && len(call.unsent) == 0 {
		call.close()
	}
}

// leave ends the connection of a caller that has left, or that does not take its answer.
func (call *call) leave() {
	if !call.finished {
		delete(call.lane.calls, call.number)
		call.lane.outbox.add(kindLeft, call.number)
	}
	call.reset()
}

// lost ends a request whose router cannot be reached any more. An answer that has begun is broken off so that it does not look
// complete.
func (call *call) lost() {
	delete(call.lane.calls, call.number)
	if call.started {
		call.reset()
		return
	}
	// A caller that has left does not read it, and nothing else can be done for it.
	_, _ = unix.Write(call.descriptor, call.lane.sender.config.Lost(call.head))
	call.close()
}

// reset closes the connection in a way that its caller notices as an error.
func (call *call) reset() {
	// Without the option the connection ends plainly, and the framing of the answer shows that it is not complete.
	_ = unix.SetsockoptLinger(call.descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	call.close()
}

func (call *call) close() {
	sender := call.lane.sender
	if _, open := sender.calls[call]; !open {
		return
	}
	delete(sender.calls, call)
	// The descriptor is gone whatever the close returns.
	_ = unix.Close(call.descriptor)
	call.done()
}

// look finds callers that have left, and those that take bytes again. The caller holds the mutex.
func (sender *Sender) look(now time.Time) {
	if len(sender.calls) == 0 {
		return
	}
	polled := make([]unix.PollFd, 0, len(sender.calls))
	calls := make([]*call, 0, len(sender.calls))
	for call := range sender.calls {
		events := int16(unix.POLLRDHUP)
		if len(call.unsent) > 0 {
			events |= unix.POLLOUT
		}
		polled = append(polled, unix.PollFd{Fd: int32(call.descriptor), Events: events})
		calls = append(calls, call)
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		// Interrupted; the next tick looks again.
		return
	}
	for i, call := range calls {
		switch seen := polled[i].Revents; {
		case seen&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0:
			call.leave()
		case len(call.unsent) == 0:
		case now.Sub(call.stuck) > stuckTime:
			call.leave()
		case seen&unix.POLLOUT != 0:
			call.resume()
		}
	}
}
