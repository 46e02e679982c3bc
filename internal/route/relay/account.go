package relay

import (
	"context"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// accountInterval is how often the ledger is logged.
	accountInterval = time.Second
	// mostAccounts bounds the lines of one interval; organisations that ask for most come first.
	mostAccounts = 4
)

// asked counts what an organisation asked for at the given time, in the shares and in the ledger.
func (relay *Relay) asked(organisation clementinewind.Organisation, tokens float64, at time.Time) {
	relay.config.Shares.AddRequested(organisation, tokens, at)
	relay.ledger.Add(organisation, usage.PartAsked, tokens)
}

// LogLoad logs each second what became of the tokens of the organisations that ask this router for most, while some are refused or there
// is not enough for all, until the context ends.
func (relay *Relay) LogLoad(ctx context.Context) error {
	for {
		if err := pause.For(ctx, accountInterval); err != nil {
			return err
		}
		now := time.Now()
		for _, account := range relay.ledger.Take(mostAccounts) {
			standing, scarce := relay.config.Shares.Standing(account.Organisation, now)
			if account.Refused() == 0 && !scarce {
				continue
			}
			fields := []any{"Organisation", account.Organisation, "Share", standing.Share, "Least", standing.LeastServed}
			for part, tokens := range account.Tokens {
				fields = append(fields, usage.Part(part).String(), int(tokens))
			}
			relay.config.Logger.Warn("organisation load", fields...)
		}
	}
}
