package gate

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/clementinewind/clementinewind/internal/share/bound"
)

// drainTime is how long a draining listener still accepts queued connections. Closing it at once would reset them.
const drainTime = 100 * time.Millisecond

// Config configures a Listener.
type Config struct {
	Listener *net.TCPListener
	// MaxConnections limits the open connections. Once it is reached, the connection that has been idle for longest is closed, so that one is
	// free for the next. 0 means no limit.
	MaxConnections int
	// IdleTimeout returns how long a connection may wait for its next request; nil, or a result of 0, leaves that to the server. A
	// connection that is waiting already is not closed earlier if it becomes shorter.
	IdleTimeout func() time.Duration
	// Backlog is the size of the kernel's accept queue. Connections beyond it fail, so that callers try another router.
	// 0 keeps the default of the kernel.
	Backlog int
	// ReceiveBuffer is the size of the receive buffer of each connection, which holds what the server has not read; 0 leaves it to the kernel.
	ReceiveBuffer int
	// MaxPendingRefusals limits the refused requests that have not fully arrived, each of which has a connection beyond MaxConnections; 0
	// means maxPendingRefusals.
	MaxPendingRefusals int
	// Memory counts the heads of requests, which close their connection if there is no room for them. While MaxConnections connections are
	// busy, those whose callers have stopped are closed by it. Nil counts nothing.
	Memory *bound.Budget
	// ShouldRefuse decides whether the first request of a new connection is refused; nil refuses none.
	ShouldRefuse func() bool
	// RefusalResponse returns the complete HTTP response to a refused request, given its head, which part of the body
	// may follow. It must contain the header "Connection: close". It is required with ShouldRefuse. With it, requests are also refused
	// while MaxConnections connections are busy; otherwise they wait.
	RefusalResponse func(head []byte) []byte
	// Logger reports refusals that could not be sent; it is required with RefusalResponse.
	Logger hclog.Logger
}

// Listener is a net.Listener whose connections are Conns.
type Listener struct {
	*net.TCPListener
	config Config
	// openConns is a semaphore with one element per open connection; it is nil without a limit.
	openConns chan struct{}
	idle      idleConns
	// fullSince is when Accept began to wait for a connection to be closed; it is nil while Accept does not.
	fullSince atomic.Pointer[time.Time]
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// readBuffer is used by Accept only. It is nil, as pending is, if RefusalResponse is nil.
	readBuffer []byte
	// pending has one element per refused request that has not fully arrived.
	pending chan struct{}
}

// New returns a listener. It fails if the backlog cannot be set.
func New(config Config) (*Listener, error) {
	listener := &Listener{TCPListener: config.Listener, config: config, closed: make(chan struct{})}
	if config.RefusalResponse != nil {
		listener.readBuffer, listener.pending = make([]byte, readBufferBytes), make(chan struct{}, listener.maxPending())
	}
	if config.MaxConnections > 0 {
		listener.openConns = make(chan struct{}, config.MaxConnections)
	}
	if config.ReceiveBuffer > 0 {
		// A system that refuses it has a size of its own, and a listener is worth more than the size.
		_ = listener.setReceiveBuffer(config.ReceiveBuffer)
	}
	if config.Backlog > 0 {
		if err := listener.setBacklog(config.Backlog); err != nil {
			return nil, errors.Wrap(err, "set listen backlog")
		}
	}
	return listener, nil
}

func (listener *Listener) maxPending() int {
	if listener.config.MaxPendingRefusals > 0 {
		return min(listener.config.MaxPendingRefusals, maxPendingRefusals)
	}
	return maxPendingRefusals
}

// setReceiveBuffer sets the size that accepted connections inherit.
func (listener *Listener) setReceiveBuffer(bytes int) error {
	return listener.control(func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}

func (listener *Listener) setBacklog(connections int) error {
	return listener.control(func(descriptor int) error { return unix.Listen(descriptor, connections) })
}

func (listener *Listener) control(change func(descriptor int) error) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = change(int(descriptor)) }); err != nil {
		return err
	}
	return failure
}

// Accept returns the next connection. It returns net.ErrClosed after Close and once Drain has finished.
func (listener *Listener) Accept() (net.Conn, error) {
	if !listener.acquire() {
		return nil, net.ErrClosed
	}
	admitted, err := listener.refuseQueued()
	if err != nil {
		listener.release()
		return nil, err
	}
	accepted, err := listener.AcceptTCP()
	if err != nil {
		listener.release()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errors.Wrap(net.ErrClosed, "drained")
		}
		return nil, err
	}
	return newConn(accepted, listener, admitted), nil
}

// Drain makes Accept stop after a short time in which it still returns queued connections.
func (listener *Listener) Drain() error { return listener.SetDeadline(time.Now().Add(drainTime)) }

// Close makes Accept stop. Open connections stay open.
func (listener *Listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.TCPListener.Close()
}
