package stand

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

// windowBytes limits the unread bytes in one direction of a connection, as socket buffers do. A write blocks once
// the limit is reached; below it, a write of any size is accepted whole.
const windowBytes = 256 << 10

// LinkFaults are the faults of the link from one host to another, in that direction only.
type LinkFaults struct {
	// Delay is the one-way latency in addition to that of the network.
	Delay time.Duration
	// Cut drops all bytes without an error. New connections fail when the context of the dial ends.
	Cut bool
}

// Network is an in-memory network with link faults. A host is identified by the IP address of its listeners. It works in
// real time and in a testing/synctest bubble.
type Network struct {
	mu        sync.Mutex
	delay     time.Duration
	faults    map[[2]string]LinkFaults
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// frozen holds the time until which a host is frozen.
	frozen map[string]time.Time
}

// NewNetwork returns a network whose links have a one-way latency of delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay:     delay,
		faults:    map[[2]string]LinkFaults{},
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		frozen:    map[string]time.Time{},
	}
}

// SetFaults replaces the faults of the direction from one host to another.
func (network *Network) SetFaults(from, to string, faults LinkFaults) {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.faults[[2]string{from, to}] = faults
}

// Heal removes all link faults. Connections that are silent stay so.
func (network *Network) Heal() {
	network.mu.Lock()
	defer network.mu.Unlock()
	clear(network.faults)
}

// Silence makes the open connections between two hosts drop all further bytes without an error. New connections work.
func (network *Network) Silence(first, second string) {
	network.forEachConn(first, second, func(conn *conn) { conn.outgoing.silence() })
}

// Reset closes the open connections between two hosts.
func (network *Network) Reset(first, second string) {
	network.forEachConn(first, second, func(conn *conn) { conn.Close() })
}

// Freeze holds back all bytes to and from a host for a time, as if its process were paused, and delivers them
// afterwards. New connections to and from the host open only then.
func (network *Network) Freeze(host string, duration time.Duration) {
	until := time.Now().Add(duration)
	network.mu.Lock()
	network.frozen[host] = until
	var found []*conn
	for conn := range network.conns {
		if conn.local.host() == host || conn.remote.host() == host {
			found = append(found, conn)
		}
	}
	network.mu.Unlock()
	for _, conn := range found {
		conn.outgoing.freeze(until)
	}
}

// frozenFor returns how long at least one of two hosts remains frozen; it is negative if neither is.
func (network *Network) frozenFor(first, second string) time.Duration {
	network.mu.Lock()
	defer network.mu.Unlock()
	return max(time.Until(network.frozen[first]), time.Until(network.frozen[second]))
}

func (network *Network) forEachConn(first, second string, do func(conn *conn)) {
	network.mu.Lock()
	var found []*conn
	for conn := range network.conns {
		local, remote := conn.local.host(), conn.remote.host()
		if (local == first && remote == second) || (local == second && remote == first) {
			found = append(found, conn)
		}
	}
	network.mu.Unlock()
	for _, conn := range found {
		do(conn)
	}
}

// Listen opens a listener at host:port.
func (network *Network) Listen(hostport string) (net.Listener, error) {
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.listeners[hostport] != nil {
		return nil, errors.Errorf("address %s is in use", hostport)
	}
	opened := &listener{network: network, local: addr(hostport), accept: make(chan *conn, 128), done: make(chan struct{})}
	network.listeners[hostport] = opened
	return opened, nil
}

// Dialer returns a function that opens connections from a host.
func (network *Network) Dialer(host string) func(ctx context.Context, hostport string) (net.Conn, error) {
	return func(ctx context.Context, hostport string) (net.Conn, error) {
		return network.dial(ctx, addr(net.JoinHostPort(host, "0")), addr(hostport))
	}
}

func (network *Network) dial(ctx context.Context, local, remote addr) (net.Conn, error) {
	outbound, inbound := network.link(local.host(), remote.host()), network.link(remote.host(), local.host())
	if outbound.Cut || inbound.Cut {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "dial %s", remote)
	}
	frozen := max(network.frozenFor(local.host(), remote.host()), 0)
	if err := pause.For(ctx, frozen+outbound.Delay+inbound.Delay); err != nil {
		return nil, err
	}
	network.mu.Lock()
	listener := network.listeners[string(remote)]
	network.mu.Unlock()
	if listener == nil {
		return nil, errors.Errorf("dial %s: connection refused", remote)
	}
	out, in := newHalf(network, local, remote), newHalf(network, remote, local)
	client := &conn{network: network, local: local, remote: remote, outgoing: out, incoming: in}
	server := &conn{network: network, local: remote, remote: local, outgoing: in, incoming: out}
	network.mu.Lock()
	network.conns[client], network.conns[server] = struct{}{}, struct{}{}
	network.mu.Unlock()
	select {
	case listener.accept <- server:
		return client, nil
	case <-listener.done:
		client.Close()
		return nil, errors.Errorf("dial %s: connection refused", remote)
	case <-ctx.Done():
		client.Close()
		return nil, ctx.Err()
	}
}

// link returns the faults of the link between two hosts, with the network's own delay added.
func (network *Network) link(from, to string) LinkFaults {
	network.mu.Lock()
	defer network.mu.Unlock()
	faults := network.faults[[2]string{from, to}]
	faults.Delay += network.delay
	return faults
}

type addr string

func (addr addr) Network() string { return "tcp" }
func (addr addr) String() string  { return string(addr) }

func (addr addr) host() string {
	host, _, err := net.SplitHostPort(string(addr))
	if err != nil {
		return string(addr)
	}
	return host
}

type listener struct {
	network *Network
	local   addr
	accept  chan *conn
	done    chan struct{}
	once    sync.Once
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accept:
		return conn, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.done)
		listener.network.mu.Lock()
		delete(listener.network.listeners, string(listener.local))
		listener.network.mu.Unlock()
		for {
			select {
			case conn := <-listener.accept:
				conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (listener *listener) Addr() net.Addr { return listener.local }
