package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/edge/gate"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/relay"
)

const (
	// readHeaderTimeout is above the platform's limit of 3 s for callers, because an overloaded machine may read the
	// header late.
	readHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout applies while no configuration sets the idle timeout of callers. Closing a connection to which a request is
	// on its way would lose the request.
	defaultIdleTimeout = 5 * time.Minute
	// maxLocateConnections limits the connections to Locate, of which each serves short requests only.
	maxLocateConnections = 256
	// maxHeaderBytes is above the largest header that the platform allows.
	maxHeaderBytes = 64 << 10
	// Fractions of the sockets for the connections of callers, for callers that are refused before the HTTP server reads their request, for
	// Locate, and for upstreams. The rest is for peers and the store. A router whose callers are all busy must still be able to dial.
	callerSocketFraction   = 0.65
	refusalSocketFraction  = 0.05
	locateSocketFraction   = 0.05
	upstreamSocketFraction = 0.2
	// receiveFraction is the fraction of the memory that the receive buffers of all callers may use together, but each has
	// minReceiveBytes at least: less than a few packets would slow down every body.
	receiveFraction = 0.125
	minReceiveBytes = 32 << 10
	// dialTimeout is the timeout for dialling peers and the store. Dials of upstreams end sooner, after link.DialTimeout.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout closes a connection whose other side no longer acknowledges data.
	tcpUserTimeout = 2 * time.Second
	// Keep-alive probes detect broken connections on which nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// callerBacklog is the size of the accept queue. Connections beyond it fail, so that their callers try another
	// router.
	callerBacklog = 128
	// defaultFlushTimeout is the timeout for flushing the last responses of servers that are not drained.
	defaultFlushTimeout = 100 * time.Millisecond
)

// dialer returns a dialer whose connections fail soon after a network partition. Their receive buffers have the given size, or that of the
// kernel if it is 0.
func dialer(receiveBuffer int) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			if err := raw.Control(func(descriptor uintptr) {
				failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
				if receiveBuffer > 0 {
					// A system that refuses it has a size of its own, and a connection is worth more than the size.
					_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
				}
			}); err != nil {
				return err
			}
			return failure
		},
	}
}

// server is an http.Server with its listener.
type server struct {
	*http.Server
	listener *gate.Listener
	stopOnce sync.Once
	// closed is closed by close.
	closed chan struct{}
	// flushTimeoutNanos is how long close waits for the last responses. Drain sets it to a fraction of the grace period,
	// so that the process exits in time.
	flushTimeoutNanos atomic.Int64
}

// listen opens a server at an address. It sets the listener of config.
func listen(address netip.AddrPort, handler http.Handler, config gate.Config, logger hclog.Logger) (*server, error) {
	// Keep-alive probes would cost four system calls for each connection. Callers that vanish are detected by the
	// deadlines.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	listener, err := listenConfig.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener at %s is not a TCP listener", address)
	}
	config.Listener = tcpListener
	limited, err := gate.New(config)
	if err != nil {
		return nil, err
	}
	server := &server{
		Server: &http.Server{
			Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:    logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
			ConnContext: contextWithConn, ConnState: limited.ConnState,
		},
		listener: limited, closed: make(chan struct{}),
	}
	server.flushTimeoutNanos.Store(int64(defaultFlushTimeout))
	return server, nil
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerDisconnected reports whether the caller of the request with this context has closed its connection. The server
// notices that too, but late if the processor is overloaded or the connection has waited in the accept queue.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && link.ClosedByPeer(conn)
}

// socketsFor returns how many sockets a fraction of all is.
func socketsFor(settings conf.Entry, fraction float64) int {
	return max(int(fraction*float64(settings.MaxConnections())), 1)
}

// receiveBuffer returns the size of the receive buffers of connections to callers and upstreams.
func receiveBuffer(settings conf.Entry) int {
	each := int(receiveFraction*float64(settings.MemoryBytes)) / socketsFor(settings, callerSocketFraction)
	return min(max(each, minReceiveBytes), relay.ReceiveBufferBytes)
}

// callerServer opens the server for callers.
func (router *Router) callerServer() (*server, error) {
	settings := router.settings.Load()
	server, err := listen(settings.CallerListen, router.countRequests(router.relay), gate.Config{
		MaxConnections: socketsFor(*settings, callerSocketFraction), MaxPendingRefusals: socketsFor(*settings, refusalSocketFraction),
		ReceiveBuffer: receiveBuffer(*settings), Memory: router.memory, IdleTimeout: router.idleTimeout, Backlog: callerBacklog,
		ShouldRefuse: router.cpu.shouldRefuse, RefusalResponse: router.refusalResponse, Logger: router.config.Logger,
	}, router.config.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "listen at [Listen] Caller")
	}
	router.callers.Store(server.listener)
	return server, nil
}

// idleTimeout returns how long callers may leave a connection idle, or 0 if no configuration says so.
func (router *Router) idleTimeout() time.Duration {
	if current := router.view.Table(); current != nil {
		return current.Limits().IdleTimeout
	}
	return 0
}

// serve serves until close is called, even if the listener is closed before.
func (server *server) serve() error {
	err := server.Serve(server.listener)
	select {
	case <-server.closed:
		return nil
	default:
	}
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-server.closed
	return nil
}

// stopAccepting refuses new connections after a short delay. Open connections are still served.
func (server *server) stopAccepting() {
	server.stopOnce.Do(func() {
		// Only the listener is closed. Shutdown would also close idle connections to which requests are on their way.
		if err := server.listener.Drain(); err != nil {
			_ = server.listener.Close()
		}
	})
}

func (server *server) close() {
	close(server.closed)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(server.flushTimeoutNanos.Load()))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// Requests that still run at the end of the grace period are cut off.
		_ = server.Close()
	}
}
