package poison

import (
	"time"

	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

// recentParts holds when parts were last answered. It forgets those that were not answered for longest, half of them at a time.
type recentParts struct {
	capacity int
	newer    map[prompt.PartHash]time.Time
	older    map[prompt.PartHash]time.Time
}

func newRecentParts(capacity int) recentParts {
	return recentParts{capacity: capacity, newer: map[prompt.PartHash]time.Time{}}
}

func (recentParts *recentParts) add(part prompt.PartHash, at time.Time) {
	if len(recentParts.newer) >= recentParts.capacity/2 {
		recentParts.newer, recentParts.older = map[prompt.PartHash]time.Time{}, recentParts.newer
	}
	recentParts.newer[part] = at
}

// at returns when a part was last answered; the zero time means never or too long ago.
func (recentParts *recentParts) at(part prompt.PartHash) time.Time {
	if at, ok := recentParts.newer[part]; ok {
		return at
	}
	return recentParts.older[part]
}
