package board

import (
	"maps"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// maxRemoved limits how many removed upstreams are remembered.
	maxRemoved = 1024
	// removedTTL is how long a removed upstream is remembered that has announced nothing. It is longer than any outage of the platform's
	// store after which entries come back.
	removedTTL = time.Minute
)

// rememberLocked keeps the state of a removed upstream. Its process may go on running, and its entry may come back.
func (board *Board) rememberLocked(removed *upstream, now time.Time) {
	if len(board.removed) >= maxRemoved {
		board.forgetOldestLocked()
	}
	removed.removedAt = now
	board.removed[removed.entry.Upstream] = removed
}

func (board *Board) forgetOldestLocked() {
	var oldest clementinewind.Upstream
	for name, upstream := range board.removed {
		if oldest == "" || upstream.removedAt.Before(board.removed[oldest].removedAt) {
			oldest = name
		}
	}
	delete(board.removed, oldest)
}

// recallLocked returns the state of the upstream with an entry. If the entry is that of a removed process, its state goes on, and in another
// service at least what the process announced. A new process counts as cold for as long as the one before it, until an entry says how long
// it is cold itself.
func (board *Board) recallLocked(entry table.Entry, settings table.ServiceSettings) *upstream {
	known, ok := board.removed[entry.Upstream]
	delete(board.removed, entry.Upstream)
	switch {
	case !ok:
		return newUpstream(entry, settings)
	case known.entry.Incarnation != entry.Incarnation:
		restarted := newUpstream(entry, settings)
		if known.entry.Service == entry.Service {
			restarted.coldState = known.coldState
		}
		return restarted
	case known.entry.Service != entry.Service:
		moved := newUpstream(entry, settings)
		moved.announcement = known.announcement
		return moved
	default:
		return known
	}
}

// pruneRemovedLocked forgets removed upstreams whose entries are not expected back, unless they announced something that still holds.
func (board *Board) pruneRemovedLocked(now time.Time) {
	maps.DeleteFunc(board.removed, func(_ clementinewind.Upstream, upstream *upstream) bool {
		if now.Sub(upstream.removedAt) <= removedTTL {
			return false
		}
		upstream.prefixes.Clear()
		return !upstream.saidLeaving && !now.Before(upstream.pausedUntil)
	})
}
