package board

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Due returns when the request becomes overdue.
func (ticket *Ticket) Due() time.Time { return ticket.due }

// Overdue returns by how much the oldest unanswered request of an upstream is overdue.
func (board *Board) Overdue(name clementinewind.Upstream, now time.Time) time.Duration {
	return board.upstreams[name].overdue(now)
}
