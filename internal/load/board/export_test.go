package board

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Due returns when the request becomes overdue.
func (ticket *Ticket) Due() time.Time { return ticket.due }

// Overdue returns by how much the unanswered request of an upstream that was due first is overdue.
func (board *Board) Overdue(name clementinewind.Upstream, now time.Time) time.Duration {
	return board.upstreams[name].overdue(now)
}

// Removed returns the number of removed upstreams that are remembered.
func (board *Board) Removed() int { return len(board.removed) }
