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
	// DefaultQuantum is the change of a tag that is reported immediately, in tokens per unit of weight.
	DefaultQuantum = 2000
	// DefaultFineQuantum is the smallest change of a tag that is reported in rounds, in tokens per unit of weight.
	DefaultFineQuantum = 50
	// DefaultBudget is the bandwidth for changes below DefaultQuantum, in bytes per second. A fleet of the current size
	// uses half of it, because a home router does not report to itself and changes below the fine quantum are not sent.
	DefaultBudget = 1600
	// DefaultCredit is how far a tag may be below the virtual time, in tokens per unit of weight. It limits how long an
	// organisation is preferred after a partition in which the virtual times of the two sides diverged.
	DefaultCredit = 8000

	// idleAccountTimeout is how long an account without demand is kept, so that short gaps in demand cause no traffic.
	idleAccountTimeout = 5 * time.Second
	// deltaCountRange is the modulus of the counts of deltas.
	deltaCountRange = 128
	// reportBytes is the approximate size of a report.
	reportBytes = 32
	// minRoundTime is the shortest time between rounds of reports; longer ones are multiples of roundTimeStep.
	minRoundTime  = 500 * time.Millisecond
	roundTimeStep = 250 * time.Millisecond
	// totalsDelay is the time from the reports of a round to its totals: a tick of the owners and the latency of the links.
	totalsDelay = 150 * time.Millisecond
	// othersRateWindow is the time over which the service rate of the other routers is averaged.
	othersRateWindow = 3 * time.Second
	// extrapolateAfter is the time without a total after which the service of other routers is extrapolated. Between regular
	// totals all accounts lag about equally, and extrapolation adds noise: it raised the largest difference of normalised
	// service between organisations in the benchmark scenario Steady from 1,897 to 3,756 tokens.
	extrapolateAfter = 2 * time.Second
	// maxExtrapolation is the time without a total after which the extrapolation stops. It covers the expiry of a failed
	// home router and the first totals of the next one.
	maxExtrapolation = 10 * time.Second
	// newHomeDelay is how long a new home router only collects reports before it sends totals.
	newHomeDelay = 500 * time.Millisecond
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Self clementinewind.Session
	// Home returns the home router of an account among the current sessions. It must be cheap; the result is cached until
	// SetSessions.
	Home func(key Key) clementinewind.Session
	// Weight returns the weight of an organisation in the settings; nil means 1. The home router divides changes of a total
	// by it to compare them with the quanta.
	Weight func(key Key) float64
	// Send enqueues a message to another router. It must not block.
	Send func(session clementinewind.Session, service *peerv1.Service)
	// Quantum, FineQuantum, Budget and Credit have defaults, which replace 0.
	Quantum     float64
	FineQuantum float64
	Budget      float64
	Credit      float64
}

// Ledger holds the accounts of the organisations with demand at this router, and the totals of the accounts for which
// this is the home router.
type Ledger struct {
	config       LedgerConfig
	accounts     map[Key]*account
	totals       map[Key]*total
	virtualTimes map[clementinewind.Pool]float64
	lastTick     time.Time
}

// account is the service of one organisation in one pool as this router knows it. Amounts are in tokens.
type account struct {
	weight float64
	// known is the last total of the fleet, plus what this router has reported since.
	known float64
	// unreported is what this router has charged since its last report to the home router.
	unreported float64
	// pending holds the deltas sent that the last total did not include, oldest first; known includes them.
	pending []float64
	// sent counts the deltas sent to the home router, modulo deltaCountRange.
	sent uint32
	// othersRate is the service by the other routers per second according to the last totals; totalAt is when the last one
	// arrived. If totals stop, the home router may have failed, and the service is extrapolated at this rate.
	othersRate float64
	totalAt    time.Time
	// unreportedRaise is by how much raiseAccount has raised known since the last report to the home router.
	unreportedRaise float64
	// homeUninformed means that the next report must include known, because the home router may not have it.
	homeUninformed bool
	active         bool
	// holds counts the requests in progress, whose charges may still be corrected.
	holds     int
	idleSince time.Time
	home      clementinewind.Session
}

func (account *account) tag(now time.Time) float64 {
	extrapolated := max(min(now.Sub(account.totalAt), maxExtrapolation)-extrapolateAfter, 0).Seconds()
	return (account.known + account.unreported + account.othersRate*extrapolated) / account.weight
}

// total is the sum of all reports on one account at its home router.
type total struct {
	tokens       float64
	collectUntil time.Time
	// sentTotals holds the last total sent to each router where the organisation has demand; -Inf if it may have been lost.
	// deltasSeen holds the number of deltas received from each, modulo deltaCountRange.
	sentTotals map[clementinewind.Session]float64
	deltasSeen map[clementinewind.Session]uint32
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

// Activate opens the account of an organisation that has demand, or makes an idle one active. The tag becomes the highest
// of the given one, its previous value and the virtual time of the pool (less the credit, if the account was active).
func (ledger *Ledger) Activate(key Key, weight, tag float64, now time.Time) {
	entry := ledger.openAccount(key, weight, now)
	floor := ledger.virtualTimes[key.Pool]
	if entry.active {
		floor -= ledger.config.Credit
	}
	entry.active = true
	if math.IsInf(tag, 0) || math.IsNaN(tag) {
		tag = floor
	}
	ledger.raiseAccount(entry, max(floor, tag), now)
}

// Open opens the account of an organisation whose request is served without waiting. Its tag is not raised.
func (ledger *Ledger) Open(key Key, weight float64, now time.Time) {
	ledger.openAccount(key, weight, now)
}

func (ledger *Ledger) openAccount(key Key, weight float64, now time.Time) *account {
	entry := ledger.accounts[key]
	if entry == nil {
		entry = &account{home: ledger.config.Home(key), homeUninformed: true, totalAt: now, idleSince: now}
		ledger.accounts[key] = entry
	}
	weight = normalWeight(weight)
	if entry.weight != weight {
		// The tag stays the same, so a change of weight affects future service only.
		ratio := weight / cmp.Or(entry.weight, weight)
		entry.known *= ratio
		entry.unreported *= ratio
		entry.weight = weight
		entry.homeUninformed = true
	}
	return entry
}

// raiseAccount raises the tag of an account to at least the given one.
func (*Ledger) raiseAccount(entry *account, tag float64, now time.Time) {
	if missing := tag - entry.tag(now); missing > 0 {
		entry.known += missing * entry.weight
		entry.unreportedRaise += missing * entry.weight
	}
}

// Deactivate records that an organisation has no more demand at this router.
func (ledger *Ledger) Deactivate(key Key, now time.Time) {
	if entry := ledger.accounts[key]; entry != nil && entry.active {
		entry.active = false
		entry.idleSince = now
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

// Release undoes one Hold.
func (ledger *Ledger) Release(key Key) {
	if entry := ledger.accounts[key]; entry != nil && entry.holds > 0 {
		entry.holds--
	}
}

// Tag returns the tag of an organisation, in tokens per unit of weight. Without an account it is the virtual time.
func (ledger *Ledger) Tag(key Key, now time.Time) float64 {
	if entry := ledger.accounts[key]; entry != nil {
		return entry.tag(now)
	}
	return ledger.virtualTimes[key.Pool]
}

// VirtualTime returns the virtual time of a pool: the least tag that an organisation has when it becomes active.
func (ledger *Ledger) VirtualTime(pool clementinewind.Pool) float64 {
	return ledger.virtualTimes[pool]
}

// Advance moves the virtual time of a pool forward to a tag, never back.
func (ledger *Ledger) Advance(pool clementinewind.Pool, tag float64) {
	ledger.virtualTimes[pool] = max(ledger.virtualTimes[pool], tag)
}

// Handle handles a report or a total from another router. It returns the key and whether the tag of its account has
// changed here.
func (ledger *Ledger) Handle(session clementinewind.Session, service *peerv1.Service, now time.Time) (Key, bool) {
	key := Key{Pool: clementinewind.Pool(service.Pool), Organisation: clementinewind.Organisation(service.Organisation)}
	if math.IsNaN(service.Tokens) || math.IsInf(service.Tokens, 0) {
		return key, false
	}
	if service.Interested || !service.Total {
		// This is a report. It is accepted even if this router does not know that it is the home router, because other
		// routers may learn that earlier.
		ledger.addReport(key, session, service, now)
		return key, false
	}
	entry := ledger.accounts[key]
	if entry == nil || entry.home != session {
		return key, false
	}
	return key, ledger.applyTotal(entry, service.Tokens, service.Seen, now)
}

// applyTotal updates an account with the total of its home router, and adds the deltas that the total does not include.
func (*Ledger) applyTotal(entry *account, tokens float64, seen uint32, now time.Time) bool {
	missing := min(int((entry.sent-seen)%deltaCountRange), len(entry.pending))
	entry.pending = slices.Delete(entry.pending, 0, len(entry.pending)-missing)
	for _, delta := range entry.pending {
		tokens += delta
	}
	if entry.homeUninformed || entry.unreportedRaise > 0 {
		tokens = max(tokens, entry.known)
	}
	if elapsed := now.Sub(entry.totalAt).Seconds(); elapsed > 0 {
		sample := max(tokens-entry.known, 0) / elapsed
		share := min(elapsed/othersRateWindow.Seconds(), 1)
		entry.othersRate += (sample - entry.othersRate) * share
	}
	changed := tokens != entry.known
	entry.known = tokens
	entry.totalAt = now
	return changed
}

// addReport adds a report to the total at the home router.
func (ledger *Ledger) addReport(key Key, session clementinewind.Session, service *peerv1.Service, now time.Time) {
	sum := ledger.totals[key]
	if sum == nil {
		sum = &total{
			collectUntil: now.Add(newHomeDelay),
			sentTotals:   make(map[clementinewind.Session]float64),
			deltasSeen:   make(map[clementinewind.Session]uint32),
		}
		ledger.totals[key] = sum
	}
	if service.Total {
		sum.tokens = max(sum.tokens, service.Tokens)
		sum.deltasSeen[session] = 0
	} else {
		sum.tokens += service.Tokens
		sum.deltasSeen[session] = (sum.deltasSeen[session] + 1) % deltaCountRange
	}
	if !service.Interested {
		delete(sum.sentTotals, session)
		delete(sum.deltasSeen, session)
		return
	}
	if service.Total {
		sum.sentTotals[session] = service.Tokens
	}
}

// SetSessions sets the live routers. Accounts whose home router changed will be reported to the new one.
func (ledger *Ledger) SetSessions(sessions []clementinewind.Session) {
	for key, entry := range ledger.accounts {
		if home := ledger.config.Home(key); home != entry.home {
			entry.home = home
			entry.homeUninformed = true
		}
	}
	for key, sum := range ledger.totals {
		for session := range sum.sentTotals {
			if !slices.Contains(sessions, session) {
				delete(sum.sentTotals, session)
				delete(sum.deltasSeen, session)
			}
		}
		if len(sum.sentTotals) == 0 {
			delete(ledger.totals, key)
		}
	}
}

// SetSelf replaces the session of this router.
func (ledger *Ledger) SetSelf(session clementinewind.Session) {
	ledger.config.Self = session
}

// Connected must be called when the link to a router is established again, because messages to it may have been lost.
func (ledger *Ledger) Connected(session clementinewind.Session) {
	for _, entry := range ledger.accounts {
		if entry.home == session {
			entry.homeUninformed = true
		}
	}
	for _, sum := range ledger.totals {
		if _, interested := sum.sentTotals[session]; interested {
			sum.sentTotals[session] = math.Inf(-1)
		}
	}
}

// message is a report or a total to be sent by Tick.
type message struct {
	key  Key
	send func() int
}

// compareMessages orders messages by key, so that their order does not depend on map iteration.
func compareMessages(a, b message) int {
	return cmp.Or(cmp.Compare(a.key.Pool, b.key.Pool), cmp.Compare(a.key.Organisation, b.key.Organisation))
}

// Tick sends the reports and totals that are due: changes of at least a quantum immediately, smaller ones in rounds that
// keep to the budget. It also raises tags that are below the virtual time by more than the credit, and closes idle
// accounts. It returns the keys of accounts whose tag has changed.
func (ledger *Ledger) Tick(now time.Time) []Key {
	round := ledger.roundTime()
	reportDue := now.Truncate(round).After(ledger.lastTick.Truncate(round))
	totalsDue := now.Add(-totalsDelay).Truncate(round).After(ledger.lastTick.Add(-totalsDelay).Truncate(round))
	ledger.lastTick = now
	var messages []message
	var changed []Key
	for key, entry := range ledger.accounts {
		if entry.active {
			if floor := ledger.virtualTimes[key.Pool] - ledger.config.Credit; entry.tag(now) < floor {
				ledger.raiseAccount(entry, floor, now)
				changed = append(changed, key)
			}
		} else if entry.holds == 0 && now.Sub(entry.idleSince) >= idleAccountTimeout {
			ledger.closeAccount(key, entry, now)
			continue
		}
		change := max(math.Abs(entry.unreported), entry.unreportedRaise) / entry.weight
		if entry.homeUninformed {
			change = math.Inf(1)
		}
		if change >= ledger.config.Quantum || reportDue && change >= ledger.config.FineQuantum {
			messages = append(messages, message{key: key, send: func() int {
				return ledger.sendReport(key, entry, now)
			}})
		}
	}
	for key, sum := range ledger.totals {
		if now.Before(sum.collectUntil) {
			continue
		}
		weight := 1.0
		if ledger.config.Weight != nil {
			weight = normalWeight(ledger.config.Weight(key))
		}
		change := 0.0
		for _, sent := range sum.sentTotals {
			change = max(change, math.Abs(sum.tokens-sent)/weight)
		}
		if change >= ledger.config.Quantum || totalsDue && change >= ledger.config.FineQuantum {
			messages = append(messages, message{key: key, send: func() int {
				size, accountChanged := ledger.sendTotals(key, sum, now)
				if accountChanged {
					changed = append(changed, key)
				}
				return size
			}})
		}
	}
	slices.SortFunc(messages, compareMessages)
	for _, message := range messages {
		message.send()
	}
	return changed
}

// roundTime returns the time between rounds. All routers report at the same multiples of it, and the home routers send
// totals totalsDelay later. So all totals have the same age, and the differences between tags, which decide the order, are
// right although each tag is late. Routers with different numbers of accounts may have different rounds, which only loses
// this advantage.
func (ledger *Ledger) roundTime() time.Duration {
	// On average a router sends as many totals as reports, hence the factor 2.
	bytes := float64(2 * reportBytes * len(ledger.accounts))
	round := time.Duration(bytes / ledger.config.Budget * float64(time.Second))
	return max((round + roundTimeStep - 1).Truncate(roundTimeStep), minRoundTime)
}

// sendReport reports an account to its home router and returns the bytes sent.
func (ledger *Ledger) sendReport(key Key, entry *account, now time.Time) int {
	size := 0
	if entry.homeUninformed || entry.unreportedRaise > 0 {
		base := entry.known
		if entry.homeUninformed {
			// A new home router starts from the highest total reported to it, which is the last one of its predecessor. The
			// deltas that this total did not include are sent again.
			for _, delta := range entry.pending {
				base -= delta
				entry.unreported += delta
			}
			entry.known = base
		}
		size += ledger.sendToHome(key, entry, &peerv1.Service{
			Pool: string(key.Pool), Organisation: string(key.Organisation), Interested: true, Total: true, Tokens: base,
		}, now)
		entry.homeUninformed = false
		entry.unreportedRaise = 0
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
	if len(entry.pending) == deltaCountRange {
		// After so many deltas without a total the home router must have failed.
		entry.pending = slices.Delete(entry.pending, 0, 1)
	}
	entry.sent = (entry.sent + 1) % deltaCountRange
	entry.unreported = 0
	return size + ledger.sendToHome(key, entry, service, now)
}

func (ledger *Ledger) sendToHome(key Key, entry *account, service *peerv1.Service, now time.Time) int {
	if entry.home == ledger.config.Self {
		ledger.addReport(key, ledger.config.Self, service, now)
		return 0
	}
	ledger.config.Send(entry.home, service)
	return proto.Size(service)
}

// sendTotals sends the total of an account to all routers where the organisation has demand, at the same time, so that
// they agree. It returns the bytes sent and whether the account of this router has changed.
func (ledger *Ledger) sendTotals(key Key, sum *total, now time.Time) (int, bool) {
	size, changed := 0, false
	for _, session := range slices.Sorted(maps.Keys(sum.sentTotals)) {
		sum.sentTotals[session] = sum.tokens
		if session == ledger.config.Self {
			if entry := ledger.accounts[key]; entry != nil && entry.home == session {
				changed = ledger.applyTotal(entry, sum.tokens, sum.deltasSeen[session], now)
			}
			continue
		}
		service := &peerv1.Service{
			Pool: string(key.Pool), Organisation: string(key.Organisation), Tokens: sum.tokens, Total: true,
			Seen: sum.deltasSeen[session],
		}
		ledger.config.Send(session, service)
		size += proto.Size(service)
	}
	return size, changed
}

// closeAccount reports the unreported rest of an idle account and deletes it.
func (ledger *Ledger) closeAccount(key Key, entry *account, now time.Time) {
	delete(ledger.accounts, key)
	ledger.sendToHome(key, entry, &peerv1.Service{
		Pool: string(key.Pool), Organisation: string(key.Organisation), Tokens: entry.unreported,
	}, now)
	if sum := ledger.totals[key]; sum != nil && len(sum.sentTotals) == 0 {
		delete(ledger.totals, key)
	}
}
