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

// describedPerDigest is the number of routers that a list describes in turns; with 60 routers in a zone each is described
// every six seconds.
const describedPerDigest = 8

// zone collects the beats of the own zone for its digest.
type zone struct {
	members    map[clementinewind.Instance]*collected
	placements []*fleetv1.Placement
	// usageAt and presenceAt are when those were last part of a digest.
	usageAt    time.Time
	presenceAt time.Time
	// turn is the name of the router that was described last.
	turn clementinewind.Instance
}

type collected struct {
	member   roster.Member
	sequence uint64
	offsets  Offsets
	loads    []*fleetv1.UpstreamLoad
	usages   []*fleetv1.Usage
	at       time.Time
	// changed is set until the other routers were told of a change that they must know at once.
	changed bool
}

func newZone() *zone { return &zone{members: map[clementinewind.Instance]*collected{}} }

// reset forgets what was collected.
func (zone *zone) reset() {
	clear(zone.members)
	zone.placements = nil
}

// collect adds the beat of a router of the zone.
func (zone *zone) collect(member roster.Member, beat *fleetv1.Beat, now time.Time) {
	old, ok := zone.members[member.Instance]
	added := &collected{
		member: member, sequence: beat.Sequence, loads: beat.Loads, usages: beat.Usages, at: now, changed: true,
		offsets: Offsets{Operator: beat.OperatorOffset, Upstreams: beat.UpstreamOffset},
	}
	if ok {
		added.changed = old.changed || !old.member.SameButLoad(member)
		if len(beat.Usages) == 0 {
			added.usages = old.usages
		}
	}
	zone.members[member.Instance] = added
	if room := maxPlacements - len(zone.placements); room > 0 {
		zone.placements = append(zone.placements, beat.Placements[:min(len(beat.Placements), room)]...)
	}
}

// covers reports whether most of the routers that are heard in the zone were collected. A router that has just become the head
// must not replace the sums of the one before by those of a few.
func (zone *zone) covers(alive int) bool { return 2*len(zone.members) > alive }

// takePlacements returns the placements since the last call.
func (zone *zone) takePlacements() []*fleetv1.Placement {
	placements := zone.placements
	zone.placements = nil
	return placements
}

// digest sums what was collected, with the placements since the last call and at times the usage.
func (zone *zone) digest(now time.Time) *fleetv1.Digest {
	digest := zone.sum(now)
	digest.Placements = zone.takePlacements()
	if now.Sub(zone.usageAt) < usageInterval {
		digest.Usages = nil
	} else {
		zone.usageAt = now
	}
	return digest
}

// sum returns the work and usage of the routers of the zone that are heard.
func (zone *zone) sum(now time.Time) *fleetv1.Digest {
	work := map[uint32]board.Load{}
	report := usage.Report{}
	digest := &fleetv1.Digest{}
	for instance, member := range zone.members {
		if now.Sub(member.at) > digestAge {
			delete(zone.members, instance)
			continue
		}
		for upstream, load := range decodeWork(member.loads) {
			work[upstream] = work[upstream].Plus(load)
		}
		for organisation, sum := range decodeReport(member.usages) {
			report[organisation] = report[organisation].Plus(sum)
		}
		digest.OperatorOffset = max(digest.OperatorOffset, member.offsets.Operator)
		digest.UpstreamOffset = max(digest.UpstreamOffset, member.offsets.Upstreams)
	}
	digest.Loads, digest.Usages = encodeWork(work), encodeReport(report)
	return digest
}

// include lists the beats that a digest counts.
func (zone *zone) include(digest *fleetv1.Digest) {
	for instance, member := range zone.members {
		digest.Included = append(digest.Included, usage.Hash(instance))
		digest.Sequences = append(digest.Sequences, member.sequence)
	}
}

// describe adds the routers of the zone to a digest when they are due, and those that have changed at once.
func (zone *zone) describe(digest *fleetv1.Digest, now time.Time) {
	all := now.Sub(zone.presenceAt) >= presenceInterval
	if all {
		zone.presenceAt = now
	}
	described := map[clementinewind.Instance]bool{}
	if all {
		for _, instance := range zone.nextTurn() {
			described[instance] = true
		}
	}
	for instance, member := range zone.members {
		if !all && !member.changed {
			continue
		}
		presence := encodeSighting(roster.SightingOf(member.member, member.at), now)
		if member.changed || described[instance] {
			presence.Description = EncodeMember(member.member)
		}
		member.changed = false
		digest.Presences = append(digest.Presences, presence)
	}
}

// nextTurn returns the routers that are described next.
func (zone *zone) nextTurn() []clementinewind.Instance {
	var names []clementinewind.Instance
	for instance := range zone.members {
		names = append(names, instance)
	}
	slices.Sort(names)
	first, found := slices.BinarySearch(names, zone.turn)
	if found {
		first++
	}
	names = slices.Concat(names[first:], names[:first])
	names = names[:min(describedPerDigest, len(names))]
	if len(names) > 0 {
		zone.turn = names[len(names)-1]
	}
	return names
}

// received keeps the newest datagram of each sender, so that one that arrives late is ignored.
type received struct {
	positions map[string]position
	digests   map[clementinewind.Zone]time.Time
}

type position struct {
	incarnation int64
	sequence    uint64
}

func newReceived() *received {
	return &received{positions: map[string]position{}, digests: map[clementinewind.Zone]time.Time{}}
}

// newer reports whether a datagram is newer than all before of its sender.
func (received *received) newer(sender string, incarnation int64, sequence uint64) bool {
	last := received.positions[sender]
	if incarnation < last.incarnation || (incarnation == last.incarnation && sequence <= last.sequence) {
		return false
	}
	received.positions[sender] = position{incarnation: incarnation, sequence: sequence}
	return true
}

func (received *received) setDigest(zone clementinewind.Zone, now time.Time) {
	received.digests[zone] = now
}

func (received *received) dropDigest(zone clementinewind.Zone) { delete(received.digests, zone) }

// hasDigest reports whether the last digest of a zone is of at most the given age: digestAge for one that stands for the routers
// of its zone, headSilence for digests that go on to arrive.
func (received *received) hasDigest(zone clementinewind.Zone, age time.Duration, now time.Time) bool {
	return now.Sub(received.digests[zone]) <= age
}
