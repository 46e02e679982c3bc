package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// DefaultQuantum is the change of normalised service that is reported at once, in tokens per unit of weight.
	DefaultQuantum = 2000
	// DefaultFineQuantum is the smallest change that is reported when the budget allows, in tokens per unit of weight.
	DefaultFineQuantum = 50
	// DefaultBudget is the traffic that reports below DefaultQuantum may use, in bytes a second. The current size uses
	// half of it, because a home router does not report to itself and small changes are left out.
	DefaultBudget = 1600
	// DefaultCredit is how far below the virtual time an account may be, in tokens per unit of weight. It limits how long
	// an organisation is preferred after a partition in which the virtual times of the two sides drifted apart.
	DefaultCredit = 8000

	// idleTime is how long an account without demand is kept, so that short gaps in demand cause no traffic.
	idleTime = 5 * time.Second
	// seenRange is the modulus of the count of deltas in a total.
	seenRange = 128
	// messageSize is about the size of a report.
	messageSize = 32
	// minRound and roundStep are the shortest round and the unit of rounds.
	minRound  = 500 * time.Millisecond
	roundStep = 250 * time.Millisecond
	// totalsDelay is the time from the reports of a round to its totals: a report interval of the owners and the links.
	totalsDelay = 150 * time.Millisecond
	// paceTime is the time over which the service of other routers is averaged.
	paceTime = 3 * time.Second
	// quietTime is the silence after which the service of other routers is extrapolated. Between regular totals it is not:
	// all accounts are late by about as much, and a guess adds noise (gap 3,756 instead of 1,897 tokens in Steady).
	quietTime = 2 * time.Second
	// longestGuess is how long the service of other routers is extrapolated without a new total: expiry of a lost home
	// router and the first totals of the next one.
	longestGuess = 10 * time.Second
	// homeGrace is how long a new home router only collects totals before it sends any.
	homeGrace = 500 * time.Millisecond
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Self clementinewind.Session
	// Home returns the session that aggregates an account. It is called with the current sessions in mind and must be
	// cheap; results are cached until SetSessions.
	Home func(key Key) clementinewind.Session
	// Weight returns the weight of an organisation in the settings; nil means 1. The home router uses it to decide how
	// much a change of a total matters.
	Weight func(key Key) float64
	// Send queues a message to another router and must not block.
	Send func(session clementinewind.Session, service *peerv1.Service)
	// Quantum, FineQuantum, Budget and Credit take their defaults when 0.
	Quantum     float64
	FineQuantum float64
	Budget      float64
	Credit      float64
}

// Ledger keeps the accounts of the organisations with demand at this router, and the totals of the accounts whose home
// router this is.
type Ledger struct {
	config       LedgerConfig
	accounts     map[Key]*account
	totals       map[Key]*total
	virtualTimes map[clementinewind.Pool]float64
	ticked       time.Time
}

// account is the service of one organisation as this router knows it. All amounts are in tokens.
type account struct {
	weight float64
	// known is the fleet's total, with everything that this router has reported.
	known float64
	// unreported is what this router has charged since its last report.
	unreported float64
	// pending holds the latest deltas sent, oldest first, which the last total did not contain; known contains them.
	pending []float64
	// sent counts the deltas sent to the home router, modulo seenRange.
	sent uint32
	// others is the service of the other routers per second, as the last totals show it, and heard is when the last one
	// came. When totals stay away, the home router may be lost, and the account is assumed to go on at this rate.
	others float64
	heard  time.Time
	// raised is by how much known was raised locally without the home router having been told.
	raised float64
	// unknown says that the home router has not heard of the demand here.
	unknown bool
	active  bool
	// holds counts the requests in progress, whose corrections are still to come.
	holds    int
	idleFrom time.Time
	home     clementinewind.Session
}

func (account *account) tag(now time.Time) float64 {
	silence := max(min(now.Sub(account.heard), longestGuess)-quietTime, 0).Seconds()
	return (account.known + account.unreported + account.others*silence) / account.weight
}

// total is the sum of all reports on one account at its home router.
type total struct {
	tokens     float64
	quietUntil time.Time
	// sent holds the last total sent to each router where the organisation has demand, and seen the number of deltas
	// received from it, modulo seenRange.
	sent map[clementinewind.Session]float64
	seen map[clementinewind.Session]uint32
}

// NewLedger returns an empty ledger.
func NewLedger(config LedgerConfig) *Ledger {
	config.Quantum = cmp.Or(config.Quantum, DefaultQuantum)
	config.FineQuantum = cmp.Or(config.FineQuantum, DefaultFineQuantum)
	config.Budget = cmp.Or(config.Budget, DefaultBudget)
	config.Credit = cmp.Or(config.Credit, DefaultCredit)
	return &Ledger{
		config:       config,
		accounts:     make(map[Key]*account),
		totals:       make(map[Key]*total),
		virtualTimes: make(map[clementinewind.Pool]float64),
	}
}

// Activate opens the account of an organisation that has demand, or returns it from idle. The account starts at the
// virtual time of the pool, or at tag, or where it was, whichever is highest.
func (ledger *Ledger) Activate(key Key, weight, tag float64, now time.Time) {
	entry := ledger.open(key, weight, now)
	floor := ledger.virtualTimes[key.Pool]
	if entry.active {
		floor -= ledger.config.Credit
	}
	entry.active = true
	if math.IsInf(tag, 0) || math.IsNaN(tag) {
		tag = floor
	}
	ledger.raise(entry, max(floor, tag), now)
}

// Open opens the account of an organisation that is served without having waited. It is not lifted.
func (ledger *Ledger) Open(key Key, weight float64, now time.Time) {
	ledger.open(key, weight, now)
}

func (ledger *Ledger) open(key Key, weight float64, now time.Time) *account {
	entry := ledger.accounts[key]
	if entry == nil {
		entry = &account{home: ledger.config.Home(key), unknown: true, heard: now, idleFrom: now}
		ledger.accounts[key] = entry
	}
	weight = normalWeight(weight)
	if entry.weight != weight {
		// The normalised service stays, so a change of weight acts on future service only.
		ratio := weight / cmp.Or(entry.weight, weight)
		entry.known *= ratio
		entry.unreported *= ratio
		entry.weight = weight
		entry.unknown = true
	}
	return entry
}

// raise lifts an account to a tag.
func (*Ledger) raise(entry *account, tag float64, now time.Time) {
	if missing := tag - entry.tag(now); missing > 0 {
		entry.known += missing * entry.weight
		entry.raised += missing * entry.weight
	}
}

// Deactivate marks that an organisation has no demand at this router.
func (ledger *Ledger) Deactivate(key Key, now time.Time) {
	if entry := ledger.accounts[key]; entry != nil && entry.active {
		entry.active = false
		entry.idleFrom = now
	}
}

// Charge adds service to an open account; a negative amount corrects an earlier charge.
func (ledger *Ledger) Charge(key Key, tokens float64) {
	if entry := ledger.accounts[key]; entry != nil {
		entry.unreported += tokens
	}
}

// Hold keeps an open account from being closed until Release.
func (ledger *Ledger) Hold(key Key) {
	if entry := ledger.accounts[key]; entry != nil {
		entry.holds++
	}
}

// Release ends a Hold.
func (ledger *Ledger) Release(key Key) {
	if entry := ledger.accounts[key]; entry != nil && entry.holds > 0 {
		entry.holds--
	}
}

// Tag returns the normalised service of an organisation, in tokens per unit of weight.
func (ledger *Ledger) Tag(key Key, now time.Time) float64 {
	if entry := ledger.accounts[key]; entry != nil {
		return entry.tag(now)
	}
	return ledger.virtualTimes[key.Pool]
}

// VirtualTime returns the tag at which an organisation starts that returns from idle.
func (ledger *Ledger) VirtualTime(pool clementinewind.Pool) float64 {
	return ledger.virtualTimes[pool]
}

// Advance moves the virtual time of a pool forward to a tag.
func (ledger *Ledger) Advance(pool clementinewind.Pool, tag float64) {
	ledger.virtualTimes[pool] = max(ledger.virtualTimes[pool], tag)
}

// Handle takes a message from another router. It returns the key and whether the tag of an account here has changed.
func (ledger *Ledger) Handle(session clementinewind.Session, service *peerv1.Service, now time.Time) (Key, bool) {
	key := Key{Pool: clementinewind.Pool(service.Pool), Organisation: clementinewind.Organisation(service.Organisation)}
	if math.IsNaN(service.Tokens) || math.IsInf(service.Tokens, 0) {
		return key, false
	}
	if service.Interested || !service.Total {
		// Other routers may know of this router's part as home router before it does.
		ledger.collect(key, session, service, now)
		return key, false
	}
	entry := ledger.accounts[key]
	if entry == nil || entry.home != session {
		return key, false
	}
	return key, ledger.learn(entry, service.Tokens, service.Seen, now)
}

// learn takes the total that the home router sent. Deltas that were on their way when it was sent come on top.
func (*Ledger) learn(entry *account, tokens float64, seen uint32, now time.Time) bool {
	missing := min(int((entry.sent-seen)%seenRange), len(entry.pending))
	entry.pending = slices.Delete(entry.pending, 0, len(entry.pending)-missing)
	for _, delta := range entry.pending {
		tokens += delta
	}
	if entry.unknown || entry.raised > 0 {
		tokens = max(tokens, entry.known)
	}
	if elapsed := now.Sub(entry.heard).Seconds(); elapsed > 0 {
		sample := max(tokens-entry.known, 0) / elapsed
		share := min(elapsed/paceTime.Seconds(), 1)
		entry.others += (sample - entry.others) * share
	}
	changed := tokens != entry.known
	entry.known = tokens
	entry.heard = now
	return changed
}

// collect adds a report to the total at the home router.
func (ledger *Ledger) collect(key Key, session clementinewind.Session, service *peerv1.Service, now time.Time) {
	sum := ledger.totals[key]
	if sum == nil {
		sum = &total{
			quietUntil: now.Add(homeGrace),
			sent:       make(map[clementinewind.Session]float64),
			seen:       make(map[clementinewind.Session]uint32),
		}
		ledger.totals[key] = sum
	}
	if service.Total {
		sum.tokens = max(sum.tokens, service.Tokens)
		sum.seen[session] = 0
	} else {
		sum.tokens += service.Tokens
		sum.seen[session] = (sum.seen[session] + 1) % seenRange
	}
	if !service.Interested {
		delete(sum.sent, session)
		delete(sum.seen, session)
		return
	}
	if service.Total {
		sum.sent[session] = service.Tokens
	}
}

// SetSessions tells which routers live. Accounts whose home router changed are reported to the new one.
func (ledger *Ledger) SetSessions(sessions []clementinewind.Session) {
	for key, entry := range ledger.accounts {
		if home := ledger.config.Home(key); home != entry.home {
			entry.home = home
			entry.unknown = true
		}
	}
	for key, sum := range ledger.totals {
		for session := range sum.sent {
			if !slices.Contains(sessions, session) {
				delete(sum.sent, session)
				delete(sum.seen, session)
			}
		}
		if len(sum.sent) == 0 {
			delete(ledger.totals, key)
		}
	}
}

// SetSelf replaces the session of this router.
func (ledger *Ledger) SetSelf(session clementinewind.Session) {
	ledger.config.Self = session
}

// Connected tells that the link to a router was set up again, so that messages to it may have been lost.
func (ledger *Ledger) Connected(session clementinewind.Session) {
	for _, entry := range ledger.accounts {
		if entry.home == session {
			entry.unknown = true
		}
	}
	for _, sum := range ledger.totals {
		if _, interested := sum.sent[session]; interested {
			sum.sent[session] = math.Inf(-1)
		}
	}
}

// report is a message that Tick sends.
type report struct {
	key  Key
	send func() int
}

// compareReports makes the order of messages independent of map iteration.
func compareReports(a, b report) int {
	return cmp.Or(cmp.Compare(a.key.Pool, b.key.Pool), cmp.Compare(a.key.Organisation, b.key.Organisation))
}

// Tick sends the reports that are due: changes of at least a quantum at once, and smaller ones in rounds that keep to the
// budget. It returns the keys of accounts whose tag has changed.
func (ledger *Ledger) Tick(now time.Time) []Key {
	round := ledger.round()
	reportDue := now.Truncate(round).After(ledger.ticked.Truncate(round))
	totalsDue := now.Add(-totalsDelay).Truncate(round).After(ledger.ticked.Add(-totalsDelay).Truncate(round))
	ledger.ticked = now
	var reports []report
	var changed []Key
	for key, entry := range ledger.accounts {
		if entry.active {
			if floor := ledger.virtualTimes[key.Pool] - ledger.config.Credit; entry.tag(now) < floor {
				ledger.raise(entry, floor, now)
				changed = append(changed, key)
			}
		} else if entry.holds == 0 && now.Sub(entry.idleFrom) >= idleTime {
			ledger.close(key, entry, now)
			continue
		}
		change := max(math.Abs(entry.unreported), entry.raised) / entry.weight
		if entry.unknown {
			change = math.Inf(1)
		}
		if change >= ledger.config.Quantum || reportDue && change >= ledger.config.FineQuantum {
			reports = append(reports, report{key: key, send: func() int {
				return ledger.sendReport(key, entry, now)
			}})
		}
	}
	for key, sum := range ledger.totals {
		if now.Before(sum.quietUntil) {
			continue
		}
		weight := 1.0
		if ledger.config.Weight != nil {
			weight = normalWeight(ledger.config.Weight(key))
		}
		change := 0.0
		for _, sent := range sum.sent {
			change = max(change, math.Abs(sum.tokens-sent)/weight)
		}
		if change >= ledger.config.Quantum || totalsDue && change >= ledger.config.FineQuantum {
			reports = append(reports, report{key: key, send: func() int {
				size, known := ledger.sendTotals(key, sum, now)
				if known {
					changed = append(changed, key)
				}
				return size
			}})
		}
	}
	slices.SortFunc(reports, compareReports)
	for _, report := range reports {
		report.send()
	}
	return changed
}

// round returns the time between the reports of changes below a quantum. All routers report at the same multiples of it,
// and the home routers send totals a little later. The totals of all accounts are then of the same age, so that their
// differences, which decide the order, are right although each is late. Routers that know a different number of accounts
// may differ in the round, which costs only this advantage.
func (ledger *Ledger) round() time.Duration {
	// On average a router sends as many totals as reports.
	bytes := float64(2 * messageSize * len(ledger.accounts))
	round := time.Duration(bytes / ledger.config.Budget * float64(time.Second))
	return max((round + roundStep - 1).Truncate(roundStep), minRound)
}

// sendReport reports an account to its home router and returns the bytes used.
func (ledger *Ledger) sendReport(key Key, entry *account, now time.Time) int {
	size := 0
	if entry.unknown || entry.raised > 0 {
		base := entry.known
		if entry.unknown {
			// A new home router takes the highest total that it hears of, which is the last one that all routers heard. What
			// each has reported since then comes on top.
			for _, delta := range entry.pending {
				base -= delta
				entry.unreported += delta
			}
			entry.known = base
		}
		size += ledger.toHome(key, entry, &peerv1.Service{
			Pool: string(key.Pool), Organisation: string(key.Organisation), Interested: true, Total: true, Tokens: base,
		}, now)
		entry.unknown = false
		entry.raised = 0
		entry.pending = entry.pending[:0]
		entry.sent = 0
	}
	if entry.unreported == 0 {
		return size
	}
	service := &peerv1.Service{
		Pool: string(key.Pool), Organisation: string(key.Organisation), Interested: true, Tokens: entry.unreported,
	}
	entry.known += entry.unreported
	entry.pending = append(entry.pending, entry.unreported)
	if len(entry.pending) == seenRange {
		// No total has come for so long that the router which sends them must be lost.
		entry.pending = slices.Delete(entry.pending, 0, 1)
	}
	entry.sent = (entry.sent + 1) % seenRange
	entry.unreported = 0
	return size + ledger.toHome(key, entry, service, now)
}

func (ledger *Ledger) toHome(key Key, entry *account, service *peerv1.Service, now time.Time) int {
	if entry.home == ledger.config.Self {
		ledger.collect(key, ledger.config.Self, service, now)
		return 0
	}
	ledger.config.Send(entry.home, service)
	return proto.Size(service)
}

// sendTotals sends the total of an account to all routers where the organisation has demand, at the same time, so that
// they know the same. It returns the bytes used and whether an account here has changed.
func (ledger *Ledger) sendTotals(key Key, sum *total, now time.Time) (int, bool) {
	size, changed := 0, false
	for _, session := range slices.Sorted(maps.Keys(sum.sent)) {
		sum.sent[session] = sum.tokens
		if session == ledger.config.Self {
			if entry := ledger.accounts[key]; entry != nil && entry.home == session {
				changed = ledger.learn(entry, sum.tokens, sum.seen[session], now)
			}
			continue
		}
		service := &peerv1.Service{
			Pool: string(key.Pool), Organisation: string(key.Organisation), Tokens: sum.tokens, Total: true,
			Seen: sum.seen[session],
		}
		ledger.config.Send(session, service)
		size += proto.Size(service)
	}
	return size, changed
}

// close reports the rest of an idle account and forgets it.
func (ledger *Ledger) close(key Key, entry *account, now time.Time) {
	delete(ledger.accounts, key)
	ledger.toHome(key, entry, &peerv1.Service{
		Pool: string(key.Pool), Organisation: string(key.Organisation), Tokens: entry.unreported,
	}, now)
	if sum := ledger.totals[key]; sum != nil && len(sum.sent) == 0 {
		delete(ledger.totals, key)
	}
}
