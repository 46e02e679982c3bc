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

	"github.com/clementinewind/clementinewind/internal/edge/gate"
	"github.com/clementinewind/clementinewind/internal/route/link"
)

const (
	// headerTimeout bounds the time for the header of a request; the platform's limit for callers is 3 s, and a slowed
	// machine may read it later.
	headerTimeout = 10 * time.Second
	// callerIdle is above any time after which callers still use an idle connection, because closing one that a request is
	// on its way to would lose the request.
	callerIdle = 5 * time.Minute
	// headerBytes is above the largest header that the platform allows.
	headerBytes = 64 << 10
	// upstreamShare is the part of the sockets that is kept for upstreams, peers and the store.
	upstreamShare = 0.35
	// dialTimeout bounds connections to peers, the store and upstreams.
	dialTimeout = 400 * time.Millisecond
	// silentTimeout ends a connection whose other side no longer acknowledges what is sent.
	silentTimeout = 2 * time.Second
	// keepAlive finds connections that went silent while they only receive.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// callerBacklog bounds the connections that wait to be accepted. Those beyond it fail, so that their callers try another router.
	callerBacklog = 128
	// defaultFlushTime is for the last answers of servers that are not drained.
	defaultFlushTime = 100 * time.Millisecond
)

// dialer connects so that a partition ends the connection.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			if err := raw.Control(func(descriptor uintptr) {
				failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
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
	gate *gate.Listener
	once sync.Once
	// ended is closed by close.
	ended chan struct{}
	// flushTime is how long close waits for the last answers, in nanoseconds. A drain sets it, beside which the process may end.
	flushTime atomic.Int64
}

// listen opens a server at an address; config is for its connections, without the listener.
func listen(address netip.AddrPort, handler http.Handler, config gate.Config, logger hclog.Logger) (*server, error) {
	// Keep-alive probes would cost four system calls for each connection; callers that vanish are found by the deadlines.
	opener := net.ListenConfig{KeepAlive: -1}
	opened, err := opener.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	listening, ok := opened.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("listener at %s is no TCP listener", address)
	}
	config.Listener = listening
	accepting, err := gate.New(config)
	if err != nil {
		return nil, err
	}
	serving := &server{
		Server: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes,
			ErrorLog:    logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
			ConnContext: withConn,
		},
		gate: accepting, ended: make(chan struct{}),
	}
	serving.flushTime.Store(int64(defaultFlushTime))
	return serving, nil
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerLeft reports whether the caller of the request with this context has closed its connection. The server notices that too,
// but late while the processor is short, and after a connection has waited in the kernel's queue.
func callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && link.ClosedByPeer(conn)
}

// callerServer listens for callers.
func (entry *Entry) callerServer() (*server, error) {
	settings := entry.settings.Load()
	connections := int((1 - upstreamShare) * float64(settings.MaxConnections()))
	opened, err := listen(settings.CallerListen, entry.serving(entry.relay), gate.Config{
		MaxConnections: connections, Backlog: callerBacklog,
		ShouldRefuse: entry.lag.refuses, RefusalResponse: entry.refusal, Logger: entry.config.Logger,
	}, entry.config.Logger)
	return opened, errors.Wrap(err, "listen at [Listen] Caller")
}

// serve serves until close is called, also after the listener was closed.
func (server *server) serve() error {
	err := server.Serve(server.gate)
	select {
	case <-server.ended:
		return nil
	default:
	}
	if !errors.Is(err, net.ErrClosed) {
		return err
	}
	<-server.ended
	return nil
}

// stopAccepting refuses new connections after a moment. Open ones are served.
func (server *server) stopAccepting() {
	server.once.Do(func() {
		// Only the listener ends; Shutdown would close idle connections that requests are on their way to.
		if err := server.gate.Drain(); err != nil {
			_ = server.gate.Close()
		}
	})
}

func (server *server) close() {
	close(server.ended)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(server.flushTime.Load()))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// What still runs is cut at the end of the grace period.
		_ = server.Close()
	}
}
