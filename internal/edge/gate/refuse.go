package gate

import (
	"bytes"
	"net"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// requestBytes is above the size of most requests. Larger ones are refused by a goroutine of their own.
	requestBytes = 16 << 10
	// refusedAtOnce is after how many refusals other work of the process gets its turn.
	refusedAtOnce = 16
)

// refuse turns away the connections that are waiting, while Refusing says so. It returns the first one whose request is served, or nil
// if none is waiting, and reports whether it was decided that the next one is served. The load it answers: the callers of a large organisation stay with one router and open a connection for each
// request. A refusal by the server costs so much of what serving costs that a router which refuses most of them serves none.
func (listener *Listener) refuse() (conn *Conn, decided bool, err error) {
	if listener.config.Refusing == nil {
		return nil, false, nil
	}
	for looked := 1; listener.config.Refusing(); looked++ {
		descriptor, err := listener.waiting()
		if err != nil || descriptor < 0 {
			return nil, false, err
		}
		if conn := listener.decide(descriptor); conn != nil {
			return conn, true, nil
		}
		if looked%refusedAtOnce == 0 {
			runtime.Gosched()
		}
	}
	return nil, true, nil
}

// decide answers the request of a connection and closes it, or returns the connection if the request is served. Where a refused
// request has not arrived as a whole, a goroutine reads the rest first: closing the connection before would reset it, and its caller
// would not get the answer.
func (listener *Listener) decide(descriptor int) *Conn {
	received, state := look(descriptor, listener.buffer[:0])
	if state == lookClosed {
		return nil
	}
	request := received
	if state != lookWhole {
		request = nil
	}
	switch {
	case !listener.config.Refuses(request):
		conn, err := listener.serve(descriptor, received)
		if err != nil {
			listener.config.Logger.Warn("connection of a caller lost", "Error", err)
			return nil
		}
		return conn
	case state == lookWhole:
		listener.answer(descriptor, received)
	default:
		listener.await(descriptor, received)
	}
	return nil
}

// serve returns a connection whose first request is served.
func (listener *Listener) serve(descriptor int, received []byte) (*Conn, error) {
	accepted, err := tcpConn(descriptor)
	if err != nil {
		return nil, err
	}
	conn := newConn(accepted, listener, true)
	conn.received = bytes.Clone(received)
	return conn, nil
}

// tcpConn makes a connection of a descriptor, which belongs to it then.
func tcpConn(descriptor int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(descriptor), "caller")
	conn, err := net.FileConn(file)
	// The connection has a descriptor of its own.
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "connection of a caller")
	}
	accepted, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("connection of a caller is a %T", conn)
	}
	return accepted, accepted.SetNoDelay(true)
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

// lookState is what look found.
type lookState int

const (
	// lookPart is a request of which more is to come, or one that look cannot delimit.
	lookPart lookState = iota
	// lookWhole is exactly one request.
	lookWhole
	// lookClosed is a connection whose caller has left. It is closed.
	lookClosed
)

// look reads what has arrived behind the bytes that were received, up to their capacity.
func look(descriptor int, received []byte) ([]byte, lookState) {
	if len(received) == cap(received) {
		return received, lookPart
	}
	count, err := unix.Read(descriptor, received[len(received):cap(received)])
	switch {
	case err == unix.EAGAIN, err == unix.EINTR:
		return received, lookPart
	case err != nil || count == 0:
		// The caller has left; nothing is owed to it.
		_ = unix.Close(descriptor)
		return nil, lookClosed
	}
	if received = received[:len(received)+count]; !whole(received) {
		return received, lookPart
	}
	return received, lookWhole
}

// answer sends the refusal and closes the connection. A caller that has left does not read it, and nothing else can be done for it.
func (listener *Listener) answer(descriptor int, received []byte) {
	_, _ = unix.Write(descriptor, listener.config.Refusal(received))
	_ = unix.Close(descriptor)
}
