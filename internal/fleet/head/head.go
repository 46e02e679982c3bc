// Package head selects the head of a zone: the router that collects the heartbeats of the zone and sends out their totals. There is
// no election. Each router decides for itself, and two heads at a time only cost some datagrams.
package head

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
)

// Candidate is a router of a zone that may become its head.
type Candidate struct {
	Instance    clementinewind.Instance
	Incarnation int64
	// Cores is the CPU capacity of its instance.
	Cores float64
	// Overloaded is set while its CPU is not enough for its requests.
	Overloaded bool
}

// Rank returns the candidates in order, with the head first and its standby second. Those with more CPU come first, because a head
// works for its whole zone. Overloaded ones come last, because the state of the zone would arrive as late as their responses.
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

// DetectorConfig configures a Detector.
type DetectorConfig struct {
	// Timeout is the time without a digest after which a head counts as failed.
	Timeout time.Duration
	// RetryInterval is how long a failed head is skipped, unless it is heard before.
	RetryInterval time.Duration
}

// Detector is a failure detector for zone heads. It is not safe for concurrent use.
type Detector struct {
	config DetectorConfig
	// expectedHead is the head whose digests are awaited, and lastHeard when it was last heard, or when the wait began.
	expectedHead clementinewind.Instance
	lastHeard    time.Time
	suspicions   map[clementinewind.Instance]suspicion
}

type suspicion struct {
	incarnation int64
	suspectedAt time.Time
}

// NewDetector returns a Detector that suspects no router.
func NewDetector(config DetectorConfig) *Detector {
	return &Detector{config: config, suspicions: map[clementinewind.Instance]suspicion{}}
}

// RecordAlive records that a router itself sent a datagram, so that it is no longer suspected.
func (detector *Detector) RecordAlive(instance clementinewind.Instance, now time.Time) {
	delete(detector.suspicions, instance)
	if instance == detector.expectedHead {
		detector.lastHeard = now
	}
}

// RankUsable ranks the candidates that are not suspected of having failed; self never is. When the head is killed or unreachable,
// the state that its zone knows grows stale until another router replaces it.
func (detector *Detector) RankUsable(candidates []Candidate, self clementinewind.Instance, now time.Time) []Candidate {
	for {
		ranked := Rank(slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
			return candidate.Instance != self && detector.suspected(candidate, now)
		}))
		if len(ranked) == 0 || ranked[0].Instance == self || !detector.timedOut(ranked[0], now) {
			return ranked
		}
	}
}

// timedOut reports whether the head has been silent for too long, and suspects it from then on.
func (detector *Detector) timedOut(head Candidate, now time.Time) bool {
	if head.Instance != detector.expectedHead {
		detector.expectedHead, detector.lastHeard = head.Instance, now
		return false
	}
	if now.Sub(detector.lastHeard) < detector.config.Timeout {
		return false
	}
	detector.suspicions[head.Instance] = suspicion{incarnation: head.Incarnation, suspectedAt: now}
	detector.expectedHead = ""
	return true
}

func (detector *Detector) suspected(candidate Candidate, now time.Time) bool {
	found, ok := detector.suspicions[candidate.Instance]
	return ok && found.incarnation == candidate.Incarnation && now.Sub(found.suspectedAt) < detector.config.RetryInterval
}
