package peer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// pingInterval and pingTimeout bound how long a connection that has gone silent stays in use.
	pingInterval = 10 * time.Second
	pingTimeout  = 5 * time.Second
	// streamWindowBytes and connWindowBytes are fixed flow control windows. Without them gRPC measures the bandwidth with a
	// ping after each received frame, which takes more bytes than the control frames themselves. The window of a stream
	// bounds what is read ahead for a slow caller, and that of a connection is so much larger that slow callers do not
	// hold up the others.
	streamWindowBytes = 64 << 10
	connWindowBytes   = 16 << 20
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// sessionKey is the metadata key that names the session of the calling router.
	sessionKey = "session"
	// retiredLinger is how long the connection to a retired peer stays open for the requests that it still serves.
	retiredLinger = 10 * time.Minute
	// renewedLinger is the same for a connection that was renewed. Requests on it end by their own time limits before.
	renewedLinger = time.Minute
	// renewInterval is the shortest time between two renewals of the connection to a peer.
	renewInterval = 3 * time.Second
)

// ErrUnknownPeer is returned for a session that is not in the set of peers.
var ErrUnknownPeer = errors.New("unknown peer session")

// Config configures a Fleet.
type Config struct {
	// Dial opens a connection to a peer address, which it may secure with TLS. Required.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Session returns the session of this router.
	Session func() clementinewind.Session
	// Heartbeat builds the heartbeat for a peer, or returns nil when the peer is not a neighbour. Called once per
	// HeartbeatInterval and peer.
	Heartbeat         func(session clementinewind.Session) *peerv1.Heartbeat
	HeartbeatInterval time.Duration
	// Stamp returns the value of the hybrid logical clock that is sent with control frames.
	Stamp func() uint64
	// Connected is called when a control link has been opened, so that standing messages can be sent again.
	Connected func(session clementinewind.Session)
	// Sent is called with the encoded size, in bytes, of each control frame sent.
	Sent func(bytes int)
	// MaxMessageBytes is the largest message accepted from a peer.
	MaxMessageBytes int
	Logger          hclog.Logger
}

// Fleet keeps the connections of a router to its peers. Each peer has one goroutine that sends its control frames.
type Fleet struct {
	config Config

	mu     sync.Mutex
	links  map[clementinewind.Session]*link
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

// NewFleet returns a Fleet without peers.
func NewFleet(config Config) *Fleet {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Fleet{config: config, links: map[clementinewind.Session]*link{}, ctx: ctx, cancel: cancel}
}

// SetPeers replaces the set of peers. Links to peers that stay are kept.
func (fleet *Fleet) SetPeers(addresses map[clementinewind.Session]string) error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.ctx.Err() != nil {
		return nil
	}
	for session, link := range fleet.links {
		if addresses[session] != link.address {
			fleet.remove(link)
		}
	}
	for session, address := range addresses {
		if fleet.links[session] != nil {
			continue
		}
		link, err := fleet.open(session, address)
		if err != nil {
			return err
		}
		fleet.links[session] = link
	}
	return nil
}

// Retire tells that a peer leaves in good order and still serves the requests that it has. When it is no longer in the
// set of peers, only its control link is closed at once.
func (fleet *Fleet) Retire(session clementinewind.Session) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if link := fleet.links[session]; link != nil {
		link.retired = true
	}
}

// RetireAll retires all peers and removes them from the set. Links that are opened afterwards name the present session.
func (fleet *Fleet) RetireAll() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, link := range fleet.links {
		link.retired = true
		fleet.remove(link)
	}
}

// Renew replaces the connection to a peer that no longer answers over it, and reports whether it did. An open connection
// can have gone silent for good while new ones work; the pings of gRPC find that out only after 15 s. Requests on the old
// connection are not cut off.
func (fleet *Fleet) Renew(session clementinewind.Session) (bool, error) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	silent := fleet.links[session]
	if silent == nil || !silent.connected.Load() || time.Since(silent.opened) < renewInterval || fleet.ctx.Err() != nil {
		return false, nil
	}
	opened, err := fleet.open(session, silent.address)
	if err != nil {
		return false, err
	}
	fleet.drop(silent, renewedLinger)
	fleet.links[session] = opened
	return true, nil
}

// remove takes a link out of the set. The caller holds mu.
func (fleet *Fleet) remove(link *link) {
	delete(fleet.links, link.session)
	if !link.retired {
		link.close()
		return
	}
	fleet.drop(link, retiredLinger)
}

// drop closes the control stream of a link at once and its connection after linger. The caller holds mu.
func (fleet *Fleet) drop(link *link, linger time.Duration) {
	link.cancel()
	fleet.wait.Go(func() {
		timer := time.NewTimer(linger)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-fleet.ctx.Done():
		}
		link.close()
	})
}

func (fleet *Fleet) open(session clementinewind.Session, address string) (*link, error) {
	conn, err := fleet.Connect(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(fleet.ctx)
	opened := &link{
		config:  &fleet.config,
		session: session,
		address: address,
		conn:    conn,
		client:  peerv1.NewPeerServiceClient(conn),
		cancel:  cancel,
		ready:   make(chan struct{}, 1),
		opened:  time.Now(),
	}
	fleet.wait.Go(func() { opened.run(ctx) })
	return opened, nil
}

// Connect returns a gRPC connection to an address that is not necessarily a peer yet. The caller closes it.
func (fleet *Fleet) Connect(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(checkHeads(fleet.config.Dial)),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		// A request must not be sent twice without the knowledge of the router.
		grpc.WithDisableRetry(),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(fleet.config.MaxMessageBytes)),
	)
	return conn, errors.Wrapf(err, "peer %s", address)
}

// Send queues a control frame for a peer. Frames that wait together are sent as one. A frame for an unknown peer, or for
// a peer whose link breaks before it is sent, is dropped.
func (fleet *Fleet) Send(session clementinewind.Session, frame *peerv1.ControlFrame) {
	fleet.mu.Lock()
	link := fleet.links[session]
	fleet.mu.Unlock()
	if link != nil {
		link.queue(frame)
	}
}

// Sessions returns the sessions of the peers.
func (fleet *Fleet) Sessions() []clementinewind.Session {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	sessions := make([]clementinewind.Session, 0, len(fleet.links))
	for session := range fleet.links {
		sessions = append(sessions, session)
	}
	return sessions
}

// Client returns the gRPC client of a peer and a context that names the session of this router.
func (fleet *Fleet) Client(ctx context.Context, session clementinewind.Session) (context.Context, peerv1.PeerServiceClient, error) {
	fleet.mu.Lock()
	link := fleet.links[session]
	fleet.mu.Unlock()
	if link == nil {
		return ctx, nil, errors.Wrapf(ErrUnknownPeer, "session %d", session)
	}
	return withSession(ctx, fleet.config.Session()), link.client, nil
}

// Close ends all links and waits for their goroutines.
func (fleet *Fleet) Close() {
	fleet.mu.Lock()
	fleet.cancel()
	for session, link := range fleet.links {
		link.close()
		delete(fleet.links, session)
	}
	fleet.mu.Unlock()
	fleet.wait.Wait()
}

func withSession(ctx context.Context, session clementinewind.Session) context.Context {
	return metadata.AppendToOutgoingContext(ctx, sessionKey, strconv.FormatInt(int64(session), 10))
}

// SessionOf returns the session that the calling router named, or NoSession.
func SessionOf(ctx context.Context) clementinewind.Session {
	values := metadata.ValueFromIncomingContext(ctx, sessionKey)
	if len(values) != 1 {
		return clementinewind.NoSession
	}
	session, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return clementinewind.NoSession
	}
	return clementinewind.Session(session)
}
