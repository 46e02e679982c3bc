package gossip

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

const (
	milliCoresPerCore = 1000
	percent           = 100
)

// EncodeMember returns a heartbeat that only describes a router. Routers register in the platform's store with it.
func EncodeMember(member roster.Member) *fleetv1.Beat {
	return &fleetv1.Beat{
		Instance: string(member.Instance), Incarnation: member.Incarnation, Zone: string(member.Zone),
		Address: member.CallerAddress, PeerAddress: member.PeerAddress, Ready: member.Ready, Leaving: member.Leaving,
		StoreReachable: member.StoreReachable, Load: toUint32(int(member.Load)), MilliCores: toUint32(int(milliCoresPerCore * member.Cores)),
	}
}

// DecodeMember returns the router that a heartbeat describes.
func DecodeMember(heartbeat *fleetv1.Beat) roster.Member {
	return roster.Member{
		Instance: clementinewind.Instance(heartbeat.Instance), Zone: clementinewind.Zone(heartbeat.Zone), Incarnation: heartbeat.Incarnation,
		CallerAddress: heartbeat.Address, PeerAddress: heartbeat.PeerAddress, Ready: heartbeat.Ready, Leaving: heartbeat.Leaving,
		StoreReachable: heartbeat.StoreReachable, Load: float64(heartbeat.Load), Cores: float64(heartbeat.MilliCores) / milliCoresPerCore,
	}
}

func encodePresence(presence roster.Presence, now time.Time) *fleetv1.Presence {
	return &fleetv1.Presence{
		Instance: presence.NameHash, Incarnation: presence.Incarnation, AgeMillis: ageMillis(presence.HeardAt, now), Load: toUint32(int(presence.Load)),
		Ready: presence.Ready, Leaving: presence.Leaving, StoreReachable: presence.StoreReachable,
	}
}

func decodePresence(encoded *fleetv1.Presence, now time.Time) roster.Presence {
	return roster.Presence{
		NameHash: encoded.Instance, Incarnation: encoded.Incarnation,
		HeardAt: timeOfAge(encoded.AgeMillis, now), Load: float64(encoded.Load),
		Ready: encoded.Ready, Leaving: encoded.Leaving, StoreReachable: encoded.StoreReachable,
	}
}

func toUint32(value int) uint32 { return uint32(max(value, 0)) }

func encodeLoads(loads map[uint32]board.Load) []*fleetv1.UpstreamLoad {
	encoded := make([]*fleetv1.UpstreamLoad, 0, len(loads))
	for upstream, load := range loads {
		encoded = append(encoded, &fleetv1.UpstreamLoad{
			Upstream: upstream, Running: toUint32(load.Running), PromptTokens: toUint32(load.QueuedTokens),
			ResidentTokens: toUint32(load.ResidentTokens), RecentTokens: toUint32(load.RecentTokens),
		})
	}
	return encoded
}

func decodeLoads(encoded []*fleetv1.UpstreamLoad) map[uint32]board.Load {
	loads := make(map[uint32]board.Load, len(encoded))
	for _, load := range encoded {
		loads[load.Upstream] = board.Load{
			Running: int(load.Running), QueuedTokens: int(load.PromptTokens), ResidentTokens: int(load.ResidentTokens),
			RecentTokens: int(load.RecentTokens),
		}
	}
	return loads
}

func encodeFacts(facts []board.Fact, now time.Time) *fleetv1.UpstreamReports {
	encoded := &fleetv1.UpstreamReports{}
	for _, fact := range facts {
		encoded.Upstreams = append(encoded.Upstreams, fact.Upstream)
		encoded.Running = append(encoded.Running, toUint32(fact.Report.Running))
		encoded.Waiting = append(encoded.Waiting, toUint32(fact.Report.Waiting))
		encoded.PacePercent = append(encoded.PacePercent, toPercent(fact.Report.Pace))
		encoded.AgeMillis = append(encoded.AgeMillis, ageMillis(fact.At, now))
	}
	return encoded
}

// decodeFacts leaves out reports that lack an element.
func decodeFacts(encoded *fleetv1.UpstreamReports, now time.Time) []board.Fact {
	var facts []board.Fact
	count := min(len(encoded.GetUpstreams()), len(encoded.GetRunning()), len(encoded.GetWaiting()), len(encoded.GetPacePercent()),
		len(encoded.GetAgeMillis()))
	for i := range count {
		facts = append(facts, board.Fact{
			Upstream: encoded.Upstreams[i], At: timeOfAge(encoded.AgeMillis[i], now),
			Report: board.Report{
				Running: int(encoded.Running[i]), Waiting: int(encoded.Waiting[i]), Pace: float64(encoded.PacePercent[i]) / percent,
			},
		})
	}
	return facts
}

func toPercent(ratio float64) uint32 { return toUint32(int(math.Round(percent * ratio))) }

func encodePlacements(placements []board.Placement) []*fleetv1.Placement {
	encoded := make([]*fleetv1.Placement, 0, min(len(placements), maxPlacements))
	for _, placement := range placements[:min(len(placements), maxPlacements)] {
		encoded = append(encoded, &fleetv1.Placement{
			Upstream: placement.Upstream, Prefix: placement.Prefix.Hash, Tokens: toUint32(placement.Prefix.Tokens),
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
		usages = append(usages, &fleetv1.Usage{
			Organisation: organisation, Asked: toUint32(int(sum.Requested)), Served: toUint32(int(sum.Served)), NoRoom: toUint32(int(sum.NoRoom)),
			Recent: toUint32(int(sum.Recent)),
		})
	}
	return usages
}

func decodeReport(usages []*fleetv1.Usage) usage.Report {
	report := make(usage.Report, len(usages))
	for _, sum := range usages {
		report[sum.Organisation] = usage.TokenTotals{Requested: float64(sum.Asked), Served: float64(sum.Served), NoRoom: float64(sum.NoRoom), Recent: float64(sum.Recent)}
	}
	return report
}

func encodeSuspects(reports []poison.Report, now time.Time) []*fleetv1.Suspect {
	suspects := make([]*fleetv1.Suspect, 0, len(reports))
	for _, report := range reports {
		suspect := &fleetv1.Suspect{Part: uint64(report.Part)}
		for _, crash := range report.Crashes {
			suspect.Crashes = append(suspect.Crashes, &fleetv1.Crash{
				Upstream: uint64(crash.Crash), AgeMillis: ageMillis(crash.At, now), Answering: crash.Answering,
			})
		}
		if !report.ClearedAt.IsZero() {
			suspect.Cleared, suspect.ClearedAgeMillis = true, ageMillis(report.ClearedAt, now)
		}
		suspects = append(suspects, suspect)
	}
	return suspects
}

func decodeSuspects(suspects []*fleetv1.Suspect, now time.Time) []poison.Report {
	reports := make([]poison.Report, 0, len(suspects))
	for _, suspect := range suspects {
		reports = append(reports, decodeSuspect(suspect, now))
	}
	return reports
}

func decodeSuspect(suspect *fleetv1.Suspect, now time.Time) poison.Report {
	report := poison.Report{Part: prompt.PartHash(suspect.Part)}
	for _, crash := range suspect.Crashes {
		report.Crashes = append(report.Crashes, poison.Suspicion{
			Crash: poison.CrashID(crash.Upstream), At: timeOfAge(crash.AgeMillis, now), Answering: crash.Answering,
		})
	}
	if suspect.Cleared {
		report.ClearedAt = timeOfAge(suspect.ClearedAgeMillis, now)
	}
	return report
}

// EncodeQuarantine returns the record of a prompt part in quarantine for the platform's store.
func EncodeQuarantine(report poison.Report, now time.Time) *fleetv1.Quarantine {
	return &fleetv1.Quarantine{Suspect: encodeSuspects([]poison.Report{report}, now)[0], WrittenMillis: now.UnixMilli()}
}

// DecodeQuarantine returns what a record says of a prompt part. A record of the future counts as just written, because the clocks of
// routers differ.
func DecodeQuarantine(record *fleetv1.Quarantine, now time.Time) poison.Report {
	written := time.UnixMilli(min(record.WrittenMillis, now.UnixMilli()))
	// The result keeps the monotonic clock reading of now, so that a later jump of the time of day does not matter.
	return decodeSuspect(record.Suspect, now.Add(-now.Sub(written)))
}

// ageMillis returns the time that passed since at, in milliseconds.
func ageMillis(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

func timeOfAge(millis uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
