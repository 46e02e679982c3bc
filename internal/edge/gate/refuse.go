package gate

import (
	"net"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// requestBytes is above the size of requests with large prompts, which are 17 KB. Larger ones are refused by a goroutine of their own,
	// which costs several times as much.
	requestBytes = 64 << 10
	// refusedAtOnce is after how many refusals other work of the process gets its turn.
	refusedAtOnce = 16
)

// refuse turns away the connections that are waiting, while ShouldRefuse says so. It reports whether it was decided that the next
// connection is served. The load it answers: the callers of a large organisation stay with one router and open a connection for
// each request. A refusal by the server costs so much of what serving costs that a router which refuses most of them serves none.
func (listener *Listener) refuse() (served bool, err error) {
	if listener.config.ShouldRefuse == nil {
		return false, nil
	}
	for turned := 1; listener.config.ShouldRefuse(); turned++ {
		descriptor, err := listener.waiting()
		if err != nil || descriptor < 0 {
			return false, err
		}
		listener.turnAway(descriptor)
		if turned%refusedAtOnce == 0 {
			runtime.Gosched()
		}
	}
	return true, nil
}

// waiting takes a connection from the queue of the kernel. It returns -1 if there is none.
func (listener *Listener) waiting() (int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return -1, err
	}
	descriptor := -1
	if err := raw.Control(func(listening uintptr) {
		// Accept meets any failure too, and reports it.
		if accepted, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
			descriptor = accepted
		}
	}); err != nil {
		return -1, errors.Wrap(net.ErrClosed, err.Error())
	}
	return descriptor, nil
}

// turnAway answers the request of a connection and closes it. Where the request has not arrived as a whole, a goroutine reads the
// rest first: closing the connection before would reset it, and its caller would not get the answer.
func (listener *Listener) turnAway(descriptor int) {
	if received, done := listener.look(descriptor, listener.buffer[:0]); !done {
		listener.await(descriptor, received)
	}
}

// look reads what has arrived behind the bytes that were received, up to their capacity. It is done when the request was whole and
// is answered, or the caller has left.
func (listener *Listener) look(descriptor int, received []byte) ([]byte, bool) {
	if len(received) == cap(received) {
		return received, false
	}
	count, err := unix.Read(descriptor, received[len(received):cap(received)])
	switch {
	case err == unix.EAGAIN, err == unix.EINTR:
		return received, false
	case err != nil || count == 0:
		// The caller has left.
		_ = unix.Close(descriptor)
		return nil, true
	}
	if received = received[:len(received)+count]; !whole(received) {
		return received, false
	}
	listener.answer(descriptor, received)
	return nil, true
}

// answer sends the refusal and closes the connection. A caller that has left does not read it, and nothing else can be done for it.
func (listener *Listener) answer(descriptor int, received []byte) {
	_, _ = unix.Write(descriptor, listener.config.RefusalResponse(received))
	_ = unix.Close(descriptor)
}
