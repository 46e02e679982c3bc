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
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	// heartbeatInterval bounds the age of what a router of a small fleet knows of the load of the others.
	heartbeatInterval = 200 * time.Millisecond
	// maxFullMeshPeers is the number of other routers up to which each router sends its heartbeats to all of them. In a larger fleet
	// a full mesh costs each router more than the digests of zone heads.
	maxFullMeshPeers = 16
	// presenceInterval is the interval between two lists of the live routers of a zone. Several lists may be lost before a router
	// counts as down.
	presenceInterval = 400 * time.Millisecond
	// headTimeout is the time without a digest after which the zone head counts as failed. Three digests may be lost, and the load
	// that routers know of each other stays less than a second old.
	headTimeout = 700 * time.Millisecond
	// headRetryInterval is how long a failed head is skipped.
	headRetryInterval = 5 * time.Second
	// usageInterval is the interval between two reports of the organisations' usage, which changes over seconds.
	usageInterval = 800 * time.Millisecond
	// maxDatagramBytes is far more than a digest of the largest fleet takes.
	maxDatagramBytes = 60000
	// maxBundleBytes limits the digests in one datagram; the others are sent in further datagrams.
	maxBundleBytes = 40000
	// maxPlacements limits the placements in a datagram, as a burst of requests may make more. A placement that is left out costs one
	// more prefill of its prefix.
	maxPlacements = 1500
	// reportBytesPerSecond limits what a router sends for reports of upstreams in its datagrams, and reportBytes is the size of one.
	reportBytesPerSecond = 2000
	reportBytes          = 14
	// maxDigestAge is the age up to which a digest replaces the heartbeats of the routers of its zone.
	maxDigestAge = 2 * time.Second
)

// Offsets say how far a router has read the topics of the platform's store.
type Offsets struct {
	Operator  feed.Position
	Upstreams feed.Position
}

// Config configures a Gossip.
type Config struct {
	Conn   net.PacketConn
	Roster *roster.Roster
	Board  *board.Board
	Shares *usage.Shares
	// Poison holds the prompt parts that crash upstreams; nil is a registry of which nobody asks.
	Poison *poison.Registry
	// Canary holds the roll-outs; nil is a registry without any.
	Canary *canary.Registry
	// Refresh is called before each heartbeat and updates the router's own state in the roster.
	Refresh func()
	// Offsets returns how far this router has read, ConfigurationVersion the version of its configuration.
	Offsets              func() Offsets
	ConfigurationVersion func() int64
	// OnPeerAhead is called when another router has read further than this one.
	OnPeerAhead func(offsets Offsets)
	Logger      hclog.Logger
}

// Gossip sends and receives heartbeats and digests.
type Gossip struct {
	config Config

	mutex    sync.Mutex
	sequence uint64
	// usageSentAt is when the usage was last part of a heartbeat.
	usageSentAt    time.Time
	aggregator     *aggregator
	receiveState   *receiveState
	headDetector   *head.Detector
	sentHeartbeats sentHistory
	// isHead is set while this router considers itself the head of its zone, since headSince.
	isHead    bool
	headSince time.Time
	// zoneHead is the router that this one considers the head; isStandby is set while this one is next in line.
	zoneHead  roster.Member
	isStandby bool
	// activeHead is the router of the own zone whose digest arrived last, at activeHeadAt.
	activeHead   clementinewind.Instance
	activeHeadAt time.Time
	// pendingDigests are the digests of other zones that this head has not forwarded yet; latestDigests are the last ones of each
	// zone.
	pendingDigests map[clementinewind.Zone]*fleetv1.Digest
	latestDigests  map[clementinewind.Zone]*fleetv1.Digest
}

// New returns a Gossip that has not sent anything.
func New(config Config) *Gossip {
	if config.Poison == nil {
		config.Poison = poison.New(poison.Config{})
	}
	if config.Canary == nil {
		config.Canary = canary.New(canary.Config{})
	}
	return &Gossip{
		config: config, aggregator: newAggregator(), receiveState: newReceiveState(), pendingDigests: map[clementinewind.Zone]*fleetv1.Digest{},
		latestDigests: map[clementinewind.Zone]*fleetv1.Digest{},
		headDetector:  head.NewDetector(head.DetectorConfig{Timeout: headTimeout, RetryInterval: headRetryInterval}),
	}
}

// Send sends heartbeats and logs peers that became silent, until the context ends.
func (gossip *Gossip) Send(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		gossip.config.Refresh()
		now := time.Now()
		gossip.SendHeartbeat(now)
		for _, member := range gossip.config.Roster.Sweep(now, last) {
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

// SendHeartbeat sends one heartbeat; Send calls it. In a small fleet it goes to all other routers. In a large one it goes to the
// head and the standby of the zone, which send digests back, so that a router's traffic does not grow with the fleet.
func (gossip *Gossip) SendHeartbeat(now time.Time) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.sequence++
	self := gossip.config.Roster.Self()
	heartbeat := gossip.newHeartbeat(self, now)
	if gossip.config.Roster.Count() <= 1+maxFullMeshPeers {
		gossip.sendTo(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: heartbeat}}, gossip.config.Roster.Peers())
		return
	}
	gossip.sendViaHead(self, heartbeat, now)
}

func (gossip *Gossip) sendTo(datagram *fleetv1.Datagram, peers []roster.Member) {
	if len(peers) == 0 {
		return
	}
	content, err := proto.Marshal(datagram)
	if err != nil {
		gossip.config.Logger.Error("failed to encode datagram", "Error", err)
		return
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer.PeerAddress)
		if err != nil {
			gossip.config.Logger.Debug("invalid peer address", "Peer", peer.Instance, "Error", err)
			continue
		}
		if _, err := gossip.config.Conn.WriteTo(content, address); err != nil {
			gossip.config.Logger.Debug("failed to send datagram", "Peer", peer.Instance, "Error", err)
		}
	}
}

// newHeartbeat returns a heartbeat with the router's description, its read offsets, its load, its placements since the last call
// and, once per usageInterval, the usage.
func (gossip *Gossip) newHeartbeat(self roster.Member, now time.Time) *fleetv1.Beat {
	heartbeat := EncodeMember(self)
	offsets := gossip.config.Offsets()
	heartbeat.Sequence = gossip.sequence
	heartbeat.ConfigurationVersion = gossip.config.ConfigurationVersion()
	heartbeat.OperatorOffset, heartbeat.OperatorEra = encodePosition(offsets.Operator)
	heartbeat.UpstreamOffset, heartbeat.UpstreamEra = encodePosition(offsets.Upstreams)
	loads, placements := gossip.config.Board.LocalLoad(now)
	heartbeat.Loads = encodeLoads(loads)
	heartbeat.Placements = encodePlacements(placements)
	heartbeat.Reports = encodeFacts(gossip.config.Board.TakeFacts(gossip.maxReports(), now), now)
	heartbeat.Suspects = encodeSuspects(gossip.config.Poison.Reports(now), now)
	heartbeat.Rollouts = encodeRollouts(gossip.config.Canary.Reports(now))
	if !gossip.receiveState.hasRecentDigest(self.Zone, maxDigestAge, now) {
		gossip.mergeRollouts(usage.Source{Instance: self.Instance, Zone: self.Zone}, heartbeat.Rollouts, now)
	}
	var report usage.Report
	if now.Sub(gossip.usageSentAt) >= usageInterval {
		gossip.usageSentAt = now
		report = gossip.config.Shares.LocalReport(now)
		heartbeat.Usages = encodeReport(report)
	}
	gossip.sentHeartbeats.add(heartbeat.Sequence, loads, report)
	return heartbeat
}

// maxReports returns the number of reports in a heartbeat or digest. Each router sends heartbeats to all others of a small fleet. In a large
// one it sends them to the heads of its zone, and on average as many digests as there are zones.
func (gossip *Gossip) maxReports() int {
	datagrams := gossip.config.Roster.Count() - 1
	if datagrams > maxFullMeshPeers {
		datagrams = headsPerZone + len(gossip.latestDigests) + 1
	}
	return reportBytesPerSecond * int(heartbeatInterval) / int(time.Second) / reportBytes / max(datagrams, 1)
}

// Receive handles datagrams of other routers until the connection is closed or the context ends.
func (gossip *Gossip) Receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := gossip.config.Conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// A peer that is down can cause a read error; the socket stays usable.
			continue
		}
		gossip.HandleDatagram(buffer[:size], time.Now())
	}
}

// HandleDatagram handles one datagram; Receive calls it.
func (gossip *Gossip) HandleDatagram(content []byte, now time.Time) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	var datagram fleetv1.Datagram
	if err := proto.Unmarshal(content, &datagram); err != nil {
		gossip.config.Logger.Debug("failed to decode datagram", "Error", err)
		return
	}
	if heartbeat := datagram.GetBeat(); heartbeat.GetInstance() != "" {
		gossip.handleHeartbeat(heartbeat, now)
	}
	if digest := datagram.GetDigest(); digest.GetZone() != "" {
		gossip.handleDigest(digest, now)
		gossip.forwardToHead(digest)
	}
	for _, digest := range datagram.GetBundle().GetDigests() {
		gossip.handleDigest(digest, now)
	}
}

// handleHeartbeat handles the heartbeat of another router.
func (gossip *Gossip) handleHeartbeat(heartbeat *fleetv1.Beat, now time.Time) {
	if !gossip.receiveState.acceptNewer(heartbeat.Instance, heartbeat.Incarnation, heartbeat.Sequence) {
		return
	}
	member := DecodeMember(heartbeat)
	gossip.headDetector.RecordAlive(member.Instance, now)
	if gossip.config.Roster.RecordHeartbeat(member, now) {
		gossip.config.Logger.Info("peer alive", "Peer", member.Instance, "Address", member.PeerAddress)
	}
	if member.Zone == gossip.config.Roster.Self().Zone {
		gossip.aggregator.collect(member, heartbeat, now)
		if heartbeat.Unserved && !gossip.isHead {
			gossip.sendLatestDigests(member, now)
		}
	}
	gossip.config.Poison.Merge(decodeSuspects(heartbeat.Suspects, now), now)
	// The head of a zone passes on what its routers tell.
	gossip.config.Board.AddFacts(decodeFacts(heartbeat.Reports, now), gossip.isHead && member.Zone == gossip.config.Roster.Self().Zone, now)
	// A recent digest of the zone already includes this router.
	if !gossip.receiveState.hasRecentDigest(member.Zone, maxDigestAge, now) {
		source := usage.Source{Instance: member.Instance, Zone: member.Zone}
		gossip.mergeRollouts(source, heartbeat.Rollouts, now)
		gossip.applyState(source, decodeLoads(heartbeat.Loads), heartbeat.Placements, decodeReport(heartbeat.Usages), now)
	}
	gossip.notifyIfBehind(offsetsOf(heartbeat))
}

// notifyIfBehind calls OnPeerAhead if another router has read the store's topics further than this one.
func (gossip *Gossip) notifyIfBehind(peer Offsets) {
	if own := gossip.config.Offsets(); peer.Operator > own.Operator || peer.Upstreams > own.Upstreams {
		gossip.config.OnPeerAhead(peer)
	}
}

// offsetsMessage is a message that says how far its sender has read.
type offsetsMessage interface {
	GetOperatorOffset() int64
	GetOperatorEra() int64
	GetUpstreamOffset() int64
	GetUpstreamEra() int64
}

func offsetsOf(message offsetsMessage) Offsets {
	return Offsets{
		Operator:  decodePosition(message.GetOperatorOffset(), message.GetOperatorEra()),
		Upstreams: decodePosition(message.GetUpstreamOffset(), message.GetUpstreamEra()),
	}
}

// encodePosition returns the offset and era of a position. Without a record both are those of builds that do not know eras.
func encodePosition(position feed.Position) (offset, era int64) {
	if position < 0 {
		return int64(position), 0
	}
	return position.Offset(), position.Era()
}

func decodePosition(offset, era int64) feed.Position {
	if offset < 0 || era < 0 || era > feed.MaxEra {
		return -1
	}
	return feed.NewPosition(era, offset)
}

// applyState records the load, placements and usage of a router, or of a whole zone. An empty report changes nothing.
func (gossip *Gossip) applyState(
	source usage.Source, loads map[uint32]board.Load, placements []*fleetv1.Placement, report usage.Report, now time.Time,
) {
	gossip.config.Board.SetPeer(source, loads, now)
	if len(placements) > 0 {
		gossip.config.Board.AddPlacements(decodePlacements(placements), now)
	}
	if len(report) > 0 {
		gossip.config.Shares.SetPeer(source, report, now)
	}
}
