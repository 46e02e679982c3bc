package gossip

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const milli = 1000

// EncodeMember returns a beat that says only who a router is. The platform's store lists routers by it.
func EncodeMember(member roster.Member) *fleetv1.Beat {
	return &fleetv1.Beat{
		Instance: string(member.Instance), Incarnation: member.Incarnation, Zone: string(member.Zone),
		Address: member.CallerAddress, PeerAddress: member.PeerAddress, Ready: member.Ready, Leaving: member.Leaving,
		StoreReachable: member.StoreReachable, Load: count(int(member.Load)), MilliCores: count(int(milli * member.Cores)),
	}
}

// DecodeMember returns the router that a beat describes.
func DecodeMember(beat *fleetv1.Beat) roster.Member {
	return roster.Member{
		Instance: clementinewind.Instance(beat.Instance), Zone: clementinewind.Zone(beat.Zone), Incarnation: beat.Incarnation,
		CallerAddress: beat.Address, PeerAddress: beat.PeerAddress, Ready: beat.Ready, Leaving: beat.Leaving,
		StoreReachable: beat.StoreReachable, Load: float64(beat.Load), Cores: float64(beat.MilliCores) / milli,
	}
}

func encodeSighting(sighting roster.Sighting, now time.Time) *fleetv1.Presence {
	age := min(max(now.Sub(sighting.Heard).Milliseconds(), 0), math.MaxUint32)
	return &fleetv1.Presence{
		Instance: sighting.Name, Incarnation: sighting.Incarnation, AgeMillis: uint32(age), Load: count(int(sighting.Load)),
		Ready: sighting.Ready, Leaving: sighting.Leaving, StoreReachable: sighting.StoreReachable,
	}
}

func decodeSighting(presence *fleetv1.Presence, now time.Time) roster.Sighting {
	return roster.Sighting{
		Name: presence.Instance, Incarnation: presence.Incarnation,
		Heard: now.Add(-time.Duration(presence.AgeMillis) * time.Millisecond), Load: float64(presence.Load),
		Ready: presence.Ready, Leaving: presence.Leaving, StoreReachable: presence.StoreReachable,
	}
}

func count(value int) uint32 { return uint32(max(value, 0)) }

func encodeWork(work map[uint32]board.Load) []*fleetv1.UpstreamLoad {
	loads := make([]*fleetv1.UpstreamLoad, 0, len(work))
	for upstream, load := range work {
		loads = append(loads, &fleetv1.UpstreamLoad{
			Upstream: upstream, Running: count(load.Running), PromptTokens: count(load.QueuedTokens),
			ResidentTokens: count(load.ResidentTokens), RecentTokens: count(load.RecentTokens),
		})
	}
	return loads
}

func decodeWork(loads []*fleetv1.UpstreamLoad) map[uint32]board.Load {
	work := make(map[uint32]board.Load, len(loads))
	for _, load := range loads {
		work[load.Upstream] = board.Load{
			Running: int(load.Running), QueuedTokens: int(load.PromptTokens), ResidentTokens: int(load.ResidentTokens),
			RecentTokens: int(load.RecentTokens),
		}
	}
	return work
}

func encodePlacements(placements []board.Placement) []*fleetv1.Placement {
	encoded := make([]*fleetv1.Placement, 0, min(len(placements), maxPlacements))
	for _, placement := range placements[:min(len(placements), maxPlacements)] {
		encoded = append(encoded, &fleetv1.Placement{
			Upstream: placement.Upstream, Prefix: placement.Prefix.Hash, Tokens: count(placement.Prefix.Tokens),
		})
	}
	return encoded
}

func decodePlacements(encoded []*fleetv1.Placement) []board.Placement {
	placements := make([]board.Placement, len(encoded))
	for i, placement := range encoded {
		placements[i] = board.Placement{
			Upstream: placement.Upstream, Prefix: prompt.Prefix{Hash: placement.Prefix, Tokens: int(placement.Tokens)},
		}
	}
	return placements
}

func encodeReport(report usage.Report) []*fleetv1.Usage {
	usages := make([]*fleetv1.Usage, 0, len(report))
	for organisation, sum := range report {
		usages = append(usages, &fleetv1.Usage{Organisation: organisation, Asked: count(int(sum.Requested)), Served: count(int(sum.Served))})
	}
	return usages
}

func decodeReport(usages []*fleetv1.Usage) usage.Report {
	report := make(usage.Report, len(usages))
	for _, sum := range usages {
		report[sum.Organisation] = usage.TokenTotals{Requested: float64(sum.Asked), Served: float64(sum.Served)}
	}
	return report
}
