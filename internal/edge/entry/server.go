package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
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
	listener net.Listener
	once     sync.Once
	// ended is closed by close.
	ended chan struct{}
}

func listen(address netip.AddrPort, handler http.Handler, logger hclog.Logger) (*server, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	return newServer(listener, handler, logger), nil
}

func newServer(listener net.Listener, handler http.Handler, logger hclog.Logger) *server {
	return &server{
		Server: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes,
			ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		},
		listener: listener, ended: make(chan struct{}),
	}
}

// callerServer listens for callers. Connections beyond its limit wait until others are closed.
func (entry *Entry) callerServer() (*server, error) {
	settings := entry.settings.Load()
	listener, err := net.Listen("tcp4", settings.CallerListen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen at [Listen] Caller")
	}
	connections := int((1 - upstreamShare) * float64(settings.Connections()))
	return newServer(netutil.LimitListener(listener, connections), entry.serving(entry.relay), entry.config.Logger), nil
}

// serve serves until close is called, also after the listener was closed.
func (server *server) serve() error {
	err := server.Serve(server.listener)
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

// stopAccepting refuses new connections. Open ones are served.
func (server *server) stopAccepting() {
	server.once.Do(func() {
		// Only the listener ends; Shutdown would close idle connections that requests are on their way to.
		_ = server.listener.Close()
	})
}

func (server *server) close() {
	close(server.ended)
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// What still runs is cut at the end of the grace period.
		_ = server.Close()
	}
}
