package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
)

const (
	// reportTTL is the age at which the report of a peer expires. Peers report about once a second.
	reportTTL = 5 * time.Second
	// refreshInterval is how long computed shares are reused.
	refreshInterval = 100 * time.Millisecond
	// outputWeight is the cost of a generated token, in prompt tokens.
	outputWeight = 2
	// scarcityFactor is the ratio of demand to served tokens from which capacity counts as scarce. Single refusals in a burst must not lower
	// the limits of all organisations, which would cause further refusals.
	scarcityFactor = 1.05
	// blockedFraction is the fraction of its requested tokens that an organisation gets, or could get if upstreams had room, unless it is
	// blocked. Users are promised half of what they ask for, or of what another organisation gets.
	blockedFraction = 0.5
	// recentDivisor is the ratio of the time constants of TokenTotals.Requested and TokenTotals.Recent.
	recentDivisor = 4
	// maxDemandGrowth is by how much the rate over the shorter one may fall below the other before the demand counts as falling; requests
	// arrive unevenly. returningGrowth is the ratio of the rates above which an organisation counts as returning.
	maxDemandGrowth = 2.0
	returningGrowth = 1.5
	// MaxReportedOrganisations bounds the size of a report; it holds the organisations that requested most.
	MaxReportedOrganisations = 64
)

// TokenCost returns the cost of a request in prompt tokens.
func TokenCost(input, output int) float64 { return float64(input + outputWeight*output) }

// TokenTotals are the tokens that one organisation requested, was served, and was refused because upstreams had no room for them.
type TokenTotals struct {
	Requested float64
	Served    float64
	NoRoom    float64
	// Recent are the requested tokens over a shorter time, which show whether the organisation still asks.
	Recent float64
}

// demand returns the tokens that the organisation asks for. Those of earlier requests that were not served count only while as many are
// still asked for.
func (tokenTotals TokenTotals) demand() float64 {
	return max(tokenTotals.Served, min(tokenTotals.Requested, maxDemandGrowth*recentDivisor*tokenTotals.Recent))
}

// returns reports whether the organisation asks for far more than before. The requests of one that asks for much less than the fair share
// arrive too unevenly to tell.
func (tokenTotals TokenTotals) returns(fairShare float64) bool {
	return 2*tokenTotals.Requested > fairShare && recentDivisor*tokenTotals.Recent > returningGrowth*tokenTotals.Requested
}

// waits reports whether the organisation still asks for more than the fair share. Without new requests all totals decay alike, so that their
// ratios alone would keep others throttled for ever.
func (tokenTotals TokenTotals) waits(fairShare float64) bool {
	return tokenTotals.demand() > fairShare
}

// blocked reports whether most of the requests are lost for another reason than the room at upstreams, for example because the router
// that gets them is short of processor time.
func (tokenTotals TokenTotals) blocked() bool {
	return tokenTotals.Served+tokenTotals.NoRoom < blockedFraction*tokenTotals.Requested
}

// Plus returns the sum of two totals.
func (tokenTotals TokenTotals) Plus(other TokenTotals) TokenTotals {
	return TokenTotals{
		Requested: tokenTotals.Requested + other.Requested, Served: tokenTotals.Served + other.Served, NoRoom: tokenTotals.NoRoom + other.NoRoom,
		Recent: tokenTotals.Recent + other.Recent,
	}
}

// Minus returns the totals without a part of them.
func (tokenTotals TokenTotals) Minus(part TokenTotals) TokenTotals {
	return TokenTotals{
		Requested: max(tokenTotals.Requested-part.Requested, 0), Served: max(tokenTotals.Served-part.Served, 0),
		NoRoom: max(tokenTotals.NoRoom-part.NoRoom, 0), Recent: max(tokenTotals.Recent-part.Recent, 0),
	}
}

// Report is the usage of a router, or of all routers of a zone, keyed by the hashes of the organisations.
type Report map[uint32]TokenTotals

// Shares compares the usage of the organisations at all routers. It is safe for concurrent use.
type Shares struct {
	mutex     sync.Mutex
	requested *Meter[uint32]
	served    *Meter[uint32]
	noRoom    *Meter[uint32]
	recent    *Meter[uint32]
	peers     map[Source]peerReport

	refreshedAt time.Time
	fairShare   float64
	// leastServed is the lowest number of served tokens among the organisations that request more than the fair share.
	leastServed float64
	// leastBlocked is the same among those of them that are blocked.
	leastBlocked float64
	totals       Report
}

// Standing is the usage of an organisation compared with that of the others.
type Standing struct {
	// Share is what the organisation was served, divided by its max-min fair share of all served tokens.
	Share float64
	// Returning is set if the organisation asks for far more than before, such as one that returns from idle. It got little because it asked
	// for little.
	Returning bool
	// LeastServed is the lowest Share among the organisations that request more than their fair share, at most 1.
	LeastServed float64
	// LeastBlocked is the lowest Share among those of them that are not served for another reason than the room at upstreams. What others
	// leave does not help them. It is infinite if there are none.
	LeastBlocked float64
	// TimeConstant is the time in which the usage decays to 1/e if nothing more is served.
	TimeConstant time.Duration
}

type peerReport struct {
	report     Report
	receivedAt time.Time
}

// NewShares returns shares over a sliding window. The time constant of their decay is half the window: then the tokens
// in a decaying sum are on average as old as those in the window.
func NewShares(window time.Duration) *Shares {
	return &Shares{
		requested: NewMeter[uint32](window / 2), served: NewMeter[uint32](window / 2), noRoom: NewMeter[uint32](window / 2),
		recent: NewMeter[uint32](window / 2 / recentDivisor), peers: map[Source]peerReport{},
	}
}

// AddRequested adds the tokens of a request that arrived.
func (shares *Shares) AddRequested(organisation clementinewind.Organisation, tokens float64, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.requested.Add(Hash(organisation), tokens, now)
	shares.recent.Add(Hash(organisation), tokens, now)
}

// AddServed adds the tokens of a request that was handed to an upstream.
func (shares *Shares) AddServed(organisation clementinewind.Organisation, tokens float64, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.served.Add(Hash(organisation), tokens, now)
}

// RemoveServed undoes AddServed for a request that no upstream started to answer; addedAt is the time of that call.
func (shares *Shares) RemoveServed(organisation clementinewind.Organisation, tokens float64, addedAt, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.served.Remove(Hash(organisation), tokens, addedAt, now)
}

// AddNoRoom adds the tokens of a request that was refused because upstreams had no room for it.
func (shares *Shares) AddNoRoom(organisation clementinewind.Organisation, tokens float64, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.noRoom.Add(Hash(organisation), tokens, now)
}

// SetPeer replaces the report of another router or zone.
func (shares *Shares) SetPeer(source Source, report Report, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.peers[source] = peerReport{report: report, receivedAt: now}
}

// RemoveRouterReports removes the reports of single routers of a zone, once there is a report of the whole zone.
func (shares *Shares) RemoveRouterReports(zone clementinewind.Zone) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	maps.DeleteFunc(shares.peers, func(source Source, _ peerReport) bool { return source.IsRouterOf(zone) })
}

// LocalReport returns the usage of this router for at most MaxReportedOrganisations organisations.
func (shares *Shares) LocalReport(now time.Time) Report {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	report := shares.localReportLocked(now)
	if len(report) <= MaxReportedOrganisations {
		return report
	}
	hashes := make([]uint32, 0, len(report))
	for hash := range report {
		hashes = append(hashes, hash)
	}
	slices.SortFunc(hashes, func(a, b uint32) int { return cmp.Compare(report[b].Requested, report[a].Requested) })
	for _, hash := range hashes[MaxReportedOrganisations:] {
		delete(report, hash)
	}
	return report
}

func (shares *Shares) localReportLocked(now time.Time) Report {
	report := Report{}
	for hash, tokens := range shares.requested.Snapshot(now) {
		report[hash] = TokenTotals{Requested: tokens}
	}
	for hash, tokens := range shares.served.Snapshot(now) {
		report[hash] = report[hash].Plus(TokenTotals{Served: tokens})
	}
	for hash, tokens := range shares.recent.Snapshot(now) {
		report[hash] = report[hash].Plus(TokenTotals{Recent: tokens})
	}
	for hash, tokens := range shares.noRoom.Snapshot(now) {
		report[hash] = report[hash].Plus(TokenTotals{NoRoom: tokens})
	}
	return report
}

// Standing returns the standing of an organisation. The second result is false while the capacity is enough for all, or
// nothing is served.
func (shares *Shares) Standing(organisation clementinewind.Organisation, now time.Time) (Standing, bool) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	if now.Sub(shares.refreshedAt) >= refreshInterval {
		shares.refreshLocked(now)
	}
	if shares.fairShare <= 0 || math.IsInf(shares.fairShare, 1) {
		return Standing{}, false
	}
	total := shares.totals[Hash(organisation)]
	return Standing{
		Share:        total.Served / shares.fairShare,
		Returning:    total.returns(shares.fairShare),
		LeastServed:  min(shares.leastServed/shares.fairShare, 1),
		LeastBlocked: shares.leastBlocked / shares.fairShare,
		TimeConstant: shares.served.timeConstant,
	}, true
}

func (shares *Shares) refreshLocked(now time.Time) {
	shares.refreshedAt = now
	shares.totals = shares.localReportLocked(now)
	for source, peer := range shares.peers {
		if now.Sub(peer.receivedAt) > reportTTL {
			delete(shares.peers, source)
			continue
		}
		for hash, peerTotals := range peer.report {
			shares.totals[hash] = shares.totals[hash].Plus(peerTotals)
		}
	}
	demands := make([]float64, 0, len(shares.totals))
	served, demanded := 0.0, 0.0
	for _, total := range shares.totals {
		demand := total.demand()
		demands, demanded = append(demands, demand), demanded+demand
		served += total.Served
	}
	shares.fairShare = math.Inf(1)
	if demanded > scarcityFactor*served {
		shares.fairShare = FairShare(demands, served)
	}
	shares.leastServed, shares.leastBlocked = math.Inf(1), math.Inf(1)
	for _, total := range shares.totals {
		if !total.waits(shares.fairShare) {
			continue
		}
		shares.leastServed = min(shares.leastServed, total.Served)
		if total.blocked() {
			shares.leastBlocked = min(shares.leastBlocked, total.Served)
		}
	}
}

// Hash returns the number that identifies a name in datagrams. It is the same in every process.
func Hash[N ~string](name N) uint32 { return uint32(xxhash.Sum64String(string(name))) }
