package gossip_test

import (
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

// FuzzTake guards against a datagram that crashes a router, or after which it finds no upstream although one is idle.
func FuzzTake(f *testing.F) {
	for _, datagram := range []*fleetv1.Datagram{
		{Content: &fleetv1.Datagram_Beat{Beat: &fleetv1.Beat{
			Instance: "router-1", Incarnation: 1, Sequence: 7, Zone: "a", PeerAddress: "127.0.0.1:9", Ready: true, Unserved: true,
			Loads:      []*fleetv1.UpstreamLoad{{Upstream: 1, Running: 1 << 31, PromptTokens: 1 << 31, ResidentTokens: 1 << 31}},
			Placements: []*fleetv1.Placement{{Upstream: 1, Prefix: 2, Tokens: 1 << 31}},
			Usages:     []*fleetv1.Usage{{Organisation: 1, Asked: 1 << 31, Served: 1 << 31}},
		}}},
		{Content: &fleetv1.Datagram_Digest{Digest: &fleetv1.Digest{Zone: "b", Presences: []*fleetv1.Presence{{AgeMillis: 1 << 31}}}}},
		{Content: &fleetv1.Datagram_Bundle{Bundle: &fleetv1.Bundle{Digests: []*fleetv1.Digest{{Zone: "a"}, {Zone: "c"}}}}},
	} {
		content, err := proto.Marshal(datagram)
		quicktest.Assert(f, err, quicktest.IsNil)
		f.Add(content)
	}
	f.Add([]byte("no datagram"))
	f.Fuzz(func(t *testing.T, content []byte) {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		now := time.Now()
		upstreams := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
		upstreams.SetServices([]table.ServiceSettings{{Name: "s", Engine: &table.Engine{MemoryTokens: 100_000}}})
		upstreams.Set(table.Entry{Upstream: "u", Service: "s", Slots: 800}, now)
		receiver := gossip.New(gossip.Config{
			Conn: conn, Board: upstreams, Shares: usage.NewShares(time.Minute), Logger: hclog.NewNullLogger(),
			Roster:  roster.New(roster.Config{Self: roster.Member{Instance: "router-0", Incarnation: 1, Zone: "a", PeerAddress: conn.LocalAddr().String()}}),
			Offsets: func() gossip.Offsets { return gossip.Offsets{} }, ConfigurationVersion: func() int64 { return 1 },
			OnPeerAhead: func(gossip.Offsets) {}, Refresh: func() {},
		})
		receiver.HandleDatagram(content, now)
		receiver.HandleDatagram(content, now.Add(time.Second))
		// By now everything that the datagram reported must have expired.
		later := now.Add(time.Minute)
		if ticket, _ := upstreams.Place(board.Request{
			Service: "s", Zone: "a", Prompt: prompt.Prompt{InputTokens: 100, OutputTokens: 10}, Goal: time.Second, Limit: pick.LatencyLimit(time.Second),
		}, later); ticket == nil {
			t.Error("no upstream, a minute after the datagram")
		}
	})
}
