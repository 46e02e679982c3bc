package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy treats the bytes of its connections.
type proxyMode int

//go:generate stringer -type proxyMode -trimprefix proxy -output proxymode_string.go

const (
	proxyPass proxyMode = iota
	// proxyDelay forwards bytes after proxyDelayTime.
	proxyDelay
	// proxySilent drops the bytes in both directions on connections that are open when it is set; new connections work.
	proxySilent
	// proxyOneWay drops the bytes sent to the client. A connection that has lost some delivers none after them, as TCP does.
	proxyOneWay
	// proxyRefuse resets open and new connections.
	proxyRefuse
)

const (
	proxyDelayTime   = 150 * time.Millisecond
	proxyBufferBytes = 16 << 10
)

// proxy forwards TCP connections to a target and can disturb them.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  proxyMode
	conns map[*proxyConn]struct{}
}

type proxyConn struct {
	client, server net.Conn
	// silenced connections drop all bytes, and lost ones those sent to the client, also after the mode changes.
	silenced, lost bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &proxy{listener: listener, target: target, conns: map[*proxyConn]struct{}{}}
	go started.accept()
	return started, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(client)
	}
}

func (proxy *proxy) serve(client net.Conn) {
	if proxy.refuses() {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", proxy.target)
	if err != nil {
		reset(client)
		return
	}
	conn := &proxyConn{client: client, server: server}
	proxy.mutex.Lock()
	proxy.conns[conn] = struct{}{}
	proxy.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { proxy.copy(conn, server, client, false) })
	group.Go(func() { proxy.copy(conn, client, server, true) })
	group.Wait()
	proxy.mutex.Lock()
	delete(proxy.conns, conn)
	proxy.mutex.Unlock()
}

func (proxy *proxy) copy(conn *proxyConn, to, from net.Conn, towardsClient bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			proxy.mutex.Lock()
			mode := proxy.mode
			if mode == proxyOneWay && towardsClient {
				conn.lost = true
			}
			dropped := conn.silenced || (conn.lost && towardsClient)
			proxy.mutex.Unlock()
			if mode == proxyDelay {
				time.Sleep(proxyDelayTime)
			}
			if !dropped {
				if _, err := to.Write(buffer[:count]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

func (proxy *proxy) refuses() bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.mode == proxyRefuse
}

// setMode changes the mode; proxySilent silences the open connections permanently.
func (proxy *proxy) setMode(mode proxyMode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	if mode == proxySilent {
		for conn := range proxy.conns {
			conn.silenced = true
		}
	}
	if mode == proxyRefuse {
		for conn := range proxy.conns {
			reset(conn.client)
			reset(conn.server)
		}
	}
}

// reset resets all connections.
func (proxy *proxy) reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for conn := range proxy.conns {
		reset(conn.client)
		reset(conn.server)
	}
}

func (proxy *proxy) close() {
	// The listener is not used any more.
	_ = proxy.listener.Close()
	proxy.reset()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With SO_LINGER 0 the close resets the connection.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
