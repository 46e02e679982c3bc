// Package head decides which routers of a zone collect and pass on what the others tell. It needs no agreement: each router
// decides for itself, and two heads at a time cost datagrams and nothing else.
package head

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
)

// Candidate is a router of a zone that may be its head.
type Candidate struct {
	Instance    clementinewind.Instance
	Incarnation int64
	// Cores is the processor time of its instance.
	Cores float64
	// Overloaded is set while that is not enough for its requests.
	Overloaded bool
}

// Rank returns the candidates, the first of which is the head and the second its deputy: those with most processor time first,
// because a head works for the whole zone, and busy ones last, because what the zone knows would be as late as their answers.
func Rank(candidates []Candidate) []Candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(compareBool(a.Overloaded, b.Overloaded), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Instance, b.Instance))
	})
	return ranked
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// DetectorConfig configures a Watch.
type DetectorConfig struct {
	// Timeout is the time without a digest after which a head is passed over.
	Timeout time.Duration
	// RetryInterval is how long it is passed over unless it is heard.
	RetryInterval time.Duration
}

// Detector notices heads that fell silent. It is not safe for use by many goroutines.
type Detector struct {
	config DetectorConfig
	// expected is the head from which digests are due, and since when.
	expected clementinewind.Instance
	since    time.Time
	suspects map[clementinewind.Instance]suspect
}

type suspect struct {
	incarnation int64
	at          time.Time
}

// NewDetector returns a watch that suspects no router.
func NewDetector(config DetectorConfig) *Detector {
	return &Detector{config: config, suspects: map[clementinewind.Instance]suspect{}}
}

// RecordAlive records a datagram that came from a router itself.
func (watch *Detector) RecordAlive(instance clementinewind.Instance, now time.Time) {
	delete(watch.suspects, instance)
	if instance == watch.expected {
		watch.since = now
	}
}

// RankUsable returns the candidates that are not passed over, ranked. Self is never passed over. The load it answers: the head is
// killed or cut off, and all that its zone knows grows old until another one acts.
func (watch *Detector) RankUsable(candidates []Candidate, self clementinewind.Instance, now time.Time) []Candidate {
	for {
		ranked := Rank(slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
			return candidate.Instance != self && watch.suspected(candidate, now)
		}))
		if len(ranked) == 0 || ranked[0].Instance == self || !watch.overdue(ranked[0], now) {
			return ranked
		}
	}
}

// overdue reports whether the head is silent for too long, and passes it over from then on.
func (watch *Detector) overdue(head Candidate, now time.Time) bool {
	if head.Instance != watch.expected {
		watch.expected, watch.since = head.Instance, now
		return false
	}
	if now.Sub(watch.since) < watch.config.Timeout {
		return false
	}
	watch.suspects[head.Instance] = suspect{incarnation: head.Incarnation, at: now}
	watch.expected = ""
	return true
}

func (watch *Detector) suspected(candidate Candidate, now time.Time) bool {
	found, ok := watch.suspects[candidate.Instance]
	return ok && found.incarnation == candidate.Incarnation && now.Sub(found.at) < watch.config.RetryInterval
}
