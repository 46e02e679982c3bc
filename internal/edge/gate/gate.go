package gate

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// backlogTime is how long a listener that is to be closed still takes the connections that the kernel has accepted. Closing it
	// at once would reset them.
	backlogTime = 100 * time.Millisecond
	// holdPause is the time between two looks at Hold while no connection is accepted.
	holdPause = 5 * time.Millisecond
	// mostHold is the longest time for which a connection is held: a router that is ready goes on to take some.
	mostHold = 200 * time.Millisecond
)

// Config configures a Listener.
type Config struct {
	Listener *net.TCPListener
	// Connections bounds the open connections; those beyond it wait until others are closed. 0 sets no limit.
	Connections int
	// Backlog bounds the connections that wait in the queue of the kernel. Those beyond it fail, so that their callers try
	// another router. 0 leaves the kernel's own bound.
	Backlog int
	// Hold reports whether connections are left in the queue of the kernel for now; nil never does.
	Hold func() bool
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
}

// New returns a listener. It fails if the bound of the kernel's queue cannot be set.
func New(config Config) (*Listener, error) {
	listener := &Listener{TCPListener: config.Listener, config: config, closed: make(chan struct{})}
	if config.Connections > 0 {
		listener.open = make(chan struct{}, config.Connections)
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
	for waited := time.Duration(0); listener.config.Hold != nil && listener.config.Hold() && waited < mostHold; waited += holdPause {
		time.Sleep(holdPause)
	}
	accepted, err := listener.AcceptTCP()
	if err != nil {
		listener.leave()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errors.Wrap(net.ErrClosed, "drained")
		}
		return nil, err
	}
	return &Conn{TCPConn: accepted, listener: listener}, nil
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

// Conn is a connection of a caller. It embeds the socket, so that its state can be looked at.
type Conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
}

var _ syscall.Conn = (*Conn)(nil)

// Close closes the connection and makes room for another one.
func (conn *Conn) Close() error {
	err := conn.TCPConn.Close()
	conn.once.Do(conn.listener.leave)
	return err
}
