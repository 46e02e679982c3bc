package relay

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/canary"
)

// placeAtVersion places a request at an upstream of a version that may get it, of several versions at the preferred one if it takes the
// request.
func (exchange *exchange) placeAtVersion(request board.Request, now time.Time) (*board.Ticket, time.Duration) {
	rollouts := exchange.relay.config.Rollouts
	choices := rollouts.Choices(request.Service, len(exchange.tried) > 0, now)
	if len(choices) == 0 {
		choices = []func(string) bool{nil}
	}
	var wait time.Duration
	for _, versions := range choices {
		request.Versions = exchange.servingVersions(versions)
		ticket, left := exchange.relay.config.Board.Place(request, now)
		if ticket != nil {
			ticket.Observer = rollouts.Record(canary.Sent{
				Route: exchange.route.Name, Entry: ticket.Entry, UncachedTokens: ticket.UncachedTokens, Cold: ticket.Cold,
			}, now)
			return ticket, 0
		}
		wait = left
	}
	return nil, wait
}
