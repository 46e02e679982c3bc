package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/head"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
)

// heads is the number of routers of a zone that get the beats of the others: the head and its deputy, which knows what the head
// knows when it has to take its place.
const heads = 2

// askedInNeed is the number of further routers that a router asks for digests which gets none from the head.
const askedInNeed = 2

// beatInZone sends a beat to the head and the deputy of the zone, and the digests if this router is the head.
func (gossip *Gossip) beatInZone(self roster.Member, beat *fleetv1.Beat, now time.Time) {
	gossip.zone.collect(self, beat, now)
	near := gossip.near(now)
	ranked := gossip.rank(near, self, now)
	// A head goes on until the one that takes its place is heard to act.
	stays := gossip.leads && (gossip.actsAs != ranked[0].Instance || now.Sub(gossip.actedAt) > headSilence)
	gossip.lead(stays || ranked[0].Instance == self.Instance, self.Zone, now)
	gossip.head, gossip.deputy = ranked[0], len(ranked) > 1 && ranked[1].Instance == self.Instance
	beat.Unserved = !gossip.leads && !gossip.received.hasDigest(self.Zone, headSilence, now)
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: beat}}, recipients(ranked, self, beat.Unserved))
	if !gossip.leads {
		// The head passes the placements on.
		gossip.zone.takePlacements()
		clear(gossip.news)
		return
	}
	if gossip.zone.covers(len(near)) || now.Sub(gossip.leadsSince) >= headSilence {
		gossip.passOn(self, now)
	}
}

// lead makes this router the head of its zone, or another one. A head counts the routers of its zone by their own beats.
func (gossip *Gossip) lead(leads bool, zone clementinewind.Zone, now time.Time) {
	if leads && !gossip.leads {
		gossip.leadsSince = now
		gossip.received.dropDigest(zone)
		gossip.config.Board.SetPeer(usage.Source{Zone: zone}, nil, now)
		gossip.config.Shares.SetPeer(usage.Source{Zone: zone}, nil, now)
		gossip.config.Logger.Info("head of the zone", "Zone", zone)
	}
	gossip.leads = leads
}

// DiscardZoneState drops what was collected from the routers of the zone, because the process was paused and it is old.
func (gossip *Gossip) DiscardZoneState() {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.zone.reset()
	gossip.leads = false
}

// near returns the routers that are heard in the own zone.
func (gossip *Gossip) near(now time.Time) []roster.Member {
	zone := gossip.config.Roster.Self().Zone
	return slices.DeleteFunc(gossip.config.Roster.Alive(now), func(member roster.Member) bool { return member.Zone != zone })
}

// byZone groups routers by their zones.
func byZone(members []roster.Member) map[clementinewind.Zone][]roster.Member {
	zones := map[clementinewind.Zone][]roster.Member{}
	for _, member := range members {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	return zones
}

// rank returns the routers of the own zone with the head first, and the deputy second.
func (gossip *Gossip) rank(members []roster.Member, self roster.Member, now time.Time) []roster.Member {
	ranked := order(members, func(candidates []head.Candidate) []head.Candidate {
		return gossip.watch.Usable(candidates, self.Instance, now)
	})
	if len(ranked) == 0 {
		// A router that leaves while no other one is heard.
		return []roster.Member{self}
	}
	return ranked
}

// order returns routers in the order that a policy gives them. Those that leave are left out.
func order(members []roster.Member, policy func([]head.Candidate) []head.Candidate) []roster.Member {
	byName := make(map[clementinewind.Instance]roster.Member, len(members))
	var candidates []head.Candidate
	for _, member := range members {
		if !member.Leaving {
			byName[member.Instance] = member
			candidates = append(candidates, head.Candidate{
				Instance: member.Instance, Incarnation: member.Incarnation, Cores: member.Cores, Busy: member.Busy(),
			})
		}
	}
	var ordered []roster.Member
	for _, candidate := range policy(candidates) {
		ordered = append(ordered, byName[candidate.Instance])
	}
	return ordered
}

// recipients returns who gets a beat: the head and the deputy, and some others too while the router gets no digests. The load it
// answers: many routers of a zone are lost at once, the head and those that would take its place among them.
func recipients(ranked []roster.Member, self roster.Member, unserved bool) []roster.Member {
	others := slices.DeleteFunc(slices.Clone(ranked), func(member roster.Member) bool { return member.Instance == self.Instance })
	count := min(heads, len(others))
	chosen := slices.Clone(others[:count])
	if !unserved {
		return chosen
	}
	for range min(askedInNeed, len(others)-count) {
		// The choice needs no secrecy.
		chosen = append(chosen, others[count+rand.IntN(len(others)-count)])
	}
	return chosen
}

// passOn sends the digest of the zone to the heads and deputies of the others, and to the routers of the zone together with what
// came from there.
func (gossip *Gossip) passOn(self roster.Member, now time.Time) {
	digest := gossip.zone.digest(now)
	gossip.sign(digest, self)
	gossip.zone.describe(digest, now)
	peers := byZone(gossip.config.Roster.Peers())
	near := peers[self.Zone]
	delete(peers, self.Zone)
	alive := byZone(gossip.config.Roster.Alive(now))
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, gossip.representatives(alive, peers, now))
	digest = proto.CloneOf(digest)
	gossip.zone.include(digest)
	gossip.sendBundle(append([]*fleetv1.Digest{digest}, gossip.takeNews()...), near)
}

// representatives returns who gets the digest in the other zones: their heads and deputies, and some others of a zone that is not
// heard. The load it answers: the heads of all zones are lost at once, and those that take their places know no live router of
// another zone.
func (gossip *Gossip) representatives(alive, known map[clementinewind.Zone][]roster.Member, now time.Time) []roster.Member {
	var chosen []roster.Member
	for zone, members := range known {
		ranked := order(alive[zone], head.Rank)
		chosen = append(chosen, ranked[:min(heads, len(ranked))]...)
		if gossip.received.hasDigest(zone, headSilence, now) {
			continue
		}
		for range askedInNeed {
			chosen = append(chosen, members[rand.IntN(len(members))])
		}
	}
	return chosen
}

func (gossip *Gossip) sign(digest *fleetv1.Digest, self roster.Member) {
	digest.Instance, digest.Zone = string(self.Instance), string(self.Zone)
	digest.Incarnation, digest.Sequence = self.Incarnation, gossip.sequence
}

// takeNews returns the digests of other zones that came since the last call.
func (gossip *Gossip) takeNews() []*fleetv1.Digest {
	var digests []*fleetv1.Digest
	for _, digest := range gossip.news {
		digests = append(digests, digest)
	}
	clear(gossip.news)
	return digests
}

// sendBundle sends digests in as few datagrams as they fit into.
func (gossip *Gossip) sendBundle(digests []*fleetv1.Digest, peers []roster.Member) {
	bundle, size := &fleetv1.Bundle{}, 0
	flush := func() {
		if len(bundle.Digests) > 0 {
			gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Bundle{Bundle: bundle}}, peers)
		}
		bundle, size = &fleetv1.Bundle{}, 0
	}
	for _, digest := range digests {
		more := proto.Size(digest)
		if size+more > bundleBytes {
			flush()
		}
		bundle.Digests, size = append(bundle.Digests, digest), size+more
	}
	flush()
}

// serve sends a router of the zone that gets no digests the last ones that this one got. The deputy, and a router that gets none
// either, make that of the zone from the beats that they collected.
func (gossip *Gossip) serve(member roster.Member, now time.Time) {
	self := gossip.config.Roster.Self()
	var digests []*fleetv1.Digest
	for zone, latest := range gossip.latest {
		if gossip.received.hasDigest(zone, headSilence, now) {
			digest := proto.CloneOf(latest)
			// Ages and placements in it have passed.
			digest.Presences, digest.Placements = nil, nil
			digests = append(digests, digest)
		}
	}
	if !gossip.received.hasDigest(self.Zone, headSilence, now) {
		digest := gossip.zone.sum(now)
		if !gossip.zone.covers(len(gossip.near(now))) {
			return
		}
		gossip.sign(digest, self)
		gossip.zone.include(digest)
		digests = append(digests, digest)
	}
	for _, sighting := range gossip.config.Roster.Sightings(now) {
		digests[0].Presences = append(digests[0].Presences, encodeSighting(sighting, now))
	}
	gossip.sendBundle(digests, []roster.Member{member})
}

// relay passes a digest of another zone to the head of the own one, which its sender does not know. The deputy gets what the head
// gets.
func (gossip *Gossip) relay(digest *fleetv1.Digest) {
	if digest.Zone == string(gossip.config.Roster.Self().Zone) || gossip.leads || gossip.deputy || gossip.head.Instance == "" {
		return
	}
	gossip.send(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, []roster.Member{gossip.head})
}

// learn handles the digest of a zone.
func (gossip *Gossip) learn(digest *fleetv1.Digest, now time.Time) {
	self := gossip.config.Roster.Self()
	zone := clementinewind.Zone(digest.Zone)
	sender := clementinewind.Instance(digest.Instance)
	if sender == self.Instance || !gossip.received.newer("digest of "+digest.Instance, digest.Incarnation, digest.Sequence) {
		return
	}
	gossip.learnPresence(digest, now)
	gossip.catchUp(digest.OperatorOffset, digest.UpstreamOffset)
	work, report := decodeWork(digest.Loads), decodeReport(digest.Usages)
	if zone == self.Zone {
		gossip.watch.Hear(sender, now)
		gossip.actsAs, gossip.actedAt = sender, now
		if gossip.leads {
			// The head knows the routers of its zone from their own beats.
			return
		}
		if sequence, ok := included(digest, self.Instance); ok {
			work, report = gossip.own.subtract(sequence, work, report)
		}
	} else if gossip.leads {
		gossip.news[zone] = digest
	}
	gossip.latest[zone] = digest
	if !gossip.received.hasDigest(zone, digestAge, now) {
		gossip.config.Board.RemoveRouterReports(zone)
		gossip.config.Shares.RemoveRouterReports(zone)
	}
	gossip.received.setDigest(zone, now)
	gossip.apply(usage.Source{Zone: zone}, work, digest.Placements, report, now)
}

// learnPresence records which routers the head of a zone heard.
func (gossip *Gossip) learnPresence(digest *fleetv1.Digest, now time.Time) {
	var sightings []roster.Sighting
	for _, presence := range digest.Presences {
		sighting := decodeSighting(presence, now)
		if presence.Description.GetInstance() != "" {
			member := DecodeMember(presence.Description)
			if gossip.config.Roster.RecordHeartbeat(member, sighting.Heard) {
				gossip.config.Logger.Info("peer heard of", "Peer", member.Instance, "Address", member.PeerAddress, "From", digest.Instance)
			}
			continue
		}
		sightings = append(sightings, sighting)
	}
	if len(sightings) > 0 {
		gossip.config.Roster.Sight(sightings)
	}
}

// included returns the sequence number of the router's beat that is part of a digest.
func included(digest *fleetv1.Digest, self clementinewind.Instance) (uint64, bool) {
	at := slices.Index(digest.Included, usage.Hash(self))
	if at < 0 || at >= len(digest.Sequences) {
		return 0, false
	}
	return digest.Sequences[at], true
}

// history keeps what the router told of itself in its last beats.
type history struct {
	beats []told
}

type told struct {
	sequence uint64
	work     map[uint32]board.Load
	// report is the last usage that was told up to this beat.
	report usage.Report
}

// historyBeats is more than the number of beats between one and the digest that counts it, unless the digest is too old to count.
const historyBeats = 12

func (history *history) add(sequence uint64, work map[uint32]board.Load, report usage.Report) {
	if count := len(history.beats); report == nil && count > 0 {
		report = history.beats[count-1].report
	}
	history.beats = append(history.beats, told{sequence: sequence, work: work, report: report})
	if len(history.beats) > historyBeats {
		history.beats = slices.Delete(history.beats, 0, 1)
	}
}

// subtract takes what the router told in one beat off the sums of its zone.
func (history *history) subtract(sequence uint64, work map[uint32]board.Load, report usage.Report) (map[uint32]board.Load, usage.Report) {
	for _, beat := range history.beats {
		if beat.sequence != sequence {
			continue
		}
		for upstream, part := range beat.work {
			if sum, ok := work[upstream]; ok {
				work[upstream] = sum.Minus(part)
			}
		}
		for organisation, part := range beat.report {
			if sum, ok := report[organisation]; ok {
				report[organisation] = sum.Minus(part)
			}
		}
	}
	return work, report
}
