package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/head"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	// beatInterval is the pause between two beats. The work of the other routers is known with this age.
	beatInterval = 200 * time.Millisecond
	// fullMesh is the number of other routers up to which each router tells all others everything. Beyond it, what a full mesh
	// costs each router exceeds what the digests cost.
	fullMesh = 16
	// presenceInterval is the pause between two lists of the routers of a zone. Several may be lost before a router counts as gone.
	presenceInterval = 400 * time.Millisecond
	// headSilence is the time without a digest after which the head of the zone is passed over: three of them may be lost. What
	// the routers know of each other's work then has an age of less than a second.
	headSilence = 700 * time.Millisecond
	// headRetry is how long a silent head is passed over.
	headRetry = 5 * time.Second
	// usageInterval is the pause between two reports of what the organisations used; they change over seconds.
	usageInterval = 800 * time.Millisecond
	// maxDatagram is far above a digest of the largest fleet.
	maxDatagram = 60000
	// bundleBytes bounds a bundle; digests beyond it go in a datagram of their own.
	bundleBytes = 40000
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
	Offsets              func() Offsets
	ConfigurationVersion func() int64
	// OnPeerAhead is called when another router has read further than this one.
	OnPeerAhead func(offsets Offsets)
	Logger      hclog.Logger
}

// Gossip sends and receives beats and digests.
type Gossip struct {
	config Config

	mutex    sync.Mutex
	sequence uint64
	// usageAt is when the usage was last sent.
	usageAt  time.Time
	zone     *zone
	received *received
	watch    *head.Watch
	own      history
	// leads is set while this router is the head of its zone in its own eyes, since leadsSince.
	leads      bool
	leadsSince time.Time
	// head is the router that it takes for the head, and deputy is set while it is the deputy itself.
	head   roster.Member
	deputy bool
	// actsAs is the router of the zone whose digest arrived last, at actedAt.
	actsAs  clementinewind.Instance
	actedAt time.Time
	// news are the digests of other zones that were not passed on yet, and latest the last ones, by zone.
	news   map[clementinewind.Zone]*fleetv1.Digest
	latest map[clementinewind.Zone]*fleetv1.Digest
}

// New returns a gossip that has not sent anything.
func New(config Config) *Gossip {
	return &Gossip{
		config: config, zone: newZone(), received: newReceived(), news: map[clementinewind.Zone]*fleetv1.Digest{},
		latest: map[clementinewind.Zone]*fleetv1.Digest{},
		watch:  head.NewWatch(head.WatchConfig{Silence: headSilence, Retry: headRetry}),
	}
}

// Send sends beats until the context ends.
func (gossip *Gossip) Send(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		gossip.config.Refresh()
		now := time.Now()
		gossip.Beat(now)
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

// Beat tells the others what this router knows. Send calls it. A small fleet is a full mesh; in a large one each router tells the
// head of its zone and its deputy, and gets digests from there, so that what a router sends does not grow with the fleet.
func (gossip *Gossip) Beat(now time.Time) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.sequence++
	self := gossip.config.Roster.Self()
	beat := gossip.describe(self, now)
	if gossip.config.Roster.Count() <= 1+fullMesh {
		gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: beat}}, gossip.config.Roster.Peers())
		return
	}
	gossip.beatInZone(self, beat, now)
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

// describe returns a beat that says who this router is, how far it has read, its work, what it placed since the last call, and at
// times the usage.
func (gossip *Gossip) describe(self roster.Member, now time.Time) *fleetv1.Beat {
	beat := EncodeMember(self)
	offsets := gossip.config.Offsets()
	beat.Sequence = gossip.sequence
	beat.ConfigurationVersion = gossip.config.ConfigurationVersion()
	beat.OperatorOffset, beat.UpstreamOffset = offsets.Operator, offsets.Upstreams
	work, placements := gossip.config.Board.LocalLoad(now)
	beat.Loads = encodeWork(work)
	beat.Placements = encodePlacements(placements)
	var report usage.Report
	if now.Sub(gossip.usageAt) >= usageInterval {
		gossip.usageAt = now
		report = gossip.config.Shares.LocalReport(now)
		beat.Usages = encodeReport(report)
	}
	gossip.own.add(beat.Sequence, work, report)
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
		gossip.Take(buffer[:size], time.Now())
	}
}

// Take handles one datagram. Receive calls it.
func (gossip *Gossip) Take(content []byte, now time.Time) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var datagram fleetv1.Datagram
	if err := proto.Unmarshal(content, &datagram); err != nil {
		gossip.config.Logger.Debug("datagram not readable", "Error", err)
		return
	}
	if beat := datagram.GetBeat(); beat.GetInstance() != "" {
		gossip.hear(beat, now)
	}
	if digest := datagram.GetDigest(); digest.GetZone() != "" {
		gossip.learn(digest, now)
		gossip.relay(digest)
	}
	for _, digest := range datagram.GetBundle().GetDigests() {
		gossip.learn(digest, now)
	}
}

// hear handles the beat of another router.
func (gossip *Gossip) hear(beat *fleetv1.Beat, now time.Time) {
	if !gossip.received.newer(beat.Instance, beat.Incarnation, beat.Sequence) {
		return
	}
	member := DecodeMember(beat)
	gossip.watch.Hear(member.Instance, now)
	if gossip.config.Roster.RecordHeartbeat(member, now) {
		gossip.config.Logger.Info("peer heard", "Peer", member.Instance, "Address", member.PeerAddress)
	}
	if member.Zone == gossip.config.Roster.Self().Zone {
		gossip.zone.collect(member, beat, now)
		if beat.Unserved && !gossip.leads {
			gossip.serve(member, now)
		}
	}
	// A digest already counts the routers of its zone.
	if !gossip.received.hasDigest(member.Zone, digestAge, now) {
		source := usage.Source{Instance: member.Instance, Zone: member.Zone}
		gossip.apply(source, decodeWork(beat.Loads), beat.Placements, decodeReport(beat.Usages), now)
	}
	gossip.catchUp(beat.OperatorOffset, beat.UpstreamOffset)
}

// catchUp reports that another router has read the topics of the store further than this one.
func (gossip *Gossip) catchUp(operator, upstreams int64) {
	own := gossip.config.Offsets()
	if operator > own.Operator || upstreams > own.Upstreams {
		gossip.config.OnPeerAhead(Offsets{Operator: operator, Upstreams: upstreams})
	}
}

// apply records what a router, or a zone as a whole, told. An empty report says nothing.
func (gossip *Gossip) apply(
	source usage.Source, work map[uint32]board.Load, placements []*fleetv1.Placement, report usage.Report, now time.Time,
) {
	gossip.config.Board.SetPeer(source, work, now)
	if len(placements) > 0 {
		gossip.config.Board.AddPlacements(decodePlacements(placements), now)
	}
	if len(report) > 0 {
		gossip.config.Shares.SetPeer(source, report, now)
	}
}
