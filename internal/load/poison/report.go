package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

const (
	// spreadTime is how long a change is part of every report, so that the loss of a few does not matter.
	spreadTime = time.Second
	// refreshInterval is the interval at which suspected parts are reported again, for routers that have started or were cut off.
	refreshInterval = time.Second
	// maxReports limits the parts in one call of Reports. The others follow with the next calls.
	maxReports = 48
	// minClearanceGain is by how much a clearance of another router must be later than the known one. Ages grow a little with each
	// router that passes them on, and a clearance must not become later on its way.
	minClearanceGain = 300 * time.Millisecond
)

// Report is what a router knows of a suspected part.
type Report struct {
	Part    prompt.PartHash
	Crashes []Suspicion
	// ClearedAt is when an answer to a prompt with the part last got going; zero if that is not known.
	ClearedAt time.Time
}

// Reports returns what other routers should be told now: recent changes, and everything else at longer intervals.
func (registry *Registry) Reports(now time.Time) []Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.settleLocked(now)
	var due []prompt.PartHash
	for part, known := range registry.suspects {
		changed := now.Sub(known.changedAt) <= spreadTime
		if changed || (len(known.crashes) > 0 && now.Sub(known.sentAt) >= refreshInterval) {
			due = append(due, part)
		}
	}
	slices.SortFunc(due, func(a, b prompt.PartHash) int {
		first, second := registry.suspects[a], registry.suspects[b]
		return cmp.Or(first.sentAt.Compare(second.sentAt), cmp.Compare(len(second.crashes), len(first.crashes)))
	})
	due = due[:min(len(due), maxReports)]
	reports := make([]Report, 0, len(due))
	for _, part := range due {
		known := registry.suspects[part]
		known.sentAt = now
		reports = append(reports, known.report(part))
	}
	return reports
}

// Quarantined returns what is known of the parts in quarantine.
func (registry *Registry) Quarantined(now time.Time) []Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.settleLocked(now)
	reports := make([]Report, 0, len(registry.quarantined))
	for part, known := range registry.quarantined {
		reports = append(reports, known.report(part))
	}
	return reports
}

func (suspect *suspect) report(part prompt.PartHash) Report {
	return Report{Part: part, Crashes: slices.Collect(maps.Values(suspect.crashes)), ClearedAt: suspect.clearedAt}
}

// Merge adds what another router reported.
func (registry *Registry) Merge(reports []Report, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, report := range reports {
		known := registry.suspectLocked(report.Part, now)
		if answeredAt := registry.answered.at(report.Part); answeredAt.After(known.clearedAt) {
			registry.clearLocked(report.Part, known, answeredAt, now)
		}
		if report.ClearedAt.Sub(known.clearedAt) > minClearanceGain {
			registry.clearLocked(report.Part, known, report.ClearedAt, now)
		}
		for _, suspicion := range report.Crashes {
			registry.addLocked(known, suspicion, now)
			if !suspicion.At.After(known.clearedAt) && known.clearedAt.Sub(report.ClearedAt) > minClearanceGain {
				// The other router does not know the clearance.
				known.changedAt = now
			}
		}
	}
	registry.settleLocked(now)
}
