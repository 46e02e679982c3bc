package gossip

import (
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

// describedPerDigest is the number of routers that a list of presences describes in full, in rotation. With 60 routers in a zone
// each is described about every three seconds.
const describedPerDigest = 8

// aggregator collects the heartbeats of the own zone for its digest.
type aggregator struct {
	members    map[clementinewind.Instance]*memberState
	placements []*fleetv1.Placement
	// usageSentAt and presencesSentAt are when those were last part of a digest.
	usageSentAt     time.Time
	presencesSentAt time.Time
	// lastDescribed is the router at which the rotation of full descriptions stopped.
	lastDescribed clementinewind.Instance
}

type memberState struct {
	member     roster.Member
	sequence   uint64
	offsets    Offsets
	loads      []*fleetv1.UpstreamLoad
	usages     []*fleetv1.Usage
	rollouts   []*fleetv1.Rollout
	receivedAt time.Time
	// changed is set until a digest announces a change that other routers must know at once.
	changed bool
}

func newAggregator() *aggregator {
	return &aggregator{members: map[clementinewind.Instance]*memberState{}}
}

func (aggregator *aggregator) reset() {
	clear(aggregator.members)
	aggregator.placements = nil
}

// collect records the heartbeat of a router of the zone.
func (aggregator *aggregator) collect(member roster.Member, heartbeat *fleetv1.Beat, now time.Time) {
	previous, ok := aggregator.members[member.Instance]
	added := &memberState{
		member: member, sequence: heartbeat.Sequence, loads: heartbeat.Loads, usages: heartbeat.Usages, rollouts: heartbeat.Rollouts, receivedAt: now, changed: true,
		offsets: offsetsOf(heartbeat),
	}
	if ok {
		added.changed = previous.changed || !previous.member.EqualExceptLoad(member)
		if len(heartbeat.Usages) == 0 {
			added.usages = previous.usages
		}
	}
	aggregator.members[member.Instance] = added
	if room := maxPlacements - len(aggregator.placements); room > 0 {
		aggregator.placements = append(aggregator.placements, heartbeat.Placements[:min(len(heartbeat.Placements), room)]...)
	}
}

// coversMajority reports whether there are heartbeats of most live routers of the zone. A new head must not replace the totals of
// its predecessor by those of a few routers.
func (aggregator *aggregator) coversMajority(alive int) bool {
	return 2*len(aggregator.members) > alive
}

// takePlacements returns the placements since the last call.
func (aggregator *aggregator) takePlacements() []*fleetv1.Placement {
	placements := aggregator.placements
	aggregator.placements = nil
	return placements
}

// buildDigest returns the totals of the zone with the placements since the last call and, once per usageInterval, the usage.
func (aggregator *aggregator) buildDigest(now time.Time) *fleetv1.Digest {
	digest := aggregator.totals(now)
	digest.Placements = aggregator.takePlacements()
	if now.Sub(aggregator.usageSentAt) < usageInterval {
		digest.Usages = nil
	} else {
		aggregator.usageSentAt = now
	}
	return digest
}

// totals returns a digest with the total load and usage of the routers of the zone, without those whose heartbeats stopped.
func (aggregator *aggregator) totals(now time.Time) *fleetv1.Digest {
	loads := map[uint32]board.Load{}
	report := usage.Report{}
	digest := &fleetv1.Digest{}
	furthest := Offsets{}
	for instance, member := range aggregator.members {
		if now.Sub(member.receivedAt) > maxDigestAge {
			delete(aggregator.members, instance)
			continue
		}
		for upstream, load := range decodeLoads(member.loads) {
			loads[upstream] = loads[upstream].Plus(load)
		}
		for organisation, sum := range decodeReport(member.usages) {
			report[organisation] = report[organisation].Plus(sum)
		}
		digest.Rollouts = append(digest.Rollouts, member.rollouts...)
		furthest.Operator = max(furthest.Operator, member.offsets.Operator)
		furthest.Upstreams = max(furthest.Upstreams, member.offsets.Upstreams)
	}
	digest.OperatorOffset, digest.OperatorEra = encodePosition(furthest.Operator)
	digest.UpstreamOffset, digest.UpstreamEra = encodePosition(furthest.Upstreams)
	digest.Rollouts = sumRollouts(digest.Rollouts)
	digest.Loads, digest.Usages = encodeLoads(loads), encodeReport(report)
	return digest
}

// addIncluded lists the included heartbeats in a digest, so that each router of the zone can subtract its own.
func (aggregator *aggregator) addIncluded(digest *fleetv1.Digest) {
	for instance, member := range aggregator.members {
		digest.Included = append(digest.Included, usage.Hash(instance))
		digest.Sequences = append(digest.Sequences, member.sequence)
	}
}

// addPresences adds all routers of the zone to a digest once per presenceInterval, and only those that changed in between.
func (aggregator *aggregator) addPresences(digest *fleetv1.Digest, now time.Time) {
	listAll := now.Sub(aggregator.presencesSentAt) >= presenceInterval
	if listAll {
		aggregator.presencesSentAt = now
	}
	described := map[clementinewind.Instance]bool{}
	if listAll {
		for _, instance := range aggregator.nextDescribed() {
			described[instance] = true
		}
	}
	for instance, member := range aggregator.members {
		if !listAll && !member.changed {
			continue
		}
		presence := encodePresence(roster.PresenceOf(member.member, member.receivedAt), now)
		if member.changed || described[instance] {
			presence.Description = EncodeMember(member.member)
		}
		member.changed = false
		digest.Presences = append(digest.Presences, presence)
	}
}

// nextDescribed returns the routers that the rotation describes next.
func (aggregator *aggregator) nextDescribed() []clementinewind.Instance {
	var names []clementinewind.Instance
	for instance := range aggregator.members {
		names = append(names, instance)
	}
	slices.Sort(names)
	first, found := slices.BinarySearch(names, aggregator.lastDescribed)
	if found {
		first++
	}
	names = slices.Concat(names[first:], names[:first])
	names = names[:min(describedPerDigest, len(names))]
	if len(names) > 0 {
		aggregator.lastDescribed = names[len(names)-1]
	}
	return names
}

// receiveState keeps the incarnation and sequence number of the newest datagram of each sender, so that datagrams that arrive out of
// order are ignored, and the time of the last digest of each zone.
type receiveState struct {
	positions        map[string]position
	digestReceivedAt map[clementinewind.Zone]time.Time
}

type position struct {
	incarnation int64
	sequence    uint64
}

func newReceiveState() *receiveState {
	return &receiveState{positions: map[string]position{}, digestReceivedAt: map[clementinewind.Zone]time.Time{}}
}

// acceptNewer reports whether a datagram is newer than all earlier ones of its sender, and records it if so.
func (receiveState *receiveState) acceptNewer(sender string, incarnation int64, sequence uint64) bool {
	last := receiveState.positions[sender]
	if incarnation < last.incarnation || (incarnation == last.incarnation && sequence <= last.sequence) {
		return false
	}
	receiveState.positions[sender] = position{incarnation: incarnation, sequence: sequence}
	return true
}

func (receiveState *receiveState) recordDigest(zone clementinewind.Zone, now time.Time) {
	receiveState.digestReceivedAt[zone] = now
}

func (receiveState *receiveState) forgetDigest(zone clementinewind.Zone) {
	delete(receiveState.digestReceivedAt, zone)
}

// hasRecentDigest reports whether the last digest of a zone has at most the given age: maxDigestAge for one that replaces the
// heartbeats of its zone, headTimeout for digests that still arrive regularly.
func (receiveState *receiveState) hasRecentDigest(zone clementinewind.Zone, maxAge time.Duration, now time.Time) bool {
	return now.Sub(receiveState.digestReceivedAt[zone]) <= maxAge
}
