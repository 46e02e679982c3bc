package usage

import (
	"cmp"
	"slices"
	"sync"

	"github.com/clementinewind/clementinewind"
)

// Part is what became of tokens that an organisation asked a router for.
type Part int

//go:generate stringer -type Part -trimprefix Part -output part_string.go

const (
	// PartAsked are the tokens of all requests that arrived.
	PartAsked Part = iota
	// PartBegun are the tokens of requests that an upstream began to answer.
	PartBegun
	// PartOverloaded are the tokens of requests that were refused because the processor is not enough.
	PartOverloaded
	// PartQueued are the tokens of requests that were refused because no upstream took them in the time that they may wait.
	PartQueued
	// PartAhead are the tokens of requests that were refused because the organisation got far more than one that waits.
	PartAhead
	// PartStale are the tokens of requests that were refused because the router did not know yet what changed while it did not run.
	PartStale
	// PartLate are the tokens of requests that ended at their deadline without an answer.
	PartLate
)

// parts is the number of values of Part.
const parts = PartLate + 1

// Account is what became of the tokens of one organisation, by Part.
type Account struct {
	Organisation clementinewind.Organisation
	Tokens       [parts]float64
}

// Refused returns the tokens that were refused for any reason.
func (account Account) Refused() float64 {
	refused := 0.0
	for part := PartOverloaded; part < parts; part++ {
		refused += account.Tokens[part]
	}
	return refused
}

// Ledger keeps what became of the tokens of each organisation since it was last taken. Its methods may be called by many goroutines.
type Ledger struct {
	mutex    sync.Mutex
	accounts map[clementinewind.Organisation]*Account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: map[clementinewind.Organisation]*Account{}} }

// Add counts tokens.
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

// Take returns the accounts, those that asked for most first, at most the given number, and empties the ledger.
func (ledger *Ledger) Take(most int) []Account {
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
	return accounts[:min(len(accounts), most)]
}
