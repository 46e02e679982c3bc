package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/serve"
	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

// compressMinBytes keeps the frames of a few tokens from being compressed one by one, which took a fifth of the processor
// time of a streamed answer and saved nothing.
const compressMinBytes = 4 << 10

// buildServers creates the servers for callers and operators, for peers, and for administration.
func (router *Router) buildServers() {
	settings := router.config.Settings
	mux := http.NewServeMux()
	limit := connect.WithHandlerOptions(
		connect.WithReadMaxBytes(int(settings.RequestBytes)),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	mux.Handle(callerv1connect.NewCallerServiceHandler(&callerService{router}, limit,
		connect.WithInterceptors(router.authority.CallerInterceptor())))
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&operatorService{router}, limit,
		connect.WithInterceptors(router.authority.OperatorInterceptor())))
	router.callerServer = router.httpServer(router.countRejected(mux))
	router.adminServer = router.httpServer(router.meter.Handler())
	router.peerServer = peer.NewServer(peer.ServerConfig{
		Handler: router, MaxMessageBytes: router.maxMessageBytes(),
	})
}

// countRejected counts the requests that Connect rejects before a handler of this package sees them: those with a body
// that is malformed or too large. A refusal by a handler carries a reason and is counted with it.
func (router *Router) countRejected(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		watched := &statusWriter{ResponseWriter: writer}
		handler.ServeHTTP(watched, request)
		if status := watched.status; status >= http.StatusBadRequest && watched.Header().Get(refusedHeader) == "" {
			router.meter.Rejected(status)
		}
	})
}

// refusedHeader marks responses that carry the refusal of a handler.
const refusedHeader = "Clementinewind-Refused"

// statusWriter remembers the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader writes the status.
func (writer *statusWriter) WriteHeader(status int) {
	writer.status = status
	writer.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher, which streamed answers need.
func (writer *statusWriter) Flush() {
	// An error of the connection is reported by the next Write.
	_ = http.NewResponseController(writer.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the original writer.
func (writer *statusWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

func (router *Router) httpServer(handler http.Handler) *http.Server {
	settings := router.config.Settings
	return serve.New(serve.Config{
		Handler: handler, MaxHeaderBytes: settings.HeaderBytes, MaxBodyBytes: settings.RequestBytes, Logger: router.logger,
	})
}

func (router *Router) serveCallers(ctx context.Context) error {
	listener := serve.LimitListener(router.callerListener, router.config.Settings.Connections)
	if router.config.CallerKeys != nil {
		listener = router.config.CallerKeys.Listener(listener)
	}
	return serveHTTP(ctx, router.callerServer, listener)
}

func (router *Router) serveAdmin(ctx context.Context) error {
	listener := serve.LimitListener(router.adminListener, router.config.Settings.Connections)
	return serveHTTP(ctx, router.adminServer, listener)
}

// serveHTTP serves until ctx ends, and then lets the last responses finish within shutdownTimeout.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve HTTP")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		server.Close()
	}
	<-failed
	return ctx.Err()
}

func (router *Router) servePeers(ctx context.Context) error {
	failed := make(chan error, 1)
	listener := serve.LimitListener(router.peerListener, router.config.Settings.Connections)
	if router.config.PeerKeys != nil {
		listener = router.config.PeerKeys.Listener(listener)
	}
	go func() { failed <- router.peerServer.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve peers")
	case <-ctx.Done():
	}
	router.peerServer.Stop()
	<-failed
	return ctx.Err()
}

func (router *Router) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	if router.config.PeerKeys != nil {
		return router.config.PeerKeys.Dialer(router.config.Dial)(ctx, "tcp", address)
	}
	return router.config.Dial(ctx, "tcp", address)
}

// ready reports why the router can take no work.
func (router *Router) ready() error {
	switch phase := router.phase(); {
	case phase != phaseServing:
		return errors.Errorf("router is %s", phase)
	case !router.keeper.MayServe():
		return errors.New("the configuration is not known to be current")
	default:
		return nil
	}
}

// telemetry returns the state that the metrics show.
func (router *Router) telemetry() telem.State {
	view := router.replica.View()
	status := router.keeper.Status()
	shown := telem.State{
		Version:           view.Version,
		LogReachable:      !status.LogLost,
		Sessions:          len(view.Sessions),
		EventsOverwritten: router.ring.Overwritten(),
		DisclosuresLost:   router.discloser.Lost(),
	}
	if !status.ProvenAt.IsZero() {
		shown.FreshAge = time.Since(status.ProvenAt)
	}
	for _, upstream := range router.owner.Upstreams() {
		shown.Upstreams = append(shown.Upstreams, telem.Upstream{
			Upstream: upstream.Upstream, Pool: upstream.Pool, State: upstream.State, Limit: upstream.Limit,
			Running: upstream.InFlight,
		})
	}
	return shown
}

var _ peer.Handler = (*Router)(nil)
