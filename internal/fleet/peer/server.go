package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// minPingInterval is the shortest ping interval accepted from a peer; it must lie below pingInterval.
const minPingInterval = 5 * time.Second

// Handler serves the messages of other routers.
type Handler interface {
	// HandleConnected tells that a peer has opened a control stream to this router.
	HandleConnected(session clementinewind.Session)
	// HandleControl takes a control frame of a peer. It must not block.
	HandleControl(session clementinewind.Session, frame *peerv1.ControlFrame)
	// Forward runs a request on an upstream that this router owns.
	Forward(session clementinewind.Session, stream peerv1.PeerService_ForwardServer) error
	Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error)
	SettleClaim(ctx context.Context, request *peerv1.SettleClaimRequest) (*peerv1.SettleClaimResponse, error)
	// FetchState sends the replicated state when it is above the given offset.
	FetchState(request *peerv1.FetchStateRequest, stream peerv1.PeerService_FetchStateServer) error
	ConfirmStop(ctx context.Context, request *peerv1.ConfirmStopRequest) (*peerv1.ConfirmStopResponse, error)
	FetchEvents(ctx context.Context, request *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error)
}

// ServerConfig configures a gRPC server for peers.
type ServerConfig struct {
	Handler         Handler
	MaxMessageBytes int
}

// NewServer returns a gRPC server that hands the messages of peers to the handler. Its listener may secure the
// connections with TLS.
func NewServer(config ServerConfig) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(insecure.NewCredentials()),
		grpc.MaxRecvMsgSize(config.MaxMessageBytes),
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	peerv1.RegisterPeerServiceServer(server, &service{handler: config.Handler})
	return server
}

type service struct {
	peerv1.UnimplementedPeerServiceServer
	handler Handler
}

// Exchange hands over the frames of a peer until its stream ends. It sends nothing: each router opens a stream of its own
// for the frames that it sends.
func (service *service) Exchange(stream peerv1.PeerService_ExchangeServer) error {
	session := SessionOf(stream.Context())
	if session == clementinewind.NoSession {
		return status.Error(codes.InvalidArgument, "control stream names no session")
	}
	service.handler.HandleConnected(session)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		service.handler.HandleControl(session, frame)
	}
}

func (service *service) Forward(stream peerv1.PeerService_ForwardServer) error {
	return service.handler.Forward(SessionOf(stream.Context()), stream)
}

func (service *service) Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	return service.handler.Claim(ctx, request)
}

func (service *service) SettleClaim(ctx context.Context, request *peerv1.SettleClaimRequest) (*peerv1.SettleClaimResponse, error) {
	return service.handler.SettleClaim(ctx, request)
}

func (service *service) FetchState(request *peerv1.FetchStateRequest, stream peerv1.PeerService_FetchStateServer) error {
	return service.handler.FetchState(request, stream)
}

func (service *service) FetchEvents(ctx context.Context, request *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error) {
	return service.handler.FetchEvents(ctx, request)
}

func (service *service) ConfirmStop(ctx context.Context, request *peerv1.ConfirmStopRequest) (*peerv1.ConfirmStopResponse, error) {
	return service.handler.ConfirmStop(ctx, request)
}
