package pick_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
)

func engine(rank, running, queued, cached int) pick.Candidate {
	return pick.Candidate{
		Rank: rank, Slots: 64, Running: running, QueuedTokens: queued, CachedTokens: cached, MemoryTokens: 500_000,
		PerToken: 20 * time.Microsecond, Base: 100 * time.Millisecond, Service: time.Second,
	}
}

// A prompt of 17,000 tokens, 13,000 of which other prompts share.
var quote = pick.Request{Goal: time.Second, InputTokens: 17_000, SharedTokens: 13_000, OutputTokens: 100, Homes: pick.Homes}

func ExampleBest() {
	candidates := []pick.Candidate{engine(0, 20, 8_000, 13_000), engine(1, 2, 0, 0)}
	decision := pick.Best(candidates, quote)
	fmt.Println(decision.Index, decision.UncachedTokens)
	// Output: 0 4000
}

func TestBest(t *testing.T) {
	slow := engine(0, 1, 0, 13_000)
	slow.PerToken *= 10
	failing := engine(0, 1, 0, 13_000)
	failing.FailureRate = 0.5
	mute := engine(0, 1, 0, 13_000)
	mute.Overdue = 2 * time.Second
	full := engine(0, 80, 0, 13_000)
	full.Service = 4 * time.Second
	crowded := engine(0, 1, 0, 13_000)
	crowded.ResidentTokens = 600_000
	crowded.Service = 4 * time.Second
	far := engine(0, 1, 0, 0)
	far.Zone = "far"
	tag := pick.Request{Goal: 1500 * time.Millisecond, InputTokens: 1800, SharedTokens: 500, OutputTokens: 20, Homes: pick.Homes}
	tests := map[string]struct {
		candidates []pick.Candidate
		request    pick.Request
		want       int
	}{
		// Many requests with small shared parts, each read at almost every upstream, take a third of the reading time.
		"the home of a small prefix, although it is busier": {
			[]pick.Candidate{engine(2, 1, 0, 0), engine(0, 40, 0, 500)}, tag, 1,
		},
		"another upstream when the homes of a small prefix are far behind": {
			[]pick.Candidate{engine(0, 20, 150_000, 500), engine(1, 20, 150_000, 500), engine(2, 1, 0, 0)}, tag, 2,
		},
		"the upstream that has the prefix, although it is busier": {
			[]pick.Candidate{engine(1, 1, 0, 0), engine(0, 20, 10_000, 13_000)}, quote, 1,
		},
		// A second copy takes memory and reading time from others, and the first home is on time.
		"the home that has the prefix, not a second one that would be sooner": {
			[]pick.Candidate{engine(0, 20, 30_000, 13_000), engine(1, 2, 0, 0)}, quote, 0,
		},
		"the second home when the first one is far behind": {
			[]pick.Candidate{engine(0, 20, 60_000, 13_000), engine(1, 2, 0, 13_000)}, quote, 1,
		},
		// Copies at every upstream drive each other out of the memories.
		"no third home under a short backlog": {
			[]pick.Candidate{engine(0, 20, 60_000, 13_000), engine(1, 20, 60_000, 13_000), engine(2, 0, 0, 0)}, quote, 0,
		},
		"another upstream when both homes are blocked": {
			[]pick.Candidate{engine(0, 20, 600_000, 13_000), engine(1, 20, 600_000, 13_000), engine(2, 0, 0, 0)}, quote, 2,
		},
		"not a slow upstream":            {[]pick.Candidate{slow, engine(1, 1, 0, 13_000)}, quote, 1},
		"not one that fails half":        {[]pick.Candidate{failing, engine(1, 1, 0, 13_000)}, quote, 1},
		"not one that no longer answers": {[]pick.Candidate{mute, engine(1, 1, 0, 13_000)}, quote, 1},
		"not one without a free slot":    {[]pick.Candidate{full, engine(1, 1, 0, 13_000)}, quote, 1},
		"not one whose memory is full":   {[]pick.Candidate{crowded, engine(1, 1, 0, 13_000)}, quote, 1},
		"the own zone among equals":      {[]pick.Candidate{far, engine(0, 1, 0, 0)}, pick.Request{Goal: time.Second}, 1},
		"none":                           {nil, quote, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, pick.Best(test.candidates, test.request).Index, quicktest.Equals, test.want)
		})
	}
}

func TestHomesFor(t *testing.T) {
	quicktest.Check(t, pick.HomesFor(0), quicktest.Equals, pick.Homes)
	quicktest.Check(t, pick.HomesFor(0.6), quicktest.Equals, pick.Homes)
	quicktest.Check(t, pick.HomesFor(2.6), quicktest.Equals, 8)
}

func TestPatience(t *testing.T) {
	goal := time.Second
	// An organisation that got hardly anything waits behind the queue of the others.
	quicktest.Check(t, pick.MaxLatency(goal, 0.05), quicktest.Equals, 3*goal)
	quicktest.Check(t, pick.MaxLatency(goal, 0.4) > goal, quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 0.5), quicktest.Equals, goal)
	// Of two organisations below and at their share, the one that was served less waits longer.
	quicktest.Check(t, pick.MaxLatency(goal, 1) < pick.MaxLatency(goal, 0.7), quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 1.2) < pick.MaxLatency(goal, 1), quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 50), quicktest.Equals, 100*time.Millisecond)
}

// Guards against prompts that are never served because their own reading takes longer than the goal.
func TestLateOfLargePrompt(t *testing.T) {
	large := pick.Request{Goal: time.Second, InputTokens: 60_000}
	idle := pick.Best([]pick.Candidate{engine(0, 0, 0, 0)}, large)
	quicktest.Check(t, idle.Expected > time.Second, quicktest.IsTrue)
	quicktest.Check(t, pick.Late(idle, time.Second) <= 0, quicktest.IsTrue)
	busy := pick.Best([]pick.Candidate{engine(0, 0, 100_000, 0)}, large)
	quicktest.Check(t, pick.Late(busy, time.Second) > 0, quicktest.IsTrue)
}

// Guards against an estimate that falls when there is more work ahead.
func TestExpectGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queued := rapid.IntRange(0, 1_000_000).Draw(t, "queued")
		running := rapid.IntRange(0, 200).Draw(t, "running")
		cached := rapid.IntRange(0, 13_000).Draw(t, "cached")
		less := pick.Expect(engine(0, running, queued, cached), quote)
		more := pick.Expect(engine(0, running+1, queued+1000, cached), quote)
		if more < less {
			t.Fatalf("%v with more work, %v with less", more, less)
		}
	})
}

// Guards against an organisation that pauses although it got no more than its share, or about as much as the others.
func TestSurplus(t *testing.T) {
	const window = 2 * time.Second
	for _, test := range []struct {
		name         string
		share, least float64
		pauses       bool
	}{
		{"below its share", 0.9, 0, false},
		{"its share, another one got nothing", 1, 0, false},
		{"above its share, so are all", 1.2, 1, false},
		{"a little above another one", 1.1, 0.9, false},
		{"half as much again as another one", 1.1, 0.75, true},
		{"far above another one", 1.3, 0.6, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			standing := usage.Standing{Share: test.share, LeastServed: test.least, Window: window}
			quicktest.Check(t, pick.ThrottleTime(standing) > 0, quicktest.Equals, test.pauses)
		})
	}
	// After the pause it is no longer far ahead.
	standing := usage.Standing{Share: 2, LeastServed: 0.5, Window: window}
	standing.Share *= math.Exp(-pick.ThrottleTime(standing).Seconds() / window.Seconds())
	quicktest.Check(t, pick.ThrottleTime(standing) < time.Microsecond, quicktest.IsTrue)
}

// Replays the window that broke the rule on globos-lima-grown scale-1: the callers of one organisation stay with a router that serves 0.75
// of the 8 million tokens a second that they ask for, and another organisation, which asked for little before, asks for 2.2 million a second
// at routers with time to spare, before upstreams with room. Guards against one that gets more than twice as much in any six seconds.
func TestCrowdedOrganisationIsNotLeftBehind(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		window = int(6 * time.Second / step)
		report = 800 * time.Millisecond
		onset  = int(6 * time.Second / step)
	)
	start := time.Now()
	mine, far := usage.NewShares(4*time.Second), usage.NewShares(4*time.Second)
	var crowded, other []float64
	total := func(tokens []float64) (sum float64) {
		for _, each := range tokens[max(len(tokens)-window, 0):] {
			sum += each
		}
		return sum
	}
	for tick := range 4 * onset {
		now := start.Add(time.Duration(tick) * step)
		far.AddRequested("crowded", 80_000, now)
		far.AddServed("crowded", 7_500, now)
		crowded = append(crowded, 7_500)
		if tick%int(report/step) == 0 {
			mine.SetPeer(usage.Source{Instance: "far"}, far.LocalReport(now), now)
		}
		// Small organisations get all that they ask for.
		for _, small := range []clementinewind.Organisation{"a", "b", "c", "d"} {
			mine.AddRequested(small, 4_000, now)
			mine.AddServed(small, 4_000, now)
		}
		asked := 3_500.0
		if tick >= onset {
			asked = 22_000
		}
		mine.AddRequested("other", asked, now)
		if standing, scarce := mine.Standing("other", now); scarce && pick.ThrottleTime(standing) > 0 {
			asked = 0
		}
		mine.AddServed("other", asked, now)
		if other = append(other, asked); tick > onset {
			quicktest.Assert(t, 2*total(crowded) >= total(other), quicktest.IsTrue,
				quicktest.Commentf("%.0f of %.0f after %v", total(crowded), total(other), time.Duration(tick)*step))
		}
	}
	quicktest.Check(t, total(other) >= total(crowded), quicktest.IsTrue)
}
