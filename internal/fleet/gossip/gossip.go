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
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	// fastestBeat is the pause between two beats in a small fleet. The work of the others is known with this age.
	fastestBeat = 200 * time.Millisecond
	// slowestBeat keeps three beats within the time after which a router counts as silent.
	slowestBeat = 600 * time.Millisecond
	// beatsPerSecond bounds the datagrams that a router sends, by which larger fleets beat more slowly.
	beatsPerSecond = 100
	// usageInterval is the pause between two reports of what the organisations used; they change over seconds.
	usageInterval = 800 * time.Millisecond
	// maxDatagram is far above a beat of the largest fleet.
	maxDatagram = 60000
	// maxPlacements bounds a beat under a burst; what is left out costs one reading of a prefix.
	maxPlacements = 500
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
	// Offsets returns how far this router has read, Version its configuration.
	Offsets func() Offsets
	Version func() int64
	// Refresh is called before each beat and brings the router's own state in the roster up to date.
	Refresh func()
	// Ahead is called when another router has read further than this one.
	Ahead  func(offsets Offsets)
	Logger hclog.Logger
}

// Gossip sends and receives beats.
type Gossip struct {
	config   Config
	sequence uint64
	// usageAt is when the usage of the organisations was last sent.
	usageAt time.Time
	// sequences holds the newest beat of each router, so that a datagram that arrives late is ignored.
	sequences map[string]position
}

type position struct {
	incarnation int64
	sequence    uint64
}

// New returns a gossip that has not sent anything.
func New(config Config) *Gossip {
	return &Gossip{config: config, sequences: map[string]position{}}
}

// Send sends beats until the context ends.
func (gossip *Gossip) Send(ctx context.Context) error {
	last := time.Now()
	for {
		gossip.config.Refresh()
		peers := gossip.config.Roster.Peers()
		gossip.beat(peers)
		now := time.Now()
		for _, member := range gossip.config.Roster.Silent(now, last) {
			gossip.config.Logger.Warn("peer lost", "Peer", member.Instance, "Address", member.PeerAddress)
		}
		last = now
		timer := time.NewTimer(interval(len(peers)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// interval returns the pause between beats to this many routers.
func interval(peers int) time.Duration {
	return min(max(time.Duration(peers)*time.Second/beatsPerSecond, fastestBeat), slowestBeat)
}

func (gossip *Gossip) beat(peers []string) {
	gossip.sequence++
	datagram, err := proto.Marshal(gossip.message(time.Now()))
	if err != nil {
		gossip.config.Logger.Error("beat not encoded", "Error", err)
		return
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue
		}
		if _, err := gossip.config.Conn.WriteTo(datagram, address); err != nil {
			gossip.config.Logger.Debug("beat not sent", "Peer", peer, "Error", err)
		}
	}
}

func (gossip *Gossip) message(now time.Time) *fleetv1.Beat {
	work, placements := gossip.config.Board.Own(now)
	beat := Describe(gossip.config.Roster.Self())
	offsets := gossip.config.Offsets()
	beat.Sequence = gossip.sequence
	beat.ConfigurationVersion = gossip.config.Version()
	beat.OperatorOffset, beat.UpstreamOffset = offsets.Operator, offsets.Upstreams
	for upstream, load := range work {
		beat.Loads = append(beat.Loads, &fleetv1.UpstreamLoad{
			Upstream: upstream, Running: count(load.Running), PromptTokens: count(load.QueuedTokens), ResidentTokens: count(load.ResidentTokens),
		})
	}
	for _, placement := range placements[:min(len(placements), maxPlacements)] {
		beat.Placements = append(beat.Placements, &fleetv1.Placement{
			Upstream: placement.Upstream, Prefix: placement.Prefix.Hash, Tokens: count(placement.Prefix.Tokens),
		})
	}
	if now.Sub(gossip.usageAt) >= usageInterval {
		gossip.usageAt = now
		for organisation, sum := range gossip.config.Shares.Own(now) {
			beat.Usages = append(beat.Usages, &fleetv1.Usage{
				Organisation: organisation, Asked: count(int(sum.Asked)), Served: count(int(sum.Served)),
			})
		}
	}
	return beat
}

func count(value int) uint32 { return uint32(max(value, 0)) }

// Describe returns a beat that says only who a router is. The platform's store lists routers by it.
func Describe(member roster.Member) *fleetv1.Beat {
	return &fleetv1.Beat{
		Instance: string(member.Instance), Incarnation: member.Incarnation, Zone: string(member.Zone),
		Address: member.CallerAddress, PeerAddress: member.PeerAddress, Ready: member.Ready, Leaving: member.Leaving,
		StoreReachable: member.StoreReachable,
	}
}

// MemberOf returns the router that a beat describes.
func MemberOf(beat *fleetv1.Beat) roster.Member {
	return roster.Member{
		Instance: clementinewind.Instance(beat.Instance), Zone: clementinewind.Zone(beat.Zone), Incarnation: beat.Incarnation,
		CallerAddress: beat.Address, PeerAddress: beat.PeerAddress, Ready: beat.Ready, Leaving: beat.Leaving,
		StoreReachable: beat.StoreReachable,
	}
}

// Receive handles the beats of the others until the connection is closed.
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
		var beat fleetv1.Beat
		if err := proto.Unmarshal(buffer[:size], &beat); err != nil || beat.Instance == "" {
			gossip.config.Logger.Debug("datagram is no beat", "Error", err)
			continue
		}
		gossip.hear(&beat, time.Now())
	}
}

func (gossip *Gossip) hear(beat *fleetv1.Beat, now time.Time) {
	last := gossip.sequences[beat.Instance]
	if beat.Incarnation < last.incarnation || (beat.Incarnation == last.incarnation && beat.Sequence <= last.sequence) {
		return
	}
	gossip.sequences[beat.Instance] = position{incarnation: beat.Incarnation, sequence: beat.Sequence}
	member := MemberOf(beat)
	if gossip.config.Roster.Hear(member, now) {
		gossip.config.Logger.Info("peer heard", "Peer", member.Instance, "Address", member.PeerAddress)
	}
	work := make(map[uint32]board.Work, len(beat.Loads))
	for _, load := range beat.Loads {
		work[load.Upstream] = board.Work{
			Running: int(load.Running), QueuedTokens: int(load.PromptTokens), ResidentTokens: int(load.ResidentTokens),
		}
	}
	gossip.config.Board.SetPeer(member.Instance, work, now)
	placements := make([]board.Placement, len(beat.Placements))
	for i, placement := range beat.Placements {
		placements[i] = board.Placement{
			Upstream: placement.Upstream, Prefix: prompt.Prefix{Hash: placement.Prefix, Tokens: int(placement.Tokens)},
		}
	}
	gossip.config.Board.AddPlacements(placements)
	if len(beat.Usages) > 0 {
		report := make(usage.Report, len(beat.Usages))
		for _, sum := range beat.Usages {
			report[sum.Organisation] = usage.Sum{Asked: float64(sum.Asked), Served: float64(sum.Served)}
		}
		gossip.config.Shares.SetPeer(member.Instance, report, now)
	}
	own := gossip.config.Offsets()
	if beat.OperatorOffset > own.Operator || beat.UpstreamOffset > own.Upstreams {
		gossip.config.Ahead(Offsets{Operator: beat.OperatorOffset, Upstreams: beat.UpstreamOffset})
	}
}
