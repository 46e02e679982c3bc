package relay

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/platform"
)

// Results of reports of load, as metrics name them.
const (
	reportApplied   = "Applied"
	reportOutdated  = "Outdated"
	reportUnused    = "Unused"
	reportMalformed = "Malformed"
)

// recordReport records what an answer says of the load of its upstream. A malformed report changes nothing.
func (exchange *exchange) recordReport(ticket *board.Ticket, decoded platform.Response) {
	result := reportMalformed
	switch load := decoded.Load; {
	case load != nil && exchange.service.Engine != nil:
		// Engines are chosen by what the routers know of their prompts.
		result = reportUnused
	case load != nil:
		result = reportOutdated
		report := board.Report{Running: load.Running, Waiting: load.Waiting, Pace: load.Pace}
		if ticket.Report(report, time.Now()) {
			result = reportApplied
		}
	case !decoded.LoadMalformed:
		return
	}
	exchange.relay.config.Meter.LoadReport(exchange.service.Name, result)
}
