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

// headsPerZone is the number of routers of a zone that get the heartbeats of the others: the head and the standby, so that the
// standby can replace the head with the same data.
const headsPerZone = 2

// fallbackPeers is the number of random routers of a zone to which this one also sends while no digests of that zone arrive:
// heartbeats in its own zone, digests in another one.
const fallbackPeers = 2

// sendViaHead sends a heartbeat to the head and the standby of the zone, and the digests if this router is the head.
func (gossip *Gossip) sendViaHead(self roster.Member, heartbeat *fleetv1.Beat, now time.Time) {
	gossip.aggregator.collect(self, heartbeat, now)
	members := gossip.zoneMembers(now)
	ranked := gossip.rankHeads(members, self, now)
	// A head keeps its role until the digests of its successor arrive.
	staysHead := gossip.isHead && (gossip.activeHead != ranked[0].Instance || now.Sub(gossip.activeHeadAt) > headTimeout)
	gossip.setHead(staysHead || ranked[0].Instance == self.Instance, self.Zone, now)
	gossip.zoneHead, gossip.isStandby = ranked[0], len(ranked) > 1 && ranked[1].Instance == self.Instance
	heartbeat.Unserved = !gossip.isHead && !gossip.receiveState.hasRecentDigest(self.Zone, headTimeout, now)
	gossip.sendTo(&fleetv1.Datagram{Content: &fleetv1.Datagram_Beat{Beat: heartbeat}}, heartbeatRecipients(ranked, self, heartbeat.Unserved))
	if !gossip.isHead {
		// Only the head forwards placements and the digests of other zones, so those that were collected here are dropped.
		gossip.aggregator.takePlacements()
		clear(gossip.pendingDigests)
		return
	}
	if gossip.aggregator.coversMajority(len(members)) || now.Sub(gossip.headSince) >= headTimeout {
		gossip.sendDigests(self, heartbeat, now)
	}
}

// setHead records whether this router is the head of its zone. A head knows its zone from the heartbeats of the routers, so a new
// head drops the totals of the zone that came in digests.
func (gossip *Gossip) setHead(isHead bool, zone clementinewind.Zone, now time.Time) {
	if isHead && !gossip.isHead {
		gossip.headSince = now
		gossip.receiveState.forgetDigest(zone)
		gossip.config.Board.SetPeer(usage.Source{Zone: zone}, nil, now)
		gossip.config.Shares.SetPeer(usage.Source{Zone: zone}, nil, now)
		gossip.config.Logger.Info("became zone head", "Zone", zone)
	}
	gossip.isHead = isHead
}

// DiscardZoneState drops the collected heartbeats of the zone and gives up the role of its head. It is called after a pause of the
// process, when that state is stale.
func (gossip *Gossip) DiscardZoneState() {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	gossip.aggregator.reset()
	gossip.isHead = false
}

// zoneMembers returns the live routers of the own zone, this one included.
func (gossip *Gossip) zoneMembers(now time.Time) []roster.Member {
	zone := gossip.config.Roster.Self().Zone
	return slices.DeleteFunc(gossip.config.Roster.Alive(now), func(member roster.Member) bool { return member.Zone != zone })
}

func groupByZone(members []roster.Member) map[clementinewind.Zone][]roster.Member {
	zones := map[clementinewind.Zone][]roster.Member{}
	for _, member := range members {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	return zones
}

// rankHeads returns the given routers of the own zone that may be its head, with the head first and the standby second.
func (gossip *Gossip) rankHeads(members []roster.Member, self roster.Member, now time.Time) []roster.Member {
	ranked := orderBy(members, func(candidates []head.Candidate) []head.Candidate {
		return gossip.headDetector.RankUsable(candidates, self.Instance, now)
	})
	if len(ranked) == 0 {
		// This router is leaving, and no other candidate is alive.
		return []roster.Member{self}
	}
	return ranked
}

// orderBy returns routers in the order that policy gives them, without those that are leaving.
func orderBy(members []roster.Member, policy func([]head.Candidate) []head.Candidate) []roster.Member {
	byName := make(map[clementinewind.Instance]roster.Member, len(members))
	var candidates []head.Candidate
	for _, member := range members {
		if !member.Leaving {
			byName[member.Instance] = member
			candidates = append(candidates, head.Candidate{
				Instance: member.Instance, Incarnation: member.Incarnation, Cores: member.Cores, Overloaded: member.Overloaded(),
			})
		}
	}
	var ordered []roster.Member
	for _, candidate := range policy(candidates) {
		ordered = append(ordered, byName[candidate.Instance])
	}
	return ordered
}

// heartbeatRecipients returns the head and the standby, and some random routers too while this one gets no digests: many routers
// of a zone can fail at once, the head and its successors among them.
func heartbeatRecipients(ranked []roster.Member, self roster.Member, unserved bool) []roster.Member {
	others := slices.DeleteFunc(slices.Clone(ranked), func(member roster.Member) bool { return member.Instance == self.Instance })
	count := min(headsPerZone, len(others))
	chosen := slices.Clone(others[:count])
	if !unserved {
		return chosen
	}
	for range min(fallbackPeers, len(others)-count) {
		// The choice is not security-sensitive.
		chosen = append(chosen, others[count+rand.IntN(len(others)-count)])
	}
	return chosen
}

// sendDigests sends the digest of the zone to the heads and standbys of the other zones, and to the routers of the own zone
// together with the pending digests of the other zones. The suspects and reports are those of its heartbeat.
func (gossip *Gossip) sendDigests(self roster.Member, heartbeat *fleetv1.Beat, now time.Time) {
	digest := gossip.aggregator.buildDigest(now)
	digest.Suspects, digest.Reports = heartbeat.Suspects, heartbeat.Reports
	gossip.setSender(digest, self)
	gossip.aggregator.addPresences(digest, now)
	peers := groupByZone(gossip.config.Roster.Peers())
	zonePeers := peers[self.Zone]
	delete(peers, self.Zone)
	alive := groupByZone(gossip.config.Roster.Alive(now))
	gossip.sendTo(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, gossip.digestRecipients(alive, peers, now))
	digest = proto.CloneOf(digest)
	gossip.aggregator.addIncluded(digest)
	gossip.sendBundle(append([]*fleetv1.Digest{digest}, gossip.takePendingDigests()...), zonePeers)
}

// digestRecipients returns the routers of other zones that get the digest: their heads and standbys, and some random ones of each
// zone from which no digests arrive. If the heads of all zones fail at once, their successors know no live router of another zone.
func (gossip *Gossip) digestRecipients(aliveByZone, knownByZone map[clementinewind.Zone][]roster.Member, now time.Time) []roster.Member {
	var chosen []roster.Member
	for zone, members := range knownByZone {
		ranked := orderBy(aliveByZone[zone], head.Rank)
		chosen = append(chosen, ranked[:min(headsPerZone, len(ranked))]...)
		if gossip.receiveState.hasRecentDigest(zone, headTimeout, now) {
			continue
		}
		for range fallbackPeers {
			chosen = append(chosen, members[rand.IntN(len(members))])
		}
	}
	return chosen
}

func (gossip *Gossip) setSender(digest *fleetv1.Digest, self roster.Member) {
	digest.Instance, digest.Zone = string(self.Instance), string(self.Zone)
	digest.Incarnation, digest.Sequence = self.Incarnation, gossip.sequence
}

// takePendingDigests returns the digests of other zones that arrived since the last call.
func (gossip *Gossip) takePendingDigests() []*fleetv1.Digest {
	var digests []*fleetv1.Digest
	for _, digest := range gossip.pendingDigests {
		digests = append(digests, digest)
	}
	clear(gossip.pendingDigests)
	return digests
}

// sendBundle packs digests into datagrams of at most about maxBundleBytes and sends them.
func (gossip *Gossip) sendBundle(digests []*fleetv1.Digest, peers []roster.Member) {
	bundle, bundleBytes := &fleetv1.Bundle{}, 0
	flush := func() {
		if len(bundle.Digests) > 0 {
			gossip.sendTo(&fleetv1.Datagram{Content: &fleetv1.Datagram_Bundle{Bundle: bundle}}, peers)
		}
		bundle, bundleBytes = &fleetv1.Bundle{}, 0
	}
	for _, digest := range digests {
		digestBytes := proto.Size(digest)
		if bundleBytes+digestBytes > maxBundleBytes {
			flush()
		}
		bundle.Digests, bundleBytes = append(bundle.Digests, digest), bundleBytes+digestBytes
	}
	flush()
}

// sendLatestDigests sends the latest digests that this router got to a router of its zone that gets none. Without a recent one of
// the own zone, as on the standby, this router builds it from the heartbeats that it collected.
func (gossip *Gossip) sendLatestDigests(member roster.Member, now time.Time) {
	self := gossip.config.Roster.Self()
	var digests []*fleetv1.Digest
	for zone, latest := range gossip.latestDigests {
		if gossip.receiveState.hasRecentDigest(zone, headTimeout, now) {
			digest := proto.CloneOf(latest)
			// Its presences, placements, suspects and reports are outdated.
			digest.Presences, digest.Placements, digest.Suspects, digest.Reports = nil, nil, nil, nil
			digests = append(digests, digest)
		}
	}
	if !gossip.receiveState.hasRecentDigest(self.Zone, headTimeout, now) {
		digest := gossip.aggregator.totals(now)
		if !gossip.aggregator.coversMajority(len(gossip.zoneMembers(now))) {
			return
		}
		gossip.setSender(digest, self)
		gossip.aggregator.addIncluded(digest)
		digests = append(digests, digest)
	}
	for _, presence := range gossip.config.Roster.Presences(now) {
		digests[0].Presences = append(digests[0].Presences, encodePresence(presence, now))
	}
	gossip.sendBundle(digests, []roster.Member{member})
}

// forwardToHead forwards a digest of another zone, whose sender does not know the head of the own zone. The standby forwards
// nothing, because senders that know it know the head too.
func (gossip *Gossip) forwardToHead(digest *fleetv1.Digest) {
	if digest.Zone == string(gossip.config.Roster.Self().Zone) || gossip.isHead || gossip.isStandby || gossip.zoneHead.Instance == "" {
		return
	}
	gossip.sendTo(&fleetv1.Datagram{Content: &fleetv1.Datagram_Digest{Digest: digest}}, []roster.Member{gossip.zoneHead})
}

// handleDigest handles the digest of the own zone or of another one.
func (gossip *Gossip) handleDigest(digest *fleetv1.Digest, now time.Time) {
	self := gossip.config.Roster.Self()
	zone := clementinewind.Zone(digest.Zone)
	sender := clementinewind.Instance(digest.Instance)
	if sender == self.Instance || !gossip.receiveState.acceptNewer("digest of "+digest.Instance, digest.Incarnation, digest.Sequence) {
		return
	}
	gossip.applyPresences(digest, now)
	gossip.config.Poison.Merge(decodeSuspects(digest.Suspects, now), now)
	gossip.config.Board.AddFacts(decodeFacts(digest.Reports, now), false, now)
	gossip.notifyIfBehind(offsetsOf(digest))
	loads, report := decodeLoads(digest.Loads), decodeReport(digest.Usages)
	if zone == self.Zone {
		gossip.headDetector.RecordAlive(sender, now)
		gossip.activeHead, gossip.activeHeadAt = sender, now
		if gossip.isHead {
			// The head knows the routers of its zone from their own heartbeats.
			return
		}
		if sequence, ok := includedSequence(digest, self.Instance); ok {
			loads, report = gossip.sentHeartbeats.subtract(sequence, loads, report)
		}
	} else if gossip.isHead {
		gossip.pendingDigests[zone] = digest
	}
	gossip.latestDigests[zone] = digest
	if !gossip.receiveState.hasRecentDigest(zone, maxDigestAge, now) {
		gossip.config.Board.RemoveRouterReports(zone)
		gossip.config.Shares.RemoveRouterReports(zone)
	}
	gossip.receiveState.recordDigest(zone, now)
	gossip.mergeRollouts(usage.Source{Zone: zone}, digest.Rollouts, now)
	gossip.applyState(usage.Source{Zone: zone}, loads, digest.Placements, report, now)
}

// applyPresences records which routers a zone head reports as alive.
func (gossip *Gossip) applyPresences(digest *fleetv1.Digest, now time.Time) {
	var presences []roster.Presence
	for _, encoded := range digest.Presences {
		presence := decodePresence(encoded, now)
		if encoded.Description.GetInstance() != "" {
			member := DecodeMember(encoded.Description)
			if gossip.config.Roster.RecordHeartbeat(member, presence.HeardAt) {
				gossip.config.Logger.Info("peer reported alive", "Peer", member.Instance, "Address", member.PeerAddress, "From", digest.Instance)
			}
			continue
		}
		presences = append(presences, presence)
	}
	if len(presences) > 0 {
		gossip.config.Roster.ApplyPresences(presences)
	}
}

// includedSequence returns the sequence number of the heartbeat of this router that a digest includes.
func includedSequence(digest *fleetv1.Digest, self clementinewind.Instance) (uint64, bool) {
	index := slices.Index(digest.Included, usage.Hash(self))
	if index < 0 || index >= len(digest.Sequences) {
		return 0, false
	}
	return digest.Sequences[index], true
}

// sentHistory keeps the last heartbeats of this router, so that it can subtract its own part from the totals of its zone.
type sentHistory struct {
	heartbeats []sentHeartbeat
}

type sentHeartbeat struct {
	sequence uint64
	loads    map[uint32]board.Load
	// report is the last usage that was sent up to this heartbeat.
	report usage.Report
}

// historySize is more than the number of heartbeats between one and the digest that includes it, unless the digest is too old
// to be used.
const historySize = 12

func (sentHistory *sentHistory) add(sequence uint64, loads map[uint32]board.Load, report usage.Report) {
	if count := len(sentHistory.heartbeats); report == nil && count > 0 {
		report = sentHistory.heartbeats[count-1].report
	}
	sentHistory.heartbeats = append(sentHistory.heartbeats, sentHeartbeat{sequence: sequence, loads: loads, report: report})
	if len(sentHistory.heartbeats) > historySize {
		sentHistory.heartbeats = slices.Delete(sentHistory.heartbeats, 0, 1)
	}
}

// subtract subtracts the heartbeat with the given sequence number from the totals of the zone, in place, and returns them.
func (sentHistory *sentHistory) subtract(sequence uint64, loads map[uint32]board.Load, report usage.Report) (map[uint32]board.Load, usage.Report) {
	for _, heartbeat := range sentHistory.heartbeats {
		if heartbeat.sequence != sequence {
			continue
		}
		for upstream, part := range heartbeat.loads {
			if sum, ok := loads[upstream]; ok {
				loads[upstream] = sum.Minus(part)
			}
		}
		for organisation, part := range heartbeat.report {
			if sum, ok := report[organisation]; ok {
				report[organisation] = sum.Minus(part)
			}
		}
	}
	return loads, report
}
