package head_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/fleet/head"
)

var began = time.Unix(1000, 0)

func candidates() []head.Candidate {
	return []head.Candidate{
		{Instance: "small-1", Incarnation: 1, Cores: 0.2},
		{Instance: "large-2", Incarnation: 1, Cores: 0.8},
		{Instance: "large-1", Incarnation: 1, Cores: 0.8},
		{Instance: "small-2", Incarnation: 1, Cores: 0.2},
	}
}

func ExampleRank() {
	for _, candidate := range head.Rank(candidates())[:2] {
		fmt.Println(candidate.Instance)
	}
	// Output:
	// large-1
	// large-2
}

// Guards against a head that callers crowd, so that its zone hears of everything late.
func TestBusyRoutersComeLast(t *testing.T) {
	crowded := candidates()
	crowded[2].Overloaded = true
	quicktest.Check(t, string(head.Rank(crowded)[0].Instance), quicktest.Equals, "large-2")
	for i := range crowded {
		crowded[i].Overloaded = true
	}
	quicktest.Check(t, string(head.Rank(crowded)[0].Instance), quicktest.Equals, "large-1")
}

func newWatch() *head.Detector {
	return head.NewDetector(head.DetectorConfig{Timeout: 700 * time.Millisecond, RetryInterval: 5 * time.Second})
}

// first returns the head in the eyes of small-1.
func first(watch *head.Detector, candidates []head.Candidate, at time.Duration) string {
	return string(watch.RankUsable(candidates, "small-1", began.Add(at))[0].Instance)
}

// Guards against a zone that waits for a dead head, and for a dead deputy after it.
func TestSilentHeadsArePassedOver(t *testing.T) {
	watch := newWatch()
	quicktest.Check(t, first(watch, candidates(), 0), quicktest.Equals, "large-1")
	watch.RecordAlive("large-1", began.Add(500*time.Millisecond))
	quicktest.Check(t, first(watch, candidates(), time.Second), quicktest.Equals, "large-1")
	quicktest.Check(t, first(watch, candidates(), 1300*time.Millisecond), quicktest.Equals, "large-2")
	quicktest.Check(t, first(watch, candidates(), 2100*time.Millisecond), quicktest.Equals, "small-1")
	// The router itself is never passed over, and one that is heard again takes its place at once.
	quicktest.Check(t, first(watch, candidates(), 4*time.Second), quicktest.Equals, "small-1")
	watch.RecordAlive("large-2", began.Add(4*time.Second))
	quicktest.Check(t, first(watch, candidates(), 4*time.Second), quicktest.Equals, "large-2")
}

// Guards against a head that is passed over for good after it was restarted.
func TestRestartedHeadIsUsed(t *testing.T) {
	watch := newWatch()
	first(watch, candidates(), 0)
	quicktest.Check(t, first(watch, candidates(), time.Second), quicktest.Equals, "large-2")
	restarted := candidates()
	restarted[2].Incarnation = 2
	quicktest.Check(t, first(watch, restarted, 1200*time.Millisecond), quicktest.Equals, "large-1")
	// One that stays silent is tried again later.
	watch = newWatch()
	first(watch, candidates(), 0)
	quicktest.Check(t, first(watch, candidates(), time.Second), quicktest.Equals, "large-2")
	watch.RecordAlive("large-2", began.Add(6*time.Second))
	quicktest.Check(t, first(watch, candidates(), 6500*time.Millisecond), quicktest.Equals, "large-1")
}
