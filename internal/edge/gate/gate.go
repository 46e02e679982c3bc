package gate

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// drainTime is how long a draining listener still accepts queued connections. Closing it at once would reset them.
const drainTime = 100 * time.Millisecond

// Config configures a Listener.
type Config struct {
	Listener *net.TCPListener
	// MaxConnections limits the open connections; further ones wait until others are closed. 0 means no limit.
	MaxConnections int
	// Backlog is the size of the kernel's accept queue. Connections beyond it fail, so that callers try another router.
	// 0 keeps the default of the kernel.
	Backlog int
	// ShouldRefuse decides whether the first request of a new connection is refused; nil refuses none.
	ShouldRefuse func() bool
	// RefusalResponse returns the complete HTTP response to a refused request, given its head, which part of the body
	// may follow. It must contain the header "Connection: close".
	RefusalResponse func(head []byte) []byte
	// Logger reports refusals that could not be sent; it is required with ShouldRefuse.
	Logger hclog.Logger
}

// Listener is a net.Listener whose connections are Conns.
type Listener struct {
	*net.TCPListener
	config Config
	// openConns is a semaphore with one element per open connection; it is nil without a limit.
	openConns chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
	// readBuffer is used by Accept only. It is nil, as pending is, if ShouldRefuse is nil.
	readBuffer []byte
	// pending has one element per refused request that has not fully arrived.
	pending chan struct{}
}

// New returns a listener. It fails if the backlog cannot be set.
func New(config Config) (*Listener, error) {
	listener := &Listener{TCPListener: config.Listener, config: config, closed: make(chan struct{})}
	if config.ShouldRefuse != nil {
		listener.readBuffer, listener.pending = make([]byte, readBufferBytes), make(chan struct{}, maxPendingRefusals)
	}
	if config.MaxConnections > 0 {
		listener.openConns = make(chan struct{}, config.MaxConnections)
	}
	if config.Backlog > 0 {
		if err := listener.setBacklog(config.Backlog); err != nil {
			return nil, errors.Wrap(err, "set listen backlog")
		}
	}
	return listener, nil
}

func (listener *Listener) setBacklog(connections int) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = unix.Listen(int(descriptor), connections) }); err != nil {
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

// acquire waits until another connection may be opened. It returns false once the listener is closed.
func (listener *Listener) acquire() bool {
	if listener.openConns == nil {
		return true
	}
	select {
	case listener.openConns <- struct{}{}:
		return true
	case <-listener.closed:
		return false
	}
}

func (listener *Listener) release() {
	if listener.openConns != nil {
		<-listener.openConns
	}
}

// Drain makes Accept stop after a short time in which it still returns queued connections.
func (listener *Listener) Drain() error { return listener.SetDeadline(time.Now().Add(drainTime)) }

// Close makes Accept stop. Open connections stay open.
func (listener *Listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.TCPListener.Close()
}
