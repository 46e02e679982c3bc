package stand

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// ConnectionFault is a fault of one connection of a PipeNetwork. Its byte counts are those of the dialling side.
type ConnectionFault struct {
	// Refuse fails the dial.
	Refuse bool
	// ResetAfterWritten and ResetAfterRead close the connection after that many bytes; 0 means never.
	ResetAfterWritten, ResetAfterRead int
	// SilentAfterWritten and SilentAfterRead drop all bytes after that many and keep the connection open; 0 means never.
	SilentAfterWritten, SilentAfterRead int
}

// ConnectionFaults returns named faults that break a connection at the dial, in the request, and in the answer. They
// need a request of more than 100 bytes and an answer of more than 900 bytes.
func ConnectionFaults() map[string]ConnectionFault {
	return map[string]ConnectionFault{
		"dial refused":                    {Refuse: true},
		"connection reset in request":     {ResetAfterWritten: 100},
		"connection silent in request":    {SilentAfterWritten: 100},
		"connection reset before answer":  {ResetAfterRead: 1},
		"connection silent before answer": {SilentAfterRead: 1},
		"connection reset in headers":     {ResetAfterRead: 130},
		"connection silent in headers":    {SilentAfterRead: 130},
		"connection reset in answer":      {ResetAfterRead: 900},
		"connection silent in answer":     {SilentAfterRead: 900},
	}
}

// PipeNetwork connects dialers and listeners by net.Pipe, so that they can run in the virtual time of testing/synctest.
type PipeNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	faults      []ConnectionFault
	dials       int
	faultyDials int
}

// NewPipeNetwork returns a PipeNetwork without listeners.
func NewPipeNetwork() *PipeNetwork {
	return &PipeNetwork{listeners: map[string]*pipeListener{}}
}

// Inject adds faults; each dial takes the oldest one. A zero fault leaves its connection healthy.
func (network *PipeNetwork) Inject(faults ...ConnectionFault) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.faults = append(network.faults, faults...)
}

// Dials returns the number of dials.
func (network *PipeNetwork) Dials() int {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.dials
}

// FaultyDials returns the number of dials that got a fault.
func (network *PipeNetwork) FaultyDials() int {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.faultyDials
}

// Listen returns a listener on an address.
func (network *PipeNetwork) Listen(address string) net.Listener {
	network.mu.Lock()
	defer network.mu.Unlock()
	listener := &pipeListener{address: pipeAddress(address), accepted: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[address] = listener
	return listener
}

// Serve serves HTTP on an address until the server is closed.
func (network *PipeNetwork) Serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	go server.Serve(network.Listen(address))
	return server
}

// Dial connects to the listener on an address.
func (network *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mu.Lock()
	listener := network.listeners[address]
	var fault ConnectionFault
	if len(network.faults) > 0 {
		fault, network.faults = network.faults[0], network.faults[1:]
	}
	network.dials++
	if fault != (ConnectionFault{}) {
		network.faultyDials++
	}
	network.mu.Unlock()
	if listener == nil || fault.Refuse {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
		return &faultyConn{Conn: near, fault: fault, closed: make(chan struct{})}, nil
	case <-listener.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeAddress string

// Network returns the name of the network.
func (pipeAddress) Network() string { return "memory" }

// String returns the address.
func (address pipeAddress) String() string { return string(address) }

type pipeListener struct {
	address  pipeAddress
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next dial.
func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accepted:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further dials.
func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

// Addr returns the address.
func (listener *pipeListener) Addr() net.Addr { return listener.address }

// faultyConn is the dialling side of a connection with its fault.
type faultyConn struct {
	net.Conn
	fault  ConnectionFault
	closed chan struct{}
	once   sync.Once

	// mu protects silent. Only Write uses written, and only Read uses read.
	mu            sync.Mutex
	written, read int
	silent        bool
}

// Write passes data on until the fault takes effect.
func (conn *faultyConn) Write(data []byte) (int, error) {
	reset, silent := conn.fault.ResetAfterWritten, conn.fault.SilentAfterWritten
	if reset > 0 && conn.written+len(data) >= reset {
		count, _ := conn.Conn.Write(data[:max(reset-conn.written, 0)])
		conn.Close()
		return count, errors.New("connection reset")
	}
	if conn.isSilent() {
		return len(data), nil
	}
	if silent > 0 && conn.written+len(data) >= silent {
		// The write succeeds, because a kernel accepts the bytes although the peer never receives them.
		_, err := conn.Conn.Write(data[:max(silent-conn.written, 0)])
		conn.silence()
		return len(data), err
	}
	count, err := conn.Conn.Write(data)
	conn.written += count
	return count, err
}

// Read returns data until the fault takes effect.
func (conn *faultyConn) Read(data []byte) (int, error) {
	reset, silent := conn.fault.ResetAfterRead, conn.fault.SilentAfterRead
	switch {
	case reset > 0 && conn.read >= reset:
		conn.Close()
		return 0, errors.New("connection reset")
	case silent > 0 && conn.read >= silent:
		conn.silence()
	case reset > 0:
		data = data[:min(len(data), reset-conn.read)]
	case silent > 0:
		data = data[:min(len(data), silent-conn.read)]
	}
	count, err := conn.Conn.Read(data)
	conn.read += count
	if conn.isSilent() {
		<-conn.closed
		return 0, net.ErrClosed
	}
	return count, err
}

// Close closes the connection.
func (conn *faultyConn) Close() error {
	conn.once.Do(func() { close(conn.closed) })
	return conn.Conn.Close()
}

func (conn *faultyConn) silence() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.silent = true
}

func (conn *faultyConn) isSilent() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.silent
}
