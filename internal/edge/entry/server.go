package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
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
	// backlogTime is how long a listener that is to be closed still takes the connections that the kernel has accepted. Closing
	// it at once would reset them.
	backlogTime = 100 * time.Millisecond
	// callerBacklog bounds the connections that wait while none is accepted. Those beyond it fail, so that their callers try
	// another router.
	callerBacklog = 128
	// holdPause is the time between two looks at the lag while no connection is accepted.
	holdPause = 5 * time.Millisecond
	// mostHold is the longest time for which a connection is held: a router that is ready goes on to take some.
	mostHold = 200 * time.Millisecond
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
	listener net.Listener
	backlog  *backlogListener
	once     sync.Once
	// ended is closed by close.
	ended chan struct{}
	// flushTime is how long close waits for the last answers.
	flushTime time.Duration
}

// backlogListener accepts the connections that the kernel has taken before it ends.
type backlogListener struct {
	*net.TCPListener
	// hold reports whether connections are left in the queue of the kernel for now; nil never does.
	hold func() bool
}

// shorten bounds the queue of the kernel.
func (listener *backlogListener) shorten(connections int) error {
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

// Accept returns net.ErrClosed after the end of drain.
func (listener *backlogListener) Accept() (net.Conn, error) {
	for waited := time.Duration(0); listener.hold != nil && listener.hold() && waited < mostHold; waited += holdPause {
		time.Sleep(holdPause)
	}
	conn, err := listener.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Wrap(net.ErrClosed, "drained")
	}
	return conn, err
}

// drain lets Accept go on for a moment. The server closes the listener when Accept has ended.
func (listener *backlogListener) drain() error {
	return listener.SetDeadline(time.Now().Add(backlogTime))
}

// listen opens a server with at most the given number of connections; 0 sets no limit. Connections beyond it wait until others
// are closed.
func listen(address netip.AddrPort, handler http.Handler, connections int, logger hclog.Logger) (*server, error) {
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
	backlog := &backlogListener{TCPListener: listening}
	listener := net.Listener(backlog)
	if connections > 0 {
		listener = netutil.LimitListener(backlog, connections)
	}
	return &server{
		backlog: backlog,
		Server: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes,
			ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		},
		listener: listener, ended: make(chan struct{}), flushTime: defaultFlushTime,
	}, nil
}

// callerServer listens for callers.
func (entry *Entry) callerServer() (*server, error) {
	settings := entry.settings.Load()
	connections := int((1 - upstreamShare) * float64(settings.Connections()))
	opened, err := listen(settings.CallerListen, entry.serving(entry.relay), connections, entry.config.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "listen at [Listen] Caller")
	}
	opened.backlog.hold = entry.holdsBack
	return opened, errors.Wrap(opened.backlog.shorten(callerBacklog), "bound the queue of [Listen] Caller")
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

// stopAccepting refuses new connections after a moment. Open ones are served.
func (server *server) stopAccepting() {
	server.once.Do(func() {
		// Only the listener ends; Shutdown would close idle connections that requests are on their way to.
		if err := server.backlog.drain(); err != nil {
			_ = server.listener.Close()
		}
	})
}

func (server *server) close() {
	close(server.ended)
	ctx, cancel := context.WithTimeout(context.Background(), server.flushTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// What still runs is cut at the end of the grace period.
		_ = server.Close()
	}
}
