package relay

import (
	"context"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	loadLogInterval = time.Second
	// maxLoggedOrganisations limits the log lines per interval; the organisations with the most requested tokens come first.
	maxLoggedOrganisations = 4
)

// recordDemand counts requested tokens in the fair shares and in the ledger.
func (relay *Relay) recordDemand(organisation clementinewind.Organisation, tokens float64, at time.Time) {
	relay.config.Shares.AddRequested(organisation, tokens, at)
	relay.ledger.Add(organisation, usage.PartAsked, tokens)
}

// LogLoad logs each second, until ctx ends, how many tokens the organisations with the most demand requested, and how many of
// them were served, refused or late. It logs an organisation only if some of its tokens were refused or late, or if capacity is
// scarce. It also logs what holds the memory, if the limit acted.
func (relay *Relay) LogLoad(ctx context.Context) error {
	var logged bound.State
	for {
		if err := pause.For(ctx, loadLogInterval); err != nil {
			return err
		}
		now := time.Now()
		if state := relay.memory.State(); state.Evictions != logged.Evictions || state.Shortages != logged.Shortages {
			logged = state
			relay.config.Logger.Warn("memory limit acted", "Limit", state.Limit, "Evictions", state.Evictions, "Shortages", state.Shortages,
				"Heads", state.Held[bound.KindHead], "Bodies", state.Held[bound.KindBody], "Uploads", state.Held[bound.KindUpload],
				"Answers", state.Held[bound.KindAnswer], "Streams", state.Held[bound.KindStream])
		}
		for _, account := range relay.ledger.Take(maxLoggedOrganisations) {
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
