package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the bytes of its connections.
type proxyMode int

//go:generate stringer -type proxyMode -trimprefix proxy -output proxymode_string.go

const (
	proxyPass proxyMode = iota
	// proxyDelay passes bytes on later.
	proxyDelay
	// proxySilent drops the bytes of both directions on open connections; new connections work.
	proxySilent
	// proxyOneWay drops the bytes towards the client.
	proxyOneWay
)

const (
	delayTime  = 150 * time.Millisecond
	proxyBytes = 16 << 10
)

// proxy passes TCP connections on to a target.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  proxyMode
	links map[*proxyLink]struct{}
}

type proxyLink struct {
	client, server net.Conn
	// silenced connections stay silent after the fault ended.
	silenced bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &proxy{listener: listener, target: target, links: map[*proxyLink]struct{}{}}
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
	server, err := net.Dial("tcp", proxy.target)
	if err != nil {
		reset(client)
		return
	}
	link := &proxyLink{client: client, server: server}
	proxy.mutex.Lock()
	proxy.links[link] = struct{}{}
	proxy.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { proxy.copy(link, server, client, false) })
	group.Go(func() { proxy.copy(link, client, server, true) })
	group.Wait()
	proxy.mutex.Lock()
	delete(proxy.links, link)
	proxy.mutex.Unlock()
}

func (proxy *proxy) copy(link *proxyLink, to, from net.Conn, towardsClient bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			proxy.mutex.Lock()
			mode, silenced := proxy.mode, link.silenced
			proxy.mutex.Unlock()
			if mode == proxyDelay {
				time.Sleep(delayTime)
			}
			if !silenced && (mode != proxyOneWay || !towardsClient) {
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

// set changes the mode; proxySilent also silences the open connections for good.
func (proxy *proxy) set(mode proxyMode) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.mode = mode
	if mode == proxySilent {
		for link := range proxy.links {
			link.silenced = true
		}
	}
}

// reset breaks all connections.
func (proxy *proxy) reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for link := range proxy.links {
		reset(link.client)
		reset(link.server)
	}
}

func (proxy *proxy) close() {
	// The listener is given up.
	_ = proxy.listener.Close()
	proxy.reset()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without lingering the close resets the connection.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
