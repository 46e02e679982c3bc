package board

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/boot"
)

// peerTTL is the age at which the load that a peer reported expires.
const peerTTL = 2 * time.Second

// remoteSumInterval is how long the sum of the load of all peers is reused. In a large fleet, adding it up takes longer
// than a placement.
const remoteSumInterval = 20 * time.Millisecond

// demandWindow is the time constant with which the number of placements of a prefix decays. It is above the prefill
// time of a prefix and well below the time that a prefix stays popular.
const demandWindow = 2 * time.Second

// pauseSpread is the inverse of the part by which the time to return to paused upstreams varies.
const pauseSpread = 4

// Placement records that a prompt with a prefix was sent to an upstream.
type Placement struct {
	// Upstream is the hash of the upstream's name.
	Upstream uint32
	// Prefix.Tokens excludes the tokens of the shorter prefix that it extends.
	Prefix prompt.Prefix
}

// Config configures a Board.
type Config struct {
	// ColdRatio and ColdExtra limit the requests of all routers to a cold upstream in each second to ColdRatio times
	// its cold rate plus ColdExtra.
	ColdRatio float64
	ColdExtra float64
	// Owns reports whether this router may send to an upstream while it is cold.
	Owns func(upstream clementinewind.Upstream) bool
	// Clock measures the time for which a placed request may still be sent; nil is boot.Now.
	Clock boot.Clock
}

// Board is the state of all upstreams. It is safe for concurrent use.
type Board struct {
	config Config

	mutex      sync.Mutex
	upstreams  map[clementinewind.Upstream]*upstream
	byHash     map[uint32]*upstream
	byService  map[table.Service][]*upstream
	settings   map[table.Service]table.ServiceSettings
	estimates  map[table.Service]*serviceEstimates
	speed      engineSpeed
	zonesOut   map[clementinewind.Zone]bool
	peers      map[usage.Source]peerReport
	placements []Placement
	// removed holds upstreams whose entries were removed.
	removed map[clementinewind.Upstream]*upstream
	// demand is the number of recent placements of each prefix by all routers.
	demand *usage.Meter[uint32]
	// eligible, candidates and topScores are buffers that each placement reuses.
	eligible   []*upstream
	candidates []pick.Candidate
	topScores  []uint64
	// summedAt is when the load of the peers was last added up.
	summedAt time.Time
}

type peerReport struct {
	load       map[uint32]Load
	receivedAt time.Time
}

// New returns a board without upstreams.
func New(config Config) *Board {
	if config.Clock == nil {
		config.Clock = boot.Now
	}
	return &Board{
		config:    config,
		upstreams: map[clementinewind.Upstream]*upstream{},
		byHash:    map[uint32]*upstream{},
		byService: map[table.Service][]*upstream{},
		settings:  map[table.Service]table.ServiceSettings{},
		estimates: map[table.Service]*serviceEstimates{},
		zonesOut:  map[clementinewind.Zone]bool{},
		peers:     map[usage.Source]peerReport{},
		removed:   map[clementinewind.Upstream]*upstream{},
		demand:    usage.NewMeter[uint32](demandWindow),
	}
}

// SetServices replaces the settings of the services.
func (board *Board) SetServices(services []table.ServiceSettings) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.settings
	board.settings = make(map[table.Service]table.ServiceSettings, len(services))
	for _, service := range services {
		board.settings[service.Name] = service
		if _, ok := known[service.Name]; ok {
			continue
		}
		// Entries of its upstreams arrived before the settings of the service.
		for _, upstream := range board.byService[service.Name] {
			upstream.resetEstimates(service)
		}
		for _, upstream := range board.removed {
			if upstream.entry.Service == service.Name {
				upstream.resetEstimates(service)
			}
		}
	}
}

// SetThroughput sets how many tokens per second all engines together process, as far as the configuration tells; 0 means unknown.
func (board *Board) SetThroughput(tokensPerSecond float64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.speed.tokensPerSecond = tokensPerSecond
}

// Set adds an upstream or applies a newer entry of it. It reports whether the entry was applied.
func (board *Board) Set(entry table.Entry, now time.Time) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	settings := board.settings[entry.Service]
	known, ok := board.upstreams[entry.Upstream]
	if ok && known.entry.Service == entry.Service {
		if !entry.Replaces(known.entry) {
			return false
		}
		if known.entry.Incarnation == entry.Incarnation {
			known.update(entry, now)
			return true
		}
	}
	if ok {
		board.removeLocked(entry.Upstream, now)
	}
	added := board.recallLocked(entry, settings)
	added.zoneOut = board.zonesOut[entry.Zone]
	added.update(entry, now)
	board.upstreams[entry.Upstream] = added
	board.byHash[added.hash] = added
	board.byService[entry.Service] = append(board.byService[entry.Service], added)
	return true
}

// Remove removes an upstream. What is known of it is kept for a while, because its process may go on running and register again.
func (board *Board) Remove(name clementinewind.Upstream, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.removeLocked(name, now)
}

func (board *Board) removeLocked(name clementinewind.Upstream, now time.Time) {
	known, ok := board.upstreams[name]
	if !ok {
		return
	}
	board.rememberLocked(known, now)
	delete(board.upstreams, name)
	delete(board.byHash, known.hash)
	service := known.entry.Service
	board.byService[service] = slices.DeleteFunc(board.byService[service], func(other *upstream) bool { return other == known })
}

// RecordCrash records that an incarnation of an upstream has ended, before any request fails to reach it.
func (board *Board) RecordCrash(name clementinewind.Upstream, incarnation int64, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if known, ok := board.upstreams[name]; ok && known.entry.Incarnation == incarnation {
		known.recordUnreachable(board.settings[known.entry.Service], now)
	}
}

// SetZoneOut takes an availability zone out of service or returns it. Upstreams of a returned zone count as cold,
// because they may have turned cold meanwhile.
func (board *Board) SetZoneOut(zone clementinewind.Zone, out bool, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.zonesOut[zone] = out
	for _, upstream := range board.upstreams {
		if upstream.entry.Zone != zone {
			continue
		}
		if upstream.zoneOut && !out {
			upstream.coldUntil = now.Add(board.settings[upstream.entry.Service].ColdTime)
			upstream.coldAssumedAt = now
		}
		upstream.zoneOut = out
	}
}

// Count returns the number of known upstreams.
func (board *Board) Count() int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return len(board.upstreams)
}

// VersionLoad is what is known of the upstreams of a service that run one version.
type VersionLoad struct {
	// Upstreams is the number of those that are not leaving, Running that of the requests of this router at any of them.
	Upstreams, Running int
}

// Versions returns the loads of the versions of a service. Upstreams whose entries were removed count while requests run there.
func (board *Board) Versions(service table.Service) map[string]VersionLoad {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	loads := map[string]VersionLoad{}
	add := func(upstream *upstream, usable int) {
		load := loads[upstream.entry.Version]
		loads[upstream.entry.Version] = VersionLoad{Upstreams: load.Upstreams + usable, Running: load.Running + upstream.running}
	}
	for _, upstream := range board.byService[service] {
		usable := 1
		if upstream.leaving() {
			usable = 0
		}
		add(upstream, usable)
	}
	for _, upstream := range board.removed {
		if upstream.entry.Service == service {
			add(upstream, 0)
		}
	}
	return loads
}

// SetPeer replaces the load of another router or zone, keyed by the hashes of the upstreams.
func (board *Board) SetPeer(source usage.Source, load map[uint32]Load, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.peers[source] = peerReport{load: load, receivedAt: now}
}

// RemoveRouterReports removes the load of single routers of a zone, once there is a report of the whole zone.
func (board *Board) RemoveRouterReports(zone clementinewind.Zone) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	maps.DeleteFunc(board.peers, func(source usage.Source, _ peerReport) bool { return source.IsRouterOf(zone) })
}

func (board *Board) sumRemoteLocked(now time.Time) {
	board.summedAt = now
	for _, upstream := range board.upstreams {
		upstream.remote = Load{}
	}
	for source, peer := range board.peers {
		if now.Sub(peer.receivedAt) > peerTTL {
			delete(board.peers, source)
			continue
		}
		for hash, load := range peer.load {
			if upstream, ok := board.byHash[hash]; ok {
				upstream.remote = upstream.remote.Plus(load)
			}
		}
	}
}

// AddPlacements records placements of other routers.
func (board *Board) AddPlacements(placements []Placement, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for _, placement := range placements {
		board.demand.Add(placement.Prefix.Hash, 1, now)
		if upstream, ok := board.byHash[placement.Upstream]; ok {
			upstream.prefixes.Add(placement.Prefix.Hash, placement.Prefix.Tokens)
		}
	}
}

// LocalLoad returns the load of this router on the upstreams where it has any, keyed by their hashes, and its placements
// since the last call. It also drops what is outdated: expired reports of peers, the demand for prefixes that are no
// longer requested and the state of removed upstreams.
func (board *Board) LocalLoad(now time.Time) (map[uint32]Load, []Placement) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.sumRemoteLocked(now)
	board.demand.Prune(now)
	board.pruneRemovedLocked(now)
	loads := map[uint32]Load{}
	for _, upstream := range board.upstreams {
		recent := int(upstream.recentTokens.Tokens(now))
		if upstream.running > 0 || recent > 0 {
			loads[upstream.hash] = Load{
				Running: upstream.running, QueuedTokens: upstream.queuedTokens, ResidentTokens: upstream.residentTokens, RecentTokens: recent,
			}
		}
	}
	placements := board.placements
	board.placements = nil
	return loads, placements
}

// Request is a request to be placed.
type Request struct {
	Service table.Service
	Zone    clementinewind.Zone
	Prompt  prompt.Prompt
	// Goal is the part of the latency goal that is left; the goal is the time from arrival to the first event.
	Goal time.Duration
	// Limit bounds the expected time to the first event with which the request is placed. It applies only to prompts with shared prefixes.
	Limit pick.Limit
	// Versions reports whether an upstream that runs a version may get the request; nil means that any may.
	Versions func(version string) bool
	// Tried are the upstreams that the request was sent to before.
	Tried []clementinewind.Upstream
	// Refused, if not nil, receives the best choice when its expected time exceeds the limit.
	Refused *Refusal
}

// Refusal is the best choice for a request that it would keep waiting for too long.
type Refusal struct {
	Upstream   clementinewind.Upstream
	Candidates int
	pick.Decision
}

// Place chooses an upstream and counts the request there. It returns nil if no upstream takes the request, with the
// time after which one is expected to take it, or 0 if that is not known.
func (board *Board) Place(request Request, now time.Time) (*Ticket, time.Duration) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if now.Sub(board.summedAt) >= remoteSumInterval {
		board.sumRemoteLocked(now)
	}
	if now.Sub(board.speed.countedAt) >= engineCountInterval {
		board.countEnginesLocked(now)
	}
	shared := request.Prompt.SharedPrefixes()
	eligible := board.eligibleLocked(request, now)
	candidates := board.candidatesLocked(eligible, shared, request.Service, now)
	sharedTokens, copies := 0, pick.MinCopies
	if len(shared) > 0 {
		last := shared[len(shared)-1]
		sharedTokens, copies = last.Tokens, board.copiesLocked(request, last, now)
		board.rankLocked(request.Service, eligible, candidates, last.Hash, copies)
	}
	decision := pick.Best(candidates, pick.Request{
		Zone: request.Zone, Goal: request.Goal,
		InputTokens: request.Prompt.InputTokens, SharedTokens: sharedTokens, OutputTokens: request.Prompt.OutputTokens,
		Copies: copies, Limit: request.Limit,
	})
	if decision.Index < 0 {
		return nil, board.pauseLeftLocked(request.Service, now)
	}
	if excess := request.Limit.Excess(decision); len(shared) > 0 && excess > 0 {
		if request.Refused != nil {
			*request.Refused = Refusal{Upstream: eligible[decision.Index].entry.Upstream, Candidates: len(eligible), Decision: decision}
		}
		return nil, excess
	}
	chosen := eligible[decision.Index]
	ticket := &Ticket{
		Entry: chosen.entry, Expected: decision.Expected, UncachedTokens: decision.UncachedTokens, Candidates: len(eligible),
		RemoteRunning: chosen.remote.Running,
		board:         board, upstream: chosen, placedAt: now, expiresAt: board.config.Clock() + sendTimeout,
		prefillTokens: decision.EffectiveTokens, backlogTokens: candidates[decision.Index].QueuedTokens + decision.EffectiveTokens,
		residentTokens: decision.UncachedTokens + request.Prompt.OutputTokens,
	}
	ticket.describeFact(candidates[decision.Index].Running, board.estimatesLocked(request.Service).meanPace(), now)
	board.startLocked(ticket, shared, now)
	if sharedTokens >= pick.LargePrefixTokens {
		board.estimatesLocked(request.Service).addOwnTokens(request.Prompt.InputTokens - sharedTokens)
	}
	return ticket, 0
}

// pauseLeftLocked returns the time until the first paused upstream of a service may get a request; 0 if others cannot take requests for
// another reason. A random part keeps callers that obey it from returning together.
func (board *Board) pauseLeftLocked(service table.Service, now time.Time) time.Duration {
	var first time.Duration
	for _, upstream := range board.byService[service] {
		left := upstream.pausedUntil.Sub(now)
		switch {
		case upstream.leaving() || upstream.zoneOut:
		case left <= 0:
			return 0
		case first == 0 || left < first:
			first = left
		}
	}
	return first + time.Duration(rand.Int64N(int64(first)/pauseSpread+1))
}

func (board *Board) startLocked(ticket *Ticket, shared []prompt.Prefix, now time.Time) {
	chosen := ticket.upstream
	if chosen.onTrial {
		chosen.trial = ticket
	}
	chosen.running++
	chosen.facts.recordEvent(1, now)
	chosen.queuedTokens += ticket.prefillTokens
	chosen.residentTokens += ticket.residentTokens
	chosen.recentTokens.Add(float64(ticket.prefillTokens), now)
	ticket.due = now.Add(overdueFactor*ticket.Expected + overdueSlack)
	chosen.addUnanswered(ticket)
	if chosen.isCold(now) {
		chosen.coldSends = append(chosen.coldSends, now)
		ticket.Cold = true
	}
	previousTokens := 0
	for _, prefix := range shared {
		added := prompt.Prefix{Hash: prefix.Hash, Tokens: prefix.Tokens - previousTokens}
		chosen.prefixes.Add(added.Hash, added.Tokens)
		board.demand.Add(added.Hash, 1, now)
		board.placements = append(board.placements, Placement{Upstream: chosen.hash, Prefix: added})
		previousTokens = prefix.Tokens
	}
}

// estimatesLocked returns the estimates of a service.
func (board *Board) estimatesLocked(service table.Service) *serviceEstimates {
	known, ok := board.estimates[service]
	if !ok {
		known = &serviceEstimates{}
		board.estimates[service] = known
	}
	known.engine = board.settings[service].Engine != nil
	known.configuredPerToken = board.speed.perToken()
	return known
}

// countEnginesLocked counts the engines that are not leaving.
func (board *Board) countEnginesLocked(now time.Time) {
	count := 0
	for _, upstream := range board.upstreams {
		if board.settings[upstream.entry.Service].Engine != nil && !upstream.leaving() {
			count++
		}
	}
	board.speed.update(count, now)
}

// eligibleLocked returns the upstreams that may get a request now.
func (board *Board) eligibleLocked(request Request, now time.Time) []*upstream {
	eligible := board.eligible[:0]
	settings := board.settings[request.Service]
	allowance := int((settings.ColdRate*board.config.ColdRatio + board.config.ColdExtra) / maxColdOwners)
	for _, upstream := range board.byService[request.Service] {
		switch {
		case upstream.leaving() || upstream.zoneOut || now.Before(upstream.backoffUntil) || upstream.paused(now):
		case request.Versions != nil && !request.Versions(upstream.entry.Version):
		case slices.Contains(request.Tried, upstream.entry.Upstream):
		case settings.ColdRate > 0 && upstream.isCold(now) &&
			(!board.config.Owns(upstream.entry.Upstream) || upstream.coldAllowanceLeft(allowance, now) <= 0):
		default:
			eligible = append(eligible, upstream)
		}
	}
	board.eligible = eligible
	return eligible
}

// candidatesLocked describes the eligible upstreams. The result is valid until the next placement.
func (board *Board) candidatesLocked(eligible []*upstream, shared []prompt.Prefix, name table.Service, now time.Time) []pick.Candidate {
	settings, estimates := board.settings[name], board.estimatesLocked(name)
	base, perToken, serviceTime := estimates.base(now), estimates.perToken(now), estimates.serviceTime(now)
	candidates := board.candidates[:0]
	for _, upstream := range eligible {
		candidate := pick.Candidate{
			Upstream: upstream.entry.Upstream, Zone: upstream.entry.Zone, Slots: upstream.entry.Slots,
			Running:        upstream.running + upstream.remote.Running,
			QueuedTokens:   upstream.queuedTokens + upstream.remote.QueuedTokens,
			ResidentTokens: upstream.residentTokens + upstream.remote.ResidentTokens,
			RecentTokens:   int(upstream.recentTokens.Tokens(now)) + upstream.remote.RecentTokens,
			PerToken:       upstream.timings.perToken.current(perToken, upstreamHalfLife, now),
			BaseLatency:    upstream.timings.base.current(base, upstreamHalfLife, now),
			ServiceTime:    upstream.timings.serviceTime.current(serviceTime, upstreamHalfLife, now),
			FailureRate:    upstream.failureRate(now), Overdue: upstream.overdue(now),
		}
		candidate.PrefillPerToken = estimates.prefillPerToken(candidate.PerToken)
		upstream.applyFact(&candidate, estimates, now)
		if settings.Engine != nil {
			candidate.MemoryTokens = settings.Engine.MemoryTokens
		}
		for _, prefix := range shared {
			if !upstream.prefixes.Contains(prefix.Hash) {
				break
			}
			candidate.CachedTokens = prefix.Tokens
		}
		candidates = append(candidates, candidate)
	}
	board.candidates = candidates
	return candidates
}

// copiesLocked returns the number of preferred upstreams of a prefix.
func (board *Board) copiesLocked(request Request, prefix prompt.Prefix, now time.Time) int {
	estimates := board.estimatesLocked(request.Service)
	rate := board.demand.Tokens(prefix.Hash, now) / demandWindow.Seconds()
	return pick.CopiesFor(rate * estimates.ownTokens * estimates.prefillPerToken(estimates.perToken(now)).Seconds())
}

// rankLocked sets the position of each candidate in the rendezvous order of a prefix, up to the number of its preferred
// upstreams. An upstream that gets no requests for a moment, because it declined a request or may get no more while it
// is cold, keeps its position, so that this does not move the prefixes. One that leaves, cannot be reached or whose zone
// is out of service does not count, so that the next ones move up.
func (board *Board) rankLocked(service table.Service, eligible []*upstream, candidates []pick.Candidate, prefix uint32, copies int) {
	topScores := slices.Grow(board.topScores[:0], copies)[:copies]
	clear(topScores)
	board.topScores = topScores
	for _, upstream := range board.byService[service] {
		upstream.score = scoreOf(prefix, upstream.hash)
		if upstream.leaving() || upstream.zoneOut || upstream.connectFailures > 0 {
			continue
		}
		score := upstream.score
		for i := range topScores {
			if score > topScores[i] {
				score, topScores[i] = topScores[i], score
			}
		}
	}
	for i, upstream := range eligible {
		candidates[i].Rank = copies
		for rank := copies - 1; rank >= 0 && upstream.score >= topScores[rank]; rank-- {
			candidates[i].Rank = rank
		}
	}
}

// scoreOf returns the score of an upstream for a prefix. The preferred upstreams are those with the highest scores.
func scoreOf(prefix, upstream uint32) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint32(key[:4], prefix)
	binary.LittleEndian.PutUint32(key[4:], upstream)
	return xxhash.Sum64(key[:])
}
