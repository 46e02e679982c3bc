package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

const (
	// quarantineCrashes is the number of crashes after which a part is put into quarantine. Crashes within crashSpacing count once,
	// because upstreams that fail together have a cause in common that is not a prompt.
	quarantineCrashes = 3
	crashSpacing      = 300 * time.Millisecond
	// A part that was answered within recentAnswerTime needs one crash more: it may have been part of the same prompts as several
	// poisoned parts.
	recentAnswerTime = 10 * time.Second
	// clearanceTime is the shortest time between the first crash and the quarantine. Clearances of other routers arrive within it.
	clearanceTime = time.Second
	// suspicionTime is how long a crash counts against a part that is not in quarantine.
	suspicionTime = 2 * time.Minute
	// minQuarantine is how long a part stays in quarantine after its last crash; each further crash doubles it up to maxQuarantine.
	minQuarantine = 5 * time.Minute
	maxQuarantine = 80 * time.Minute
	// probeTime is the time after a quarantine in which the owner of a part lets a request with it pass. Without any such request the
	// part is forgotten then.
	probeTime = 5 * time.Minute
	// sweepInterval is the time between two searches for outdated entries.
	sweepInterval = time.Second
)

// settleLocked brings the quarantines up to date. What another router reported may have led to a quarantine long ago, so that it is
// judged before it expires.
func (registry *Registry) settleLocked(now time.Time) {
	if registry.unsettled {
		registry.unsettled = false
		registry.quarantineLocked(now)
	}
	if now.Sub(registry.sweptAt) > sweepInterval {
		registry.sweptAt = now
		registry.expireLocked(now)
	}
}

// quarantineLocked puts parts into quarantine, and extends the quarantine of those that were suspected again.
func (registry *Registry) quarantineLocked(now time.Time) {
	for _, part := range registry.bySuspicionLocked() {
		known := registry.suspects[part]
		counted := registry.countedLocked(known)
		separate, required := separateCrashes(counted), quarantineCrashes
		if !known.clearedAt.IsZero() && now.Sub(known.clearedAt) < recentAnswerTime {
			required++
		}
		_, quarantined := registry.quarantined[part]
		switch {
		case separate < quarantineCrashes || (!quarantined && registry.explainedLocked(part, known, nil)):
			continue
		case !quarantined && (separate < required || now.Sub(counted[0].At) < clearanceTime):
			registry.unsettled = true
			continue
		}
		duration := min(minQuarantine<<min(separate-quarantineCrashes, 8), maxQuarantine)
		known.quarantinedUntil = counted[len(counted)-1].At.Add(duration)
		if !quarantined {
			registry.quarantined[part], known.changedAt = known, now
			registry.config.Logger.Warn("prompt part in quarantine", "Part", part, "Crashes", len(counted), "For", duration)
			if registry.config.OnQuarantine != nil {
				go registry.config.OnQuarantine()
			}
		}
	}
}

// bySuspicionLocked returns the parts that were suspected often enough for a quarantine, the most likely causes first.
func (registry *Registry) bySuspicionLocked() []prompt.PartHash {
	var parts []prompt.PartHash
	for part, known := range registry.suspects {
		if len(known.crashes) >= quarantineCrashes {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b prompt.PartHash) int {
		first, second := registry.suspects[a], registry.suspects[b]
		return cmp.Or(first.clearedAt.Compare(second.clearedAt), cmp.Compare(len(second.crashes), len(first.crashes)))
	})
	return parts
}

// countedLocked returns the crashes of which a part is suspected, by time. A crash for which there are requests with a response
// header does not count against a part of requests that waited.
func (registry *Registry) countedLocked(known *suspect) []Suspicion {
	var counted []Suspicion
	for _, crash := range known.crashes {
		if crash.Answering || !registry.answering[crash.Crash] {
			counted = append(counted, crash)
		}
	}
	slices.SortFunc(counted, func(a, b Suspicion) int { return a.At.Compare(b.At) })
	return counted
}

// separateCrashes returns the number of crashes, of which those within crashSpacing after the first of them count once.
func separateCrashes(crashes []Suspicion) int {
	count := 0
	var first time.Time
	for _, crash := range crashes {
		if count == 0 || crash.At.Sub(first) > crashSpacing {
			count++
			first = crash.At
		}
	}
	return count
}

// explainedLocked reports whether a part is suspected only because it was often part of the same prompts as another one, which is in
// quarantine and not among the held parts. That is so if the other one is suspected of all crashes of the part and of more, or if only
// the part was ever answered.
func (registry *Registry) explainedLocked(part prompt.PartHash, known *suspect, held []prompt.PartHash) bool {
	crashes := registry.countedLocked(known)
	for other, candidate := range registry.quarantined {
		if other == part || slices.Contains(held, other) {
			continue
		}
		explaining := registry.countedLocked(candidate)
		likelier := len(explaining) > len(crashes) || (!known.clearedAt.IsZero() && candidate.clearedAt.IsZero())
		if likelier && !slices.ContainsFunc(crashes, func(crash Suspicion) bool { return !containsCrash(explaining, crash.Crash) }) {
			return true
		}
	}
	return false
}

func containsCrash(crashes []Suspicion, id CrashID) bool {
	return slices.ContainsFunc(crashes, func(crash Suspicion) bool { return crash.Crash == id })
}

// expireLocked forgets suspicions that led to no quarantine, and parts whose quarantine ended without a request with them.
func (registry *Registry) expireLocked(now time.Time) {
	for part, known := range registry.suspects {
		if _, ok := registry.quarantined[part]; ok {
			if now.Sub(known.quarantinedUntil) > probeTime {
				registry.config.Logger.Info("prompt part forgotten", "Part", part)
				delete(registry.suspects, part)
				delete(registry.quarantined, part)
			}
			continue
		}
		maps.DeleteFunc(known.crashes, func(_ CrashID, crash Suspicion) bool { return now.Sub(crash.At) > suspicionTime })
		if len(known.crashes) == 0 && now.Sub(known.changedAt) > suspicionTime {
			delete(registry.suspects, part)
		}
	}
	suspectedOf := map[CrashID]bool{}
	for _, known := range registry.suspects {
		for id := range known.crashes {
			suspectedOf[id] = true
		}
	}
	maps.DeleteFunc(registry.answering, func(id CrashID, _ bool) bool { return !suspectedOf[id] })
}
