package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// stateChunkBytes is the size of a message of a state transfer.
	stateChunkBytes = 64 << 10
	// maxStateBytes bounds the state that a router takes from a peer.
	maxStateBytes = 256 << 20
	// peerLoadTimeout bounds the transfer of the state from one peer.
	peerLoadTimeout = 5 * time.Second
)

func (router *Router) peerConfig() peer.Config {
	return peer.Config{
		Dial:              router.dialPeer,
		Session:           router.currentSession,
		Heartbeat:         router.heartbeat,
		HeartbeatInterval: heartbeatInterval,
		Stamp:             router.clock.Last,
		Connected:         router.peerLinkOpened,
		Sent:              router.meter.ControlSent,
		MaxMessageBytes:   router.maxMessageBytes(),
		Logger:            router.logger,
	}
}

// maxMessageBytes leaves room for the fields around the largest request or answer.
func (router *Router) maxMessageBytes() int {
	return int(max(router.config.Settings.RequestBytes, router.config.Settings.AnswerBytes)) + stateChunkBytes
}

// heartbeat returns the heartbeat for a peer; this router sends none to itself.
func (router *Router) heartbeat(session clementinewind.Session) *peerv1.Heartbeat {
	if session == router.currentSession() {
		return nil
	}
	return router.members.Heartbeat(session)
}

func (router *Router) peerLinkOpened(session clementinewind.Session) {
	router.entry.Connected(session)
	router.owner.Connected(session)
	if markers := router.markers.all(); len(markers) > 0 {
		router.fleet.Send(session, &peerv1.ControlFrame{StopMarkers: markers})
	}
	if router.isDraining() {
		router.fleet.Send(session, &peerv1.ControlFrame{Leaving: true})
	}
}

// HandleConnected tells that a peer has opened its control link to this router.
func (router *Router) HandleConnected(session clementinewind.Session) {
	router.owner.PeerConnected(session)
}

// HandleControl takes a control frame of a peer.
func (router *Router) HandleControl(session clementinewind.Session, frame *peerv1.ControlFrame) {
	router.meter.ControlReceived(proto.Size(frame))
	if err := router.clock.Observe(frame.Stamp); err != nil {
		router.logger.Warn("clock of peer is ahead", "Peer", session, "Error", err)
	}
	if frame.Heartbeat != nil && router.members.Receive(frame.Heartbeat) {
		if heartbeat := router.heartbeat(session); heartbeat != nil {
			router.fleet.Send(session, &peerv1.ControlFrame{Heartbeat: heartbeat})
		}
	}
	// A return withdraws the ask of its grant. An ask in the same frame may be newer, and must then stand.
	if len(frame.Returns) > 0 {
		router.owner.HandleReturns(session, frame.Returns)
	}
	if len(frame.Asks) > 0 {
		router.owner.HandleAsks(session, frame.Asks)
	}
	if len(frame.Services) > 0 {
		router.owner.HandleServices(session, frame.Services)
	}
	for _, grant := range frame.Grants {
		router.meter.Grant(clementinewind.Pool(grant.Pool), telem.GrantSent)
	}
	if len(frame.Grants) > 0 {
		router.entry.HandleGrants(session, frame.Grants)
	}
	if len(frame.Spares) > 0 {
		router.entry.HandleSpares(session, frame.Spares)
	}
	if frame.Leaving {
		router.leaving.Store(session, struct{}{})
	}
	if router.markers.add(frame.StopMarkers) {
		router.spreadMarkers()
	}
}

// FetchState sends the state of the replica to a router that cannot read the log.
func (router *Router) FetchState(request *peerv1.FetchStateRequest, stream peerv1.PeerService_FetchStateServer) error {
	if int64(router.replica.View().Version) <= request.Above {
		return nil
	}
	data, err := proto.Marshal(router.replica.Snapshot())
	if err != nil {
		return err
	}
	for len(data) > 0 {
		count := min(len(data), stateChunkBytes)
		if err := stream.Send(&peerv1.FetchStateResponse{Data: data[:count]}); err != nil {
			return err
		}
		data = data[count:]
	}
	return nil
}

// loadFromPeers takes the newest state that any listed router has. It returns cause when there is none.
func (router *Router) loadFromPeers(ctx context.Context, cause error) error {
	if router.config.Instances == nil {
		return cause
	}
	listed, err := router.config.Instances(ctx)
	if err != nil {
		return errors.Join(cause, err)
	}
	loaded := router.replica.View().Version > 0
	for _, instance := range listed {
		if instance.Address == "" || instance.Name == router.config.Settings.Name {
			continue
		}
		snapshot, err := router.fetchState(ctx, instance.Address)
		if err != nil {
			router.logger.Debug("state not fetched", "Peer", instance.Name, "Error", err)
			continue
		}
		if snapshot.Covers > int64(router.replica.View().Version) {
			if err := router.replica.Restore(snapshot); err != nil {
				return err
			}
		}
		loaded = true
	}
	if !loaded {
		return cause
	}
	return nil
}

// fetchState returns the state of the router at an address, which is empty if it is not newer.
func (router *Router) fetchState(ctx context.Context, address string) (*recordv1.StateSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, peerLoadTimeout)
	defer cancel()
	conn, err := router.fleet.Connect(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stream, err := peerv1.NewPeerServiceClient(conn).FetchState(ctx, &peerv1.FetchStateRequest{
		Above: int64(router.replica.View().Version),
	})
	if err != nil {
		return nil, err
	}
	var data bytes.Buffer
	for {
		response, err := stream.Recv()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if data.Len()+len(response.Data) > maxStateBytes {
			return nil, errors.New("state of the peer is too large")
		}
		data.Write(response.Data)
	}
	snapshot := &recordv1.StateSnapshot{}
	return snapshot, proto.Unmarshal(data.Bytes(), snapshot)
}

// FetchEvents returns the time line of this router.
func (router *Router) FetchEvents(_ context.Context, request *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error) {
	return &operatorv1.TimelineResponse{Events: event.ListToProto(router.ring.Events(event.QueryFromProto(request)))}, nil
}
