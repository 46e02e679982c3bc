package head_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/fleet/head"
)

var start = time.Unix(1000, 0)

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

// Guards against a head that is overloaded by callers, so that its zone learns of everything late.
func TestOverloadedRoutersComeLast(t *testing.T) {
	overloaded := candidates()
	overloaded[2].Overloaded = true
	quicktest.Check(t, string(head.Rank(overloaded)[0].Instance), quicktest.Equals, "large-2")
	for i := range overloaded {
		overloaded[i].Overloaded = true
	}
	quicktest.Check(t, string(head.Rank(overloaded)[0].Instance), quicktest.Equals, "large-1")
}

func newDetector() *head.Detector {
	return head.NewDetector(head.DetectorConfig{Timeout: 700 * time.Millisecond, RetryInterval: 5 * time.Second})
}

// headSeenBySmall1 returns the router that small-1 considers the head.
func headSeenBySmall1(detector *head.Detector, candidates []head.Candidate, at time.Duration) string {
	return string(detector.RankUsable(candidates, "small-1", start.Add(at))[0].Instance)
}

// Guards against a zone that waits for a failed head, and then for a failed standby.
func TestSilentHeadsAreSkipped(t *testing.T) {
	detector := newDetector()
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 0), quicktest.Equals, "large-1")
	detector.RecordAlive("large-1", start.Add(500*time.Millisecond))
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), time.Second), quicktest.Equals, "large-1")
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 1300*time.Millisecond), quicktest.Equals, "large-2")
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 2100*time.Millisecond), quicktest.Equals, "small-1")
	// The router itself is never suspected, and one that is heard again becomes the head at once.
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 4*time.Second), quicktest.Equals, "small-1")
	detector.RecordAlive("large-2", start.Add(4*time.Second))
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 4*time.Second), quicktest.Equals, "large-2")
}

// Guards against a head that is skipped forever after a restart or after a long silence.
func TestHeadIsRetried(t *testing.T) {
	detector := newDetector()
	headSeenBySmall1(detector, candidates(), 0)
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), time.Second), quicktest.Equals, "large-2")
	restarted := candidates()
	restarted[2].Incarnation = 2
	quicktest.Check(t, headSeenBySmall1(detector, restarted, 1200*time.Millisecond), quicktest.Equals, "large-1")
	// One that is not restarted is tried again after the retry interval.
	detector = newDetector()
	headSeenBySmall1(detector, candidates(), 0)
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), time.Second), quicktest.Equals, "large-2")
	detector.RecordAlive("large-2", start.Add(6*time.Second))
	quicktest.Check(t, headSeenBySmall1(detector, candidates(), 6500*time.Millisecond), quicktest.Equals, "large-1")
}
