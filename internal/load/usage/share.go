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
	// peerAge is the age at which the usage that a peer told of no longer counts. Peers tell about once a second.
	peerAge = 5 * time.Second
	// refreshTime is how long the shares are kept before they are worked out again.
	refreshTime = 100 * time.Millisecond
	// outputWeight is what a generated token counts against one that is read.
	outputWeight = 2
	// MaxReported bounds the organisations in one report, the largest first.
	MaxReported = 64
)

// TokenCost returns what a request counts.
func TokenCost(input, output int) float64 { return float64(input + outputWeight*output) }

// TokenTotals is what one organisation asked for and got.
type TokenTotals struct {
	Requested float64
	Served    float64
}

// Plus returns the sum of two.
func (sum TokenTotals) Plus(other TokenTotals) TokenTotals {
	return TokenTotals{Requested: sum.Requested + other.Requested, Served: sum.Served + other.Served}
}

// Minus returns what is left without a part.
func (sum TokenTotals) Minus(part TokenTotals) TokenTotals {
	return TokenTotals{Requested: max(sum.Requested-part.Requested, 0), Served: max(sum.Served-part.Served, 0)}
}

// Report is the usage of one router, by the hashes of the organisations.
type Report map[uint32]TokenTotals

// Shares compares what the organisations get from all routers. Its methods may be called by many goroutines.
type Shares struct {
	mutex  sync.Mutex
	asked  *Meter[uint32]
	served *Meter[uint32]
	peers  map[Source]peerReport

	refreshed time.Time
	level     float64
	// least is what the least served organisation of those that wait got.
	least  float64
	totals Report
}

// Standing is what an organisation got compared with the others.
type Standing struct {
	// Share is what it got as a part of its max-min fair share of what all organisations got.
	Share float64
	// LeastServed is the same of the organisation that asks for more than its share and got least, at most 1.
	LeastServed float64
	// Window is the time in which what an organisation got falls to a third while it gets nothing.
	Window time.Duration
}

type peerReport struct {
	report Report
	at     time.Time
}

// NewShares returns shares over a window that slides. The sums decay over half of it, because what they count is on average as
// old as the time over which they decay, and what a sliding window counts half as old as the window.
func NewShares(window time.Duration) *Shares {
	return &Shares{asked: New[uint32](window / 2), served: New[uint32](window / 2), peers: map[Source]peerReport{}}
}

// AddRequested counts a request that arrived.
func (shares *Shares) AddRequested(organisation clementinewind.Organisation, tokens float64, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.asked.Add(Hash(organisation), tokens, now)
}

// AddServed counts a request that was handed to an upstream.
func (shares *Shares) AddServed(organisation clementinewind.Organisation, tokens float64, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.served.Add(Hash(organisation), tokens, now)
}

// RemoveServed takes back a request that was handed to an upstream at the given time and that no upstream began.
func (shares *Shares) RemoveServed(organisation clementinewind.Organisation, tokens float64, handed, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.served.Remove(Hash(organisation), tokens, handed, now)
}

// SetPeer replaces the usage of another router or zone.
func (shares *Shares) SetPeer(source Source, report Report, now time.Time) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.peers[source] = peerReport{report: report, at: now}
}

// RemoveRouterReports drops what single routers of a zone told, because the zone is known as a whole.
func (shares *Shares) RemoveRouterReports(zone clementinewind.Zone) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	maps.DeleteFunc(shares.peers, func(source Source, _ peerReport) bool { return source.IsRouterOf(zone) })
}

// LocalReport returns the usage of this router, at most MaxReported organisations.
func (shares *Shares) LocalReport(now time.Time) Report {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	own := shares.ownLocked(now)
	if len(own) <= MaxReported {
		return own
	}
	hashes := make([]uint32, 0, len(own))
	for hash := range own {
		hashes = append(hashes, hash)
	}
	slices.SortFunc(hashes, func(a, b uint32) int { return cmp.Compare(own[b].Requested, own[a].Requested) })
	for _, hash := range hashes[MaxReported:] {
		delete(own, hash)
	}
	return own
}

func (shares *Shares) ownLocked(now time.Time) Report {
	own := Report{}
	for hash, tokens := range shares.asked.Snapshot(now) {
		own[hash] = TokenTotals{Requested: tokens}
	}
	for hash, tokens := range shares.served.Snapshot(now) {
		own[hash] = TokenTotals{Requested: own[hash].Requested, Served: tokens}
	}
	return own
}

// Standing returns what an organisation got from all routers. It is false while there is enough for all.
func (shares *Shares) Standing(organisation clementinewind.Organisation, now time.Time) (Standing, bool) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	if now.Sub(shares.refreshed) >= refreshTime {
		shares.refreshLocked(now)
	}
	if shares.level <= 0 || math.IsInf(shares.level, 1) {
		return Standing{}, false
	}
	return Standing{
		Share: shares.totals[Hash(organisation)].Served / shares.level, LeastServed: min(shares.least/shares.level, 1), Window: shares.served.window,
	}, true
}

func (shares *Shares) refreshLocked(now time.Time) {
	shares.refreshed = now
	shares.totals = shares.ownLocked(now)
	for source, peer := range shares.peers {
		if now.Sub(peer.at) > peerAge {
			delete(shares.peers, source)
			continue
		}
		for hash, sum := range peer.report {
			total := shares.totals[hash]
			shares.totals[hash] = TokenTotals{Requested: total.Requested + sum.Requested, Served: total.Served + sum.Served}
		}
	}
	demands := make([]float64, 0, len(shares.totals))
	served := 0.0
	for _, total := range shares.totals {
		demands = append(demands, max(total.Requested, total.Served))
		served += total.Served
	}
	shares.level = FairShare(demands, served)
	shares.least = math.Inf(1)
	for _, total := range shares.totals {
		if total.Requested > shares.level {
			shares.least = min(shares.least, total.Served)
		}
	}
}

// Hash returns the number that stands for a name in datagrams. It is the same in every process.
func Hash[N ~string](name N) uint32 { return uint32(xxhash.Sum64String(string(name))) }
