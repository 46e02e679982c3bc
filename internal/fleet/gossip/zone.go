package gossip

import (
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

// zone collects the beats of the own zone for its digest.
type zone struct {
	mutex      sync.Mutex
	members    map[clementinewind.Instance]collected
	placements []*fleetv1.Placement
	// usageAt is when the usage was last part of a digest.
	usageAt time.Time
}

type collected struct {
	loads  []*fleetv1.UpstreamLoad
	usages []*fleetv1.Usage
	at     time.Time
}

func newZone() *zone { return &zone{members: map[clementinewind.Instance]collected{}} }

// collect adds the beat of a router of the zone.
func (zone *zone) collect(instance clementinewind.Instance, beat *fleetv1.Beat) {
	zone.mutex.Lock()
	defer zone.mutex.Unlock()
	member := collected{loads: beat.Loads, usages: zone.members[instance].usages, at: time.Now()}
	if len(beat.Usages) > 0 {
		member.usages = beat.Usages
	}
	zone.members[instance] = member
	if room := maxPlacements - len(zone.placements); room > 0 {
		zone.placements = append(zone.placements, beat.Placements[:min(len(beat.Placements), room)]...)
	}
}

// digest sums what was collected and forgets the placements.
func (zone *zone) digest(now time.Time) *fleetv1.Digest {
	zone.mutex.Lock()
	defer zone.mutex.Unlock()
	work := map[uint32]board.Work{}
	report := usage.Report{}
	for instance, member := range zone.members {
		if now.Sub(member.at) > digestAge {
			delete(zone.members, instance)
			continue
		}
		for upstream, load := range decodeWork(member.loads) {
			work[upstream] = work[upstream].Plus(load)
		}
		for organisation, sum := range decodeReport(member.usages) {
			total := report[organisation]
			report[organisation] = usage.Sum{Asked: total.Asked + sum.Asked, Served: total.Served + sum.Served}
		}
	}
	digest := &fleetv1.Digest{Loads: encodeWork(work), Placements: zone.placements}
	zone.placements = nil
	if now.Sub(zone.usageAt) >= usageInterval {
		zone.usageAt = now
		digest.Usages = encodeReport(report)
	}
	return digest
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

func (received *received) hasDigest(zone clementinewind.Zone, now time.Time) bool {
	return now.Sub(received.digests[zone]) <= digestAge
}
