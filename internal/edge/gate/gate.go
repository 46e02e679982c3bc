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

// backlogTime is how long a listener that is to be closed still takes the connections that the kernel has accepted. Closing it at
// once would reset them.
const backlogTime = 100 * time.Millisecond

// Config configures a Listener.
type Config struct {
	Listener *net.TCPListener
	// MaxConnections bounds the open connections; those beyond it wait until others are closed. 0 sets no limit.
	MaxConnections int
	// Backlog bounds the connections that wait in the queue of the kernel. Those beyond it fail, so that their callers try
	// another router. 0 leaves the kernel's own bound.
	Backlog int
	// ShouldRefuse decides for a new connection whether its first request is refused; nil never does.
	ShouldRefuse func() bool
	// RefusalResponse returns the answer to a refused request, with its status line, as it is sent, from the head of the request. It must
	// announce the end of the connection. Bytes of the body may follow the head.
	RefusalResponse func(head []byte) []byte
	// Logger tells of connections that are lost; it is needed with ShouldRefuse.
	Logger hclog.Logger
}

// Listener is a net.Listener whose connections are Conns.
type Listener struct {
	*net.TCPListener
	config Config
	// open has an element for each open connection; it is nil without a limit.
	open chan struct{}
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
	// buffer is used by Accept only. It is nil, as awaited is, if nothing is refused.
	buffer []byte
	// awaited has an element for each refused request whose rest is awaited.
	awaited chan struct{}
}

// New returns a listener. It fails if the bound of the kernel's queue cannot be set.
func New(config Config) (*Listener, error) {
	listener := &Listener{TCPListener: config.Listener, config: config, closed: make(chan struct{})}
	if config.ShouldRefuse != nil {
		listener.buffer, listener.awaited = make([]byte, requestBytes), make(chan struct{}, mostAwaited)
	}
	if config.MaxConnections > 0 {
		listener.open = make(chan struct{}, config.MaxConnections)
	}
	if config.Backlog > 0 {
		if err := listener.shorten(config.Backlog); err != nil {
			return nil, errors.Wrap(err, "bound the queue of connections")
		}
	}
	return listener, nil
}

func (listener *Listener) shorten(connections int) error {
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

// Accept returns the next connection. It returns net.ErrClosed after Close and after the end of Drain.
func (listener *Listener) Accept() (net.Conn, error) {
	if !listener.enter() {
		return nil, net.ErrClosed
	}
	served, err := listener.refuse()
	if err != nil {
		listener.leave()
		return nil, err
	}
	accepted, err := listener.AcceptTCP()
	if err != nil {
		listener.leave()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errors.Wrap(net.ErrClosed, "drained")
		}
		return nil, err
	}
	return newConn(accepted, listener, served), nil
}

// enter waits until one more connection may be open. It returns false once the listener is closed.
func (listener *Listener) enter() bool {
	if listener.open == nil {
		return true
	}
	select {
	case listener.open <- struct{}{}:
		return true
	case <-listener.closed:
		return false
	}
}

func (listener *Listener) leave() {
	if listener.open != nil {
		<-listener.open
	}
}

// Drain lets Accept go on for a moment with what the kernel has accepted.
func (listener *Listener) Drain() error { return listener.SetDeadline(time.Now().Add(backlogTime)) }

// Close ends Accept. Open connections stay open.
func (listener *Listener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return listener.TCPListener.Close()
}
