package gate

import (
	"net"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes is above the size of requests with large prompts, which are 17 KB. Larger requests are refused by
	// a goroutine of their own, which costs several times as much.
	readBufferBytes = 64 << 10
	// refusalsPerYield is the number of refusals after which other goroutines get to run.
	refusalsPerYield = 16
)

// refuseQueued refuses queued connections for as long as ShouldRefuse returns true. It reports whether the next
// connection was admitted. Refusing in the HTTP server costs almost as much as serving: when the callers of a large
// organisation open a connection per request at one router, a router that refuses most requests would have no time to
// serve the rest.
func (listener *Listener) refuseQueued() (admitted bool, err error) {
	if listener.config.ShouldRefuse == nil {
		return false, nil
	}
	for refused := 1; listener.config.ShouldRefuse(); refused++ {
		descriptor, err := listener.acceptRaw()
		if err != nil || descriptor < 0 {
			return false, err
		}
		listener.refuseConn(descriptor)
		if refused%refusalsPerYield == 0 {
			runtime.Gosched()
		}
	}
	return true, nil
}

// refuseAllQueued refuses the requests of all queued connections, if the listener can refuse.
func (listener *Listener) refuseAllQueued() {
	if listener.config.RefusalResponse == nil {
		return
	}
	for range maxPendingRefusals {
		descriptor, err := listener.acceptRaw()
		if err != nil || descriptor < 0 {
			return
		}
		listener.refuseConn(descriptor)
	}
}

// acceptRaw takes a connection from the accept queue without a net.Conn. It returns -1 if there is none.
func (listener *Listener) acceptRaw() (int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return -1, err
	}
	descriptor := -1
	if err := raw.Control(func(listening uintptr) {
		// AcceptTCP meets the same error later and reports it.
		if accepted, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err == nil {
			descriptor = accepted
		}
	}); err != nil {
		return -1, errors.Wrap(net.ErrClosed, err.Error())
	}
	return descriptor, nil
}

// refuseConn refuses the request of a connection and closes it. If the request has not fully arrived, a goroutine reads
// the rest first: closing the connection before that would reset it and lose the response.
func (listener *Listener) refuseConn(descriptor int) {
	if received, done := listener.tryRefuse(descriptor, listener.readBuffer[:0]); !done {
		listener.refuseWhenComplete(descriptor, received)
	}
}

// tryRefuse reads what has arrived and appends it to received, up to its capacity. It reports true once the request was
// complete and has been refused, or the caller has disconnected.
func (listener *Listener) tryRefuse(descriptor int, received []byte) ([]byte, bool) {
	if len(received) == cap(received) {
		return received, false
	}
	count, err := unix.Read(descriptor, received[len(received):cap(received)])
	switch {
	case err == unix.EAGAIN, err == unix.EINTR:
		return received, false
	case err != nil || count == 0:
		// The caller has disconnected.
		_ = unix.Close(descriptor)
		return nil, true
	}
	if received = received[:len(received)+count]; !isCompleteRequest(received) {
		return received, false
	}
	listener.sendRefusal(descriptor, received)
	return nil, true
}

// sendRefusal writes the response and closes the connection. Write errors are ignored, because they mean that the caller
// has disconnected.
func (listener *Listener) sendRefusal(descriptor int, received []byte) {
	_, _ = unix.Write(descriptor, listener.config.RefusalResponse(received))
	_ = unix.Close(descriptor)
}
