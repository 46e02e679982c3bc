package gossip_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// mesh simulates a fleet. Datagrams stay in memory, and the test advances the time.
type mesh struct {
	now       time.Time
	byAddress map[netip.AddrPort]*meshMember
	routers   []*meshMember
	// queue holds the datagrams that are not delivered yet.
	queue []meshDatagram
	// drops reports whether a datagram is lost; if nil, none is.
	drops func(from, to *meshMember) bool
}

type meshDatagram struct {
	from, to *meshMember
	content  []byte
}

// meshMember is one router, and the net.PacketConn through which it sends.
type meshMember struct {
	mesh         *mesh
	address      netip.AddrPort
	name         clementinewind.Instance
	zone         clementinewind.Zone
	gossip       *gossip.Gossip
	roster       *roster.Roster
	board        *board.Board
	shares       *usage.Shares
	poison       *poison.Registry
	canary       *canary.Registry
	stopped      bool
	offsets      gossip.Offsets
	aheadOffsets gossip.Offsets
	sent         int
	received     int
	bytes        int
	cpuTime      time.Duration
}

const meshStep = 200 * time.Millisecond

var meshStart = time.Unix(1_000_000, 0)

// newMesh returns a fleet in which each router knows all others. The first three of each zone have more CPU.
func newMesh(routers, zones, upstreams int) *mesh {
	built := &mesh{now: meshStart, byAddress: map[netip.AddrPort]*meshMember{}}
	for number := range routers {
		built.add(number, zones, upstreams, 1)
	}
	for _, member := range built.routers {
		for _, other := range built.routers {
			member.roster.AddFromStore(other.roster.Self(), built.now)
		}
	}
	return built
}

// add starts a router that knows no other, in place of an earlier one with the same number.
func (mesh *mesh) add(number, zones, upstreams int, incarnation int64) *meshMember {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number % zones), byte(number / 250), byte(number % 250)}), 70)
	cores := 0.192
	if number/zones < 3 {
		cores = 0.8
	}
	member := &meshMember{
		mesh: mesh, address: address, name: clementinewind.Instance(fmt.Sprintf("router-%d", number)),
		zone: clementinewind.Zone(fmt.Sprintf("zone-%d", number%zones)), shares: usage.NewShares(4 * time.Second),
		board: board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }}),
	}
	member.roster = roster.New(roster.Config{Self: roster.Member{
		Instance: member.name, Zone: member.zone, Incarnation: incarnation, CallerAddress: address.Addr().String() + ":80",
		PeerAddress: address.String(), Ready: true, StoreReachable: true, Cores: cores,
	}})
	member.board.SetServices([]table.ServiceSettings{{Name: "s", Engine: &table.Engine{MemoryTokens: 500_000, Slots: 64}}})
	for upstream := range upstreams {
		member.board.Set(table.Entry{
			Upstream: clementinewind.Upstream(fmt.Sprintf("u%d", upstream)), Service: "s", Slots: 64,
		}, mesh.now)
	}
	member.poison = poison.New(poison.Config{})
	member.canary = canary.New(canary.Config{})
	member.gossip = gossip.New(gossip.Config{
		Conn: member, Roster: member.roster, Board: member.board, Shares: member.shares, Poison: member.poison, Canary: member.canary, Logger: hclog.NewNullLogger(),
		Offsets: func() gossip.Offsets { return member.offsets }, ConfigurationVersion: func() int64 { return 1 },
		OnPeerAhead: func(offsets gossip.Offsets) { member.aheadOffsets = offsets }, Refresh: func() {},
	})
	if old, ok := mesh.byAddress[address]; ok {
		old.stopped = true
	}
	mesh.byAddress[address] = member
	mesh.routers = append(mesh.routers, member)
	return member
}

// WriteTo implements net.PacketConn.
func (member *meshMember) WriteTo(content []byte, address net.Addr) (int, error) {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return 0, net.ErrWriteToConnected
	}
	to := member.mesh.byAddress[netip.AddrPortFrom(udp.AddrPort().Addr().Unmap(), udp.AddrPort().Port())]
	member.sent++
	member.bytes += len(content)
	if to != nil && (member.mesh.drops == nil || !member.mesh.drops(member, to)) {
		member.mesh.queue = append(member.mesh.queue, meshDatagram{from: member, to: to, content: append([]byte(nil), content...)})
	}
	return len(content), nil
}

// The other methods of net.PacketConn are not used.
func (member *meshMember) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, net.ErrClosed }
func (member *meshMember) Close() error                           { return nil }
func (member *meshMember) LocalAddr() net.Addr                    { return net.UDPAddrFromAddrPort(member.address) }
func (member *meshMember) SetDeadline(time.Time) error            { return nil }
func (member *meshMember) SetReadDeadline(time.Time) error        { return nil }
func (member *meshMember) SetWriteDeadline(time.Time) error       { return nil }

// step advances the time by the heartbeat interval. Routers send one after the other, and datagrams arrive at once.
func (mesh *mesh) step() {
	mesh.now = mesh.now.Add(meshStep)
	for _, member := range mesh.routers {
		if member.stopped {
			continue
		}
		start := time.Now()
		member.gossip.SendHeartbeat(mesh.now)
		member.cpuTime += time.Since(start)
		mesh.deliver()
	}
}

func (mesh *mesh) deliver() {
	for len(mesh.queue) > 0 {
		datagram := mesh.queue[0]
		mesh.queue = mesh.queue[1:]
		if datagram.to.stopped {
			continue
		}
		datagram.to.received++
		datagram.to.bytes += len(datagram.content)
		start := time.Now()
		datagram.to.gossip.HandleDatagram(datagram.content, mesh.now)
		datagram.to.cpuTime += time.Since(start)
	}
}

func (mesh *mesh) run(duration time.Duration) {
	for end := mesh.now.Add(duration); mesh.now.Before(end); {
		mesh.step()
	}
}

// place makes a router place a request that runs for the rest of the test.
func (member *meshMember) place(b testing.TB, subject string) {
	ticket, _ := member.board.Place(board.Request{Service: "s", Goal: time.Hour, Limit: pick.LatencyLimit(time.Hour), Prompt: prompt.Prompt{
		InputTokens: 5000, Parts: []prompt.Part{{ID: subject, Tokens: 4000}, {ID: "own", Tokens: 1000}},
	}}, member.mesh.now)
	quicktest.Assert(b, ticket, quicktest.IsNotNil)
}

// BenchmarkFleet measures the cost of gossip for each router by the size of the fleet, with five zones, 160 upstreams, and the
// rate of placements of a large deployment, which does not depend on the number of routers. Values are means over all routers,
// except most-ms/s, the CPU time of the busiest router, which is a zone head.
func BenchmarkFleet(b *testing.B) {
	const zones, upstreams, placementsPerSecond, seconds = 5, 160, 1500, 2
	for _, routers := range []int{6, 30, 73, 295, 1000} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for b.Loop() {
				fleet := newMesh(routers, zones, upstreams)
				fleet.run(2 * time.Second)
				for _, member := range fleet.routers {
					member.sent, member.received, member.bytes, member.cpuTime = 0, 0, 0, 0
				}
				subject := 0
				for range seconds * int(time.Second/meshStep) {
					for range placementsPerSecond * int(meshStep) / int(time.Second) {
						member := fleet.routers[subject%routers]
						member.shares.AddRequested(clementinewind.Organisation(fmt.Sprint(subject%60)), 5000, fleet.now)
						member.place(b, fmt.Sprint(subject%500))
						subject++
					}
					fleet.step()
				}
				var sent, received, bytes int
				var totalCPUTime, maxCPUTime time.Duration
				for _, member := range fleet.routers {
					sent, received, bytes, totalCPUTime = sent+member.sent, received+member.received, bytes+member.bytes, totalCPUTime+member.cpuTime
					maxCPUTime = max(maxCPUTime, member.cpuTime)
				}
				routerSeconds := float64(routers * seconds)
				b.ReportMetric(float64(sent)/routerSeconds, "sent/router/s")
				b.ReportMetric(float64(received)/routerSeconds, "received/router/s")
				b.ReportMetric(float64(bytes)/routerSeconds/1000, "kB/router/s")
				b.ReportMetric(float64(totalCPUTime.Microseconds())/routerSeconds/1000, "ms/router/s")
				b.ReportMetric(float64(maxCPUTime.Microseconds())/seconds/1000, "most-ms/s")
			}
		})
	}
}
