package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// reconnectBackoff is short, because a peer that restarts is back within seconds and the links between routers are few.
var reconnectBackoff = backoff.Config{
	BaseDelay:  100 * time.Millisecond,
	Multiplier: 1.6,
	Jitter:     0.2,
	MaxDelay:   time.Second,
}

const (
	// grpcHeaderBytes is the size of the prefix of a gRPC message.
	grpcHeaderBytes = 5
	// reopenDelay is the mean delay before a broken control stream is opened again.
	reopenDelay = 200 * time.Millisecond
)

// link is the control link to one peer.
type link struct {
	config  *Config
	session clementinewind.Session
	address string
	conn    *grpc.ClientConn
	client  peerv1.PeerServiceClient
	cancel  context.CancelFunc
	ready   chan struct{}
	opened  time.Time
	// connected is set when the control stream has been open.
	connected atomic.Bool
	// retired is guarded by the mutex of the Fleet.
	retired bool

	mu      sync.Mutex
	pending *peerv1.ControlFrame
}

func (link *link) close() {
	link.cancel()
	link.conn.Close()
}

// queue merges a frame into the one that waits to be sent.
func (link *link) queue(frame *peerv1.ControlFrame) {
	link.mu.Lock()
	if link.pending == nil {
		link.pending = &peerv1.ControlFrame{}
	}
	link.pending.Asks = append(link.pending.Asks, frame.Asks...)
	link.pending.Grants = append(link.pending.Grants, frame.Grants...)
	link.pending.Returns = append(link.pending.Returns, frame.Returns...)
	link.pending.Services = append(link.pending.Services, frame.Services...)
	link.pending.Spares = append(link.pending.Spares, frame.Spares...)
	link.pending.StopMarkers = append(link.pending.StopMarkers, frame.StopMarkers...)
	link.pending.Leaving = link.pending.Leaving || frame.Leaving
	if frame.Heartbeat != nil {
		link.pending.Heartbeat = frame.Heartbeat
	}
	link.mu.Unlock()
	select {
	case link.ready <- struct{}{}:
	default:
	}
}

func (link *link) take() *peerv1.ControlFrame {
	link.mu.Lock()
	defer link.mu.Unlock()
	frame := link.pending
	link.pending = nil
	return frame
}

// run keeps a control stream open until ctx ends.
func (link *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := link.stream(ctx)
		link.take()
		if ctx.Err() != nil {
			return
		}
		link.config.Logger.Debug("control link broke", "Peer", link.session, "Address", link.address, "Error", err)
		select {
		case <-time.After(reopenDelay/2 + rand.N(reopenDelay)):
		case <-ctx.Done():
		}
	}
}

// stream opens the control stream and sends frames over it until it breaks.
func (link *link) stream(parent context.Context) error {
	ctx, cancel := context.WithCancel(withSession(parent, link.config.Session()))
	defer cancel()
	exchange, err := link.client.Exchange(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	broken := make(chan error, 1)
	go func() {
		_, err := exchange.Recv()
		broken <- err
	}()
	defer func() {
		cancel()
		<-broken
	}()
	link.connected.Store(true)
	if link.config.Connected != nil {
		link.config.Connected(link.session)
	}
	ticker := time.NewTicker(link.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		frame := link.take()
		if frame != nil {
			if err := link.send(exchange, frame); err != nil {
				return err
			}
			continue
		}
		select {
		case <-link.ready:
		case <-ticker.C:
			if heartbeat := link.config.Heartbeat(link.session); heartbeat != nil {
				link.queue(&peerv1.ControlFrame{Heartbeat: heartbeat})
			}
		case err := <-broken:
			broken <- err
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (link *link) send(exchange peerv1.PeerService_ExchangeClient, frame *peerv1.ControlFrame) error {
	if link.config.Stamp != nil {
		frame.Stamp = link.config.Stamp()
	}
	if err := exchange.Send(frame); err != nil {
		return err
	}
	if link.config.Sent != nil {
		link.config.Sent(proto.Size(frame) + grpcHeaderBytes)
	}
	return nil
}
