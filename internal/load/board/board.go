package board

import (
	"encoding/binary"
	"maps"
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

// peerAge is the age at which the work that a peer told of no longer counts.
const peerAge = 2 * time.Second

// sumInterval is how long the sum of the work of all peers is kept. In a large fleet adding it up costs more than a
// placement.
const sumInterval = 20 * time.Millisecond

// demandWindow is the time over which the placements of a prefix are counted. It is above the time to read a prefix and well
// below the time that a subject stays popular.
const demandWindow = 2 * time.Second

// Placement says that a prefix was sent to an upstream.
type Placement struct {
	Upstream uint32
	Prefix   prompt.Prefix
}

// Config configures a Board.
type Config struct {
	// ColdRatio and ColdExtra bound the requests of all routers to a cold upstream in one second: ColdRatio times its rate
	// plus ColdExtra.
	ColdRatio float64
	ColdExtra float64
	// Owns reports whether this router may send to an upstream while it is cold.
	Owns func(upstream clementinewind.Upstream) bool
	// Clock bounds the permission to send a placed request; nil is boot.Now.
	Clock boot.Clock
}

// Board is the state of all upstreams. Its methods may be called by many goroutines.
type Board struct {
	config Config

	mutex      sync.Mutex
	upstreams  map[clementinewind.Upstream]*upstream
	byHash     map[uint32]*upstream
	byService  map[table.Service][]*upstream
	settings   map[table.Service]table.ServiceSettings
	paces      map[table.Service]*paces
	zonesOut   map[clementinewind.Zone]bool
	peers      map[usage.Source]peer
	placements []Placement
	// demand counts the placements of each prefix by all routers.
	demand *usage.Meter[uint32]
	// eligible, candidates and highest are reused by each placement.
	eligible   []*upstream
	candidates []pick.Candidate
	highest    []uint64
	// summed is when the work of the peers was last added up.
	summed time.Time
}

type peer struct {
	work map[uint32]Load
	at   time.Time
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
		paces:     map[table.Service]*paces{},
		zonesOut:  map[clementinewind.Zone]bool{},
		peers:     map[usage.Source]peer{},
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
		// The entries of its upstreams came first.
		for _, upstream := range board.byService[service.Name] {
			upstream.reset(service)
		}
	}
}

// Set adds an upstream or applies a newer entry of it. It reports whether the entry was taken.
func (board *Board) Set(entry table.Entry, now time.Time) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	settings := board.settings[entry.Service]
	known, ok := board.upstreams[entry.Upstream]
	if ok && known.entry.Service == entry.Service {
		if !entry.Replaces(known.entry) {
			return false
		}
		known.update(entry, settings, now)
		return true
	}
	if ok {
		board.removeLocked(entry.Upstream)
	}
	added := newUpstream(entry, settings)
	added.zoneOut = board.zonesOut[entry.Zone]
	added.update(entry, settings, now)
	board.upstreams[entry.Upstream] = added
	board.byHash[added.hash] = added
	board.byService[entry.Service] = append(board.byService[entry.Service], added)
	return true
}

// Remove forgets an upstream.
func (board *Board) Remove(name clementinewind.Upstream) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.removeLocked(name)
}

func (board *Board) removeLocked(name clementinewind.Upstream) {
	known, ok := board.upstreams[name]
	if !ok {
		return
	}
	delete(board.upstreams, name)
	delete(board.byHash, known.hash)
	service := known.entry.Service
	board.byService[service] = slices.DeleteFunc(board.byService[service], func(other *upstream) bool { return other == known })
}

// SetZoneOut takes a zone out of service or returns it. Its upstreams may have turned cold meanwhile.
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
			upstream.failedAt = now
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

// SetPeer replaces the work of another router or zone.
func (board *Board) SetPeer(source usage.Source, work map[uint32]Load, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.peers[source] = peer{work: work, at: now}
}

// RemoveRouterReports drops what single routers of a zone told, because the zone is known as a whole.
func (board *Board) RemoveRouterReports(zone clementinewind.Zone) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	maps.DeleteFunc(board.peers, func(source usage.Source, _ peer) bool { return source.IsRouterOf(zone) })
}

func (board *Board) sumLocked(now time.Time) {
	board.summed = now
	for _, upstream := range board.upstreams {
		upstream.remote = Load{}
	}
	for source, peer := range board.peers {
		if now.Sub(peer.at) > peerAge {
			delete(board.peers, source)
			continue
		}
		for hash, work := range peer.work {
			if upstream, ok := board.byHash[hash]; ok {
				upstream.remote = upstream.remote.Plus(work)
			}
		}
	}
}

// AddPlacements records what other routers placed.
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

// LocalLoad returns the work of this router at each upstream, and the placements since the last call.
func (board *Board) LocalLoad(now time.Time) (map[uint32]Load, []Placement) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.sumLocked(now)
	board.demand.Prune(now)
	work := map[uint32]Load{}
	for _, upstream := range board.upstreams {
		recent := int(upstream.recent.Tokens(now))
		if upstream.running > 0 || recent > 0 {
			work[upstream.hash] = Load{
				Running: upstream.running, QueuedTokens: upstream.queued, ResidentTokens: upstream.resident, RecentTokens: recent,
			}
		}
	}
	placements := board.placements
	board.placements = nil
	return work, placements
}

// Request is a request to be placed.
type Request struct {
	Service table.Service
	Zone    clementinewind.Zone
	Prompt  prompt.Prompt
	// Goal is the time to the first event that is left.
	Goal time.Duration
	// MaxLatency is the longest expected time to the first event with which the request is placed.
	MaxLatency time.Duration
	// Tried are upstreams that already had the request.
	Tried []clementinewind.Upstream
}

// Place chooses an upstream and counts the request there. It returns nil if no upstream takes the request, with the time
// after which one is expected to, or 0 if that is not known.
func (board *Board) Place(request Request, now time.Time) (*Ticket, time.Duration) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if now.Sub(board.summed) >= sumInterval {
		board.sumLocked(now)
	}
	shared := request.Prompt.SharedPrefixes()
	eligible := board.eligibleLocked(request, now)
	candidates := board.candidatesLocked(eligible, shared, request.Service, now)
	sharedTokens, homes := 0, pick.MinCopies
	if len(shared) > 0 {
		last := shared[len(shared)-1]
		sharedTokens, homes = last.Tokens, board.homesLocked(request, last, now)
		board.rankLocked(request.Service, eligible, candidates, last.Hash, homes)
	}
	decision := pick.Best(candidates, pick.Request{
		Zone: request.Zone, Goal: request.Goal,
		InputTokens: request.Prompt.InputTokens, SharedTokens: sharedTokens, OutputTokens: request.Prompt.OutputTokens,
		Copies: homes,
	})
	if decision.Index < 0 {
		return nil, 0
	}
	if late := pick.ExcessLatency(decision, request.MaxLatency); len(shared) > 0 && late > 0 {
		return nil, late
	}
	chosen := eligible[decision.Index]
	ticket := &Ticket{
		Entry: chosen.entry, Expected: decision.Expected, UncachedTokens: decision.UncachedTokens, Candidates: len(eligible),
		RemoteRunning: chosen.remote.Running,
		board:         board, upstream: chosen, placed: now, expires: board.config.Clock() + permitTime,
		queued: decision.EffectiveTokens, ahead: candidates[decision.Index].QueuedTokens + decision.EffectiveTokens,
		resident: decision.UncachedTokens + request.Prompt.OutputTokens,
	}
	board.startLocked(ticket, shared, now)
	if sharedTokens >= pick.LargePrefixTokens {
		board.pacesLocked(request.Service).countOwn(request.Prompt.InputTokens - sharedTokens)
	}
	return ticket, 0
}

func (board *Board) startLocked(ticket *Ticket, shared []prompt.Prefix, now time.Time) {
	chosen := ticket.upstream
	chosen.running++
	chosen.queued += ticket.queued
	chosen.resident += ticket.resident
	chosen.recent.Add(float64(ticket.queued), now)
	ticket.due = now.Add(overdueFactor*ticket.Expected + overdueSlack)
	chosen.await(ticket)
	if chosen.cold(now) {
		chosen.coldSends = append(chosen.coldSends, now)
		ticket.Cold = true
	}
	before := 0
	for _, prefix := range shared {
		own := prompt.Prefix{Hash: prefix.Hash, Tokens: prefix.Tokens - before}
		chosen.prefixes.Add(own.Hash, own.Tokens)
		board.demand.Add(own.Hash, 1, now)
		board.placements = append(board.placements, Placement{Upstream: chosen.hash, Prefix: own})
		before = prefix.Tokens
	}
}

// pacesLocked returns the estimates of a service.
func (board *Board) pacesLocked(service table.Service) *paces {
	known, ok := board.paces[service]
	if !ok {
		known = &paces{}
		board.paces[service] = known
	}
	known.engine = board.settings[service].Engine != nil
	return known
}

// eligibleLocked returns the upstreams that may get a request now.
func (board *Board) eligibleLocked(request Request, now time.Time) []*upstream {
	eligible := board.eligible[:0]
	settings := board.settings[request.Service]
	allowance := int((settings.ColdRate*board.config.ColdRatio + board.config.ColdExtra) / coldOwners)
	for _, upstream := range board.byService[request.Service] {
		switch {
		case upstream.entry.Leaving || upstream.zoneOut || now.Before(upstream.downUntil):
		case slices.Contains(request.Tried, upstream.entry.Upstream):
		case settings.ColdRate > 0 && upstream.cold(now) &&
			(!board.config.Owns(upstream.entry.Upstream) || upstream.coldLeft(allowance, now) <= 0):
		default:
			eligible = append(eligible, upstream)
		}
	}
	board.eligible = eligible
	return eligible
}

// candidatesLocked describes the eligible upstreams. The result is valid until the next placement.
func (board *Board) candidatesLocked(eligible []*upstream, shared []prompt.Prefix, name table.Service, now time.Time) []pick.Candidate {
	settings, paces := board.settings[name], board.pacesLocked(name)
	base, token, service := paces.base(now), paces.token(now), paces.service(now)
	candidates := board.candidates[:0]
	for _, upstream := range eligible {
		candidate := pick.Candidate{
			Upstream: upstream.entry.Upstream, Zone: upstream.entry.Zone, Slots: upstream.entry.Slots,
			Running:        upstream.running + upstream.remote.Running,
			QueuedTokens:   upstream.queued + upstream.remote.QueuedTokens,
			ResidentTokens: upstream.resident + upstream.remote.ResidentTokens,
			RecentTokens:   int(upstream.recent.Tokens(now)) + upstream.remote.RecentTokens,
			PerToken:       upstream.pace.token.read(token, upstreamHalfLife, now),
			BaseLatency:    upstream.pace.base.read(base, upstreamHalfLife, now),
			ServiceTime:    upstream.pace.service.read(service, upstreamHalfLife, now),
			FailureRate:    upstream.failureRate(now), Overdue: upstream.overdue(now),
		}
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

// homesLocked returns the number of upstreams that a prefix is kept at.
func (board *Board) homesLocked(request Request, prefix prompt.Prefix, now time.Time) int {
	paces := board.pacesLocked(request.Service)
	rate := board.demand.Tokens(prefix.Hash, now) / demandWindow.Seconds()
	return pick.CopiesFor(rate * paces.ownTokens * paces.token(now).Seconds())
}

// rankLocked sets the position of each candidate in the rendezvous order of a prefix, up to the number of its homes.
// Upstreams that get no request just now keep their position, so that a short pause of one does not move the prefixes of all.
func (board *Board) rankLocked(service table.Service, eligible []*upstream, candidates []pick.Candidate, prefix uint32, homes int) {
	highest := slices.Grow(board.highest[:0], homes)[:homes]
	clear(highest)
	board.highest = highest
	for _, upstream := range board.byService[service] {
		upstream.score = scoreOf(prefix, upstream.hash)
		if upstream.entry.Leaving || upstream.zoneOut || upstream.unreachable > 0 {
			continue
		}
		score := upstream.score
		for i := range highest {
			if score > highest[i] {
				score, highest[i] = highest[i], score
			}
		}
	}
	for i, upstream := range eligible {
		candidates[i].Rank = homes
		for rank := homes - 1; rank >= 0 && upstream.score >= highest[rank]; rank-- {
			candidates[i].Rank = rank
		}
	}
}

// scoreOf returns the score of an upstream for a prefix; the homes of the prefix have the highest ones.
func scoreOf(prefix, upstream uint32) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint32(key[:4], prefix)
	binary.LittleEndian.PutUint32(key[4:], upstream)
	return xxhash.Sum64(key[:])
}
