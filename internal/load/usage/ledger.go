package usage

import (
	"cmp"
	"slices"
	"sync"

	"github.com/clementinewind/clementinewind"
)

// Part classifies the tokens of requests by how the requests ended or how far they got.
type Part int

//go:generate stringer -type Part -trimprefix Part -output part_string.go

const (
	// PartAsked counts the tokens of all requests that arrived.
	PartAsked Part = iota
	// PartBegun counts the tokens of requests that an upstream started to answer.
	PartBegun
	// PartOverloaded counts the tokens of requests that were refused because the CPU of the router was overloaded.
	PartOverloaded
	// PartQueued counts the tokens of requests that were refused because no upstream took them within the time that
	// they may wait.
	PartQueued
	// PartAhead counts the tokens of requests that were refused because the organisation was throttled: it got far more
	// than one that waits.
	PartAhead
	// PartStale counts the tokens of requests that were refused because the router did not know yet what changed while
	// its process was paused.
	PartStale
	// PartLate counts the tokens of requests that reached their deadline without an answer.
	PartLate
)

// partCount is the number of values of Part.
const partCount = PartLate + 1

// Account is the token counts of one organisation, indexed by Part.
type Account struct {
	Organisation clementinewind.Organisation
	Tokens       [partCount]float64
}

// Refused returns the tokens of requests that were refused for any reason, or not answered before the deadline.
func (account Account) Refused() float64 {
	refused := 0.0
	for part := PartOverloaded; part < partCount; part++ {
		refused += account.Tokens[part]
	}
	return refused
}

// Ledger counts the tokens of each organisation. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	accounts map[clementinewind.Organisation]*Account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[clementinewind.Organisation]*Account{}} }

// Add adds tokens to a part of an organisation's account.
func (ledger *Ledger) Add(organisation clementinewind.Organisation, part Part, tokens float64) {
	if tokens == 0 {
		return
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	account, ok := ledger.accounts[organisation]
	if !ok {
		account = &Account{Organisation: organisation}
		ledger.accounts[organisation] = account
	}
	account.Tokens[part] += tokens
}

// Take returns at most limit accounts, those that asked for most first, and resets the ledger.
func (ledger *Ledger) Take(limit int) []Account {
	ledger.mutex.Lock()
	accounts := make([]Account, 0, len(ledger.accounts))
	for _, account := range ledger.accounts {
		accounts = append(accounts, *account)
	}
	clear(ledger.accounts)
	ledger.mutex.Unlock()
	slices.SortFunc(accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Tokens[PartAsked], a.Tokens[PartAsked]), cmp.Compare(a.Organisation, b.Organisation))
	})
	return accounts[:min(len(accounts), limit)]
}
