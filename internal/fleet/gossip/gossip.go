package gossip

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	// beatInterval is the pause between two beats. The work of the other routers is known with this age.
	beatInterval = 200 * time.Millisecond
	// fullMesh is the number of other routers up to which each router tells all others everything. In a larger fleet that
	// goes to the routers of the own zone, and to the other zones in a digest, because bytes between zones are paid for.
	fullMesh = 16
	// presenceInterval is the pause between two beats to routers of other zones in a large fleet. They only say that the
	// router is alive.
	presenceInterval = 800 * time.Millisecond
	// usageInterval is the pause between two reports of what the organisations used; they change over seconds.
	usageInterval = 800 * time.Millisecond
	// maxDatagram is far above a digest of the largest fleet.
	maxDatagram = 60000
	// maxPlacements bounds a datagram under a burst; what is left out costs one reading of a prefix.
	maxPlacements = 1500
	// digestAge is the age at which a digest no longer stands for the routers of its zone.
	digestAge = 2 * time.Second
)

// Offsets tell how far a router has read the topics of the store.
type Offsets struct {
	Operator  int64
	Upstreams int64
}

// Config configures a Gossip.
type Config struct {
	Conn   net.PacketConn
	Roster *roster.Roster
	Board  *board.Board
	Shares *usage.Shares
	// Refresh is called before each beat and brings the router's own state in the roster up to date.
	Refresh func()
	// Offsets returns how far this router has read, Version its configuration.
	Offsets func() Offsets
	Version func() int64
	// Ahead is called when another router has read further than this one.
	Ahead  func(offsets Offsets)
	Logger hclog.Logger
}

// Gossip sends and receives beats and digests.
type Gossip struct {
	config   Config
	sequence uint64
	// presenceAt and usageAt are when those were last sent.
	presenceAt time.Time
	usageAt    time.Time
	zone       *zone
	received   *received
}

// New returns a gossip that has not sent anything.
func New(config Config) *Gossip {
	return &Gossip{config: config, zone: newZone(), received: newReceived()}
}

// Send sends beats until the context ends.
func (gossip *Gossip) Send(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		gossip.config.Refresh()
		now := time.Now()
		gossip.beat(now)
		for _, member := range gossip.config.Roster.Silent(now, last) {
			gossip.config.Logger.Warn("peer lost", "Peer", member.Instance, "Address", member.PeerAddress)
		}
		last = now
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// beat tells the others what this router knows: everything to those nearby, and the rest only that it is alive.
func (gossip *Gossip) beat(now time.Time) {
	gossip.sequence++
	peers := gossip.config.Roster.Peers()
	self := gossip.config.Roster.Self()
	large := len(peers) > fullMesh
	presence := gossip.presence(self)
	beat := gossip.withWork(presence, now)
	near, far := peers, []roster.Member(nil)
	if large {
		near, far = split(peers, self.Zone)
		gossip.zone.collect(self.Instance, beat)
	}
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: beat}}, near)
	if !large {
		return
	}
	if now.Sub(gossip.presenceAt) >= presenceInterval {
		gossip.presenceAt = now
		gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: presence}}, far)
	}
	gossip.digest(self, now)
}

// split separates the routers of a zone from the others.
func split(peers []roster.Member, zone clementinewind.Zone) (near, far []roster.Member) {
	for _, peer := range peers {
		if peer.Zone == zone {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	return near, far
}

// digest sends the digest of the own zone to the other zones, if this router does that for its zone.
func (gossip *Gossip) digest(self roster.Member, now time.Time) {
	heads := gossip.config.Roster.Heads(now)
	digest := gossip.zone.digest(now)
	if heads[self.Zone].Instance != self.Instance {
		return
	}
	digest.Instance, digest.Zone = string(self.Instance), string(self.Zone)
	digest.Incarnation, digest.Sequence = self.Incarnation, gossip.sequence
	var others []roster.Member
	for zone, head := range heads {
		if zone != self.Zone {
			others = append(others, head)
		}
	}
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, others)
}

func (gossip *Gossip) send(datagram *fleetv1.Datagram, peers []roster.Member) {
	if len(peers) == 0 {
		return
	}
	content, err := proto.Marshal(datagram)
	if err != nil {
		gossip.config.Logger.Error("datagram not encoded", "Error", err)
		return
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer.PeerAddress)
		if err != nil {
			gossip.config.Logger.Debug("address of a peer not readable", "Peer", peer.Instance, "Error", err)
			continue
		}
		if _, err := gossip.config.Conn.WriteTo(content, address); err != nil {
			gossip.config.Logger.Debug("datagram not sent", "Peer", peer.Instance, "Error", err)
		}
	}
}

// presence returns a beat that says who this router is and how far it has read, without its work.
func (gossip *Gossip) presence(self roster.Member) *fleetv1.Beat {
	presence := Describe(self)
	offsets := gossip.config.Offsets()
	presence.Sequence = gossip.sequence
	presence.ConfigurationVersion = gossip.config.Version()
	presence.OperatorOffset, presence.UpstreamOffset = offsets.Operator, offsets.Upstreams
	return presence
}

// withWork returns a copy of a beat with the work of this router, what it placed since the last call, and at times the usage.
func (gossip *Gossip) withWork(presence *fleetv1.Beat, now time.Time) *fleetv1.Beat {
	beat := proto.CloneOf(presence)
	work, placements := gossip.config.Board.Own(now)
	beat.Loads = encodeWork(work)
	beat.Placements = encodePlacements(placements)
	if now.Sub(gossip.usageAt) >= usageInterval {
		gossip.usageAt = now
		beat.Usages = encodeReport(gossip.config.Shares.Own(now))
	}
	return beat
}

// Receive handles the datagrams of the others until the connection is closed.
func (gossip *Gossip) Receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := gossip.config.Conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// A peer that is gone shows as an error of a socket that goes on to work.
			continue
		}
		var datagram fleetv1.Datagram
		if err := proto.Unmarshal(buffer[:size], &datagram); err != nil {
			gossip.config.Logger.Debug("datagram not readable", "Error", err)
			continue
		}
		now := time.Now()
		if beat := datagram.GetBeat(); beat.GetInstance() != "" {
			gossip.hear(beat, now)
		}
		if digest := datagram.GetDigest(); digest.GetZone() != "" {
			gossip.learn(digest, now)
		}
	}
}

// hear handles the beat of another router.
func (gossip *Gossip) hear(beat *fleetv1.Beat, now time.Time) {
	if !gossip.received.newer(beat.Instance, beat.Incarnation, beat.Sequence) {
		return
	}
	member := MemberOf(beat)
	if gossip.config.Roster.Hear(member, now) {
		gossip.config.Logger.Info("peer heard", "Peer", member.Instance, "Address", member.PeerAddress)
	}
	self := gossip.config.Roster.Self()
	if member.Zone == self.Zone {
		gossip.zone.collect(member.Instance, beat)
	}
	// A digest already counts the routers of its zone.
	if member.Zone == self.Zone || !gossip.received.hasDigest(member.Zone, now) {
		gossip.apply(usage.Source{Instance: member.Instance}, beat.Loads, beat.Placements, beat.Usages, now)
	}
	own := gossip.config.Offsets()
	if beat.OperatorOffset > own.Operator || beat.UpstreamOffset > own.Upstreams {
		gossip.config.Ahead(Offsets{Operator: beat.OperatorOffset, Upstreams: beat.UpstreamOffset})
	}
}

// learn handles the digest of another zone, and passes it on in the own zone if it came from there.
func (gossip *Gossip) learn(digest *fleetv1.Digest, now time.Time) {
	self := gossip.config.Roster.Self()
	zone := clementinewind.Zone(digest.Zone)
	if zone == self.Zone || !gossip.received.newer("digest of "+digest.Instance, digest.Incarnation, digest.Sequence) {
		return
	}
	gossip.received.setDigest(zone, now)
	gossip.apply(usage.Source{Zone: zone}, digest.Loads, digest.Placements, digest.Usages, now)
	if gossip.config.Roster.Heads(now)[self.Zone].Instance != self.Instance {
		return
	}
	near, _ := split(gossip.config.Roster.Peers(), self.Zone)
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, near)
}

func (gossip *Gossip) apply(
	source usage.Source, loads []*fleetv1.UpstreamLoad, placements []*fleetv1.Placement, usages []*fleetv1.Usage, now time.Time,
) {
	gossip.config.Board.SetPeer(source, decodeWork(loads), now)
	if len(placements) > 0 {
		gossip.config.Board.AddPlacements(decodePlacements(placements), now)
	}
	if len(usages) > 0 {
		gossip.config.Shares.SetPeer(source, decodeReport(usages), now)
	}
}
