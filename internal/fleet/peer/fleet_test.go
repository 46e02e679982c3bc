package peer_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// host is one router's share of a test: a server that keeps what it receives, and a Fleet.
type host struct {
	peer.Handler
	session clementinewind.Session
	fleet   *peer.Fleet

	mu         sync.Mutex
	heartbeats map[clementinewind.Session]int
	asks       []string
}

func (*host) HandleConnected(clementinewind.Session) {}

func (host *host) HandleControl(session clementinewind.Session, frame *peerv1.ControlFrame) {
	host.mu.Lock()
	defer host.mu.Unlock()
	if frame.Heartbeat != nil {
		host.heartbeats[session]++
	}
	for _, ask := range frame.Asks {
		host.asks = append(host.asks, ask.Organisation)
	}
}

func (host *host) heard(session clementinewind.Session) int {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.heartbeats[session]
}

func ip(session clementinewind.Session) string {
	return "10.0.0." + strconv.Itoa(int(session))
}

func address(session clementinewind.Session) string {
	return ip(session) + ":7000"
}

// newHost starts a host; stop ends it.
func newHost(t *testing.T, network *stand.Network, session clementinewind.Session) (started *host, stop func()) {
	listener, err := network.Listen(address(session))
	quicktest.Assert(t, err, quicktest.IsNil)
	started = &host{session: session, heartbeats: map[clementinewind.Session]int{}}
	server := peer.NewServer(peer.ServerConfig{Handler: started, MaxMessageBytes: 1 << 20})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	started.fleet = peer.NewFleet(peer.Config{
		Dial:              network.Dialer(ip(session)),
		Session:           func() clementinewind.Session { return session },
		HeartbeatInterval: time.Second,
		Heartbeat: func(clementinewind.Session) *peerv1.Heartbeat {
			return &peerv1.Heartbeat{Session: int64(session)}
		},
		MaxMessageBytes: 1 << 20,
	})
	return started, func() {
		started.fleet.Close()
		server.Stop()
		<-served
	}
}

func run(t *testing.T, test func(network *stand.Network, first, second *host)) {
	synctest.Test(t, func(t *testing.T) {
		network := stand.NewNetwork(time.Millisecond)
		first, stopFirst := newHost(t, network, 1)
		second, stopSecond := newHost(t, network, 2)
		defer stopSecond()
		defer stopFirst()
		for _, pair := range [][2]*host{{first, second}, {second, first}} {
			addresses := map[clementinewind.Session]string{pair[1].session: address(pair[1].session)}
			quicktest.Assert(t, pair[0].fleet.SetPeers(addresses), quicktest.IsNil)
		}
		time.Sleep(5 * time.Second)
		quicktest.Assert(t, second.heard(1) >= 3, quicktest.IsTrue)
		quicktest.Assert(t, first.heard(2) >= 3, quicktest.IsTrue)
		test(network, first, second)
	})
}

// Guards against a control link that never comes back after a connection went silent or was reset, or after a cut.
func TestLinkRecovers(t *testing.T) {
	tests := map[string]func(network *stand.Network){
		"silent": func(network *stand.Network) { network.Silence(ip(1), ip(2)) },
		"reset":  func(network *stand.Network) { network.Reset(ip(1), ip(2)) },
		"one-way cut": func(network *stand.Network) {
			network.SetFaults(ip(1), ip(2), stand.LinkFaults{Cut: true})
			time.Sleep(time.Minute)
			network.Heal()
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(network *stand.Network, first, second *host) {
				fault(network)
				// A silent connection is noticed after the ping interval and time-out, 15 s.
				time.Sleep(20 * time.Second)
				before := second.heard(1)
				time.Sleep(5 * time.Second)
				quicktest.Assert(t, second.heard(1)-before >= 4, quicktest.IsTrue)
				first.fleet.Send(2, &peerv1.ControlFrame{Asks: []*peerv1.Ask{{Organisation: "Patel"}}})
				time.Sleep(10 * time.Millisecond)
				second.mu.Lock()
				defer second.mu.Unlock()
				quicktest.Assert(t, second.asks, quicktest.DeepEquals, []string{"Patel"})
			})
		})
	}
}

// Guards against a connection that has gone silent and stays in use until the pings of gRPC find out, after 15 s, and
// against requests on it that the renewal cuts off.
func TestRenew(t *testing.T) {
	run(t, func(network *stand.Network, first, second *host) {
		network.Silence(ip(1), ip(2))
		renewed, err := first.fleet.Renew(2)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, renewed, quicktest.IsTrue)
		again, err := first.fleet.Renew(2)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, again, quicktest.IsFalse, quicktest.Commentf("renewed twice within the interval"))
		before := second.heard(1)
		time.Sleep(3 * time.Second)
		quicktest.Check(t, second.heard(1)-before >= 2, quicktest.IsTrue)
	})
}

// Guards against frames to a peer that has left the set, and against an RPC to it.
func TestUnknownPeer(t *testing.T) {
	run(t, func(_ *stand.Network, first, second *host) {
		quicktest.Assert(t, first.fleet.SetPeers(nil), quicktest.IsNil)
		first.fleet.Send(2, &peerv1.ControlFrame{Asks: []*peerv1.Ask{{Organisation: "Patel"}}})
		time.Sleep(time.Second)
		second.mu.Lock()
		quicktest.Assert(t, second.asks, quicktest.HasLen, 0)
		second.mu.Unlock()
		_, _, err := first.fleet.Client(context.Background(), 2)
		quicktest.Assert(t, err, quicktest.ErrorIs, peer.ErrUnknownPeer)
	})
}
