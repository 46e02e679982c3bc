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
		PerToken: 20 * time.Microsecond, BaseLatency: 100 * time.Millisecond, ServiceTime: time.Second,
	}
}

// sharedPrompt has 17,000 tokens, 13,000 of which are shared with other prompts.
var sharedPrompt = pick.Request{Goal: time.Second, InputTokens: 17_000, SharedTokens: 13_000, OutputTokens: 100, Copies: pick.MinCopies}

func ExampleBest() {
	candidates := []pick.Candidate{engine(0, 20, 8_000, 13_000), engine(1, 2, 0, 0)}
	decision := pick.Best(candidates, sharedPrompt)
	fmt.Println(decision.Index, decision.UncachedTokens)
	// Output: 0 4000
}

func TestBest(t *testing.T) {
	slow := engine(0, 1, 0, 13_000)
	slow.PerToken *= 10
	failing := engine(0, 1, 0, 13_000)
	failing.FailureRate = 0.5
	unresponsive := engine(0, 1, 0, 13_000)
	unresponsive.Overdue = 2 * time.Second
	slotsFull := engine(0, 80, 0, 13_000)
	slotsFull.ServiceTime = 4 * time.Second
	memoryFull := engine(0, 1, 0, 13_000)
	memoryFull.ResidentTokens = 600_000
	memoryFull.ServiceTime = 4 * time.Second
	otherZone := engine(0, 1, 0, 0)
	otherZone.Zone = "other"
	smallPrefixRequest := pick.Request{Goal: 1500 * time.Millisecond, InputTokens: 1800, SharedTokens: 500, OutputTokens: 20, Copies: pick.MinCopies}
	tests := map[string]struct {
		candidates []pick.Candidate
		request    pick.Request
		want       int
	}{
		// Small shared prefixes take up a third of the prefill time if almost every upstream computes each of them.
		"the preferred upstream of a small prefix, although it is busier": {
			[]pick.Candidate{engine(2, 1, 0, 0), engine(0, 40, 0, 500)}, smallPrefixRequest, 1,
		},
		"another upstream when the preferred upstreams of a small prefix are far behind": {
			[]pick.Candidate{engine(0, 20, 150_000, 500), engine(1, 20, 150_000, 500), engine(2, 1, 0, 0)}, smallPrefixRequest, 2,
		},
		"the upstream that has the prefix, although it is busier": {
			[]pick.Candidate{engine(1, 1, 0, 0), engine(0, 20, 10_000, 13_000)}, sharedPrompt, 1,
		},
		// A second copy would take memory and prefill time from others, and the upstream that has the prefix meets the goal.
		"the preferred upstream that has the prefix, not another one that would be sooner": {
			[]pick.Candidate{engine(0, 20, 30_000, 13_000), engine(1, 2, 0, 0)}, sharedPrompt, 0,
		},
		"the second preferred upstream when the first one is far behind": {
			[]pick.Candidate{engine(0, 20, 60_000, 13_000), engine(1, 2, 0, 13_000)}, sharedPrompt, 1,
		},
		// Copies at every upstream evict each other.
		"no third copy under a short backlog": {
			[]pick.Candidate{engine(0, 20, 60_000, 13_000), engine(1, 20, 60_000, 13_000), engine(2, 0, 0, 0)}, sharedPrompt, 0,
		},
		"another upstream when both preferred ones are blocked": {
			[]pick.Candidate{engine(0, 20, 600_000, 13_000), engine(1, 20, 600_000, 13_000), engine(2, 0, 0, 0)}, sharedPrompt, 2,
		},
		"not a slow upstream":            {[]pick.Candidate{slow, engine(1, 1, 0, 13_000)}, sharedPrompt, 1},
		"not one that fails half":        {[]pick.Candidate{failing, engine(1, 1, 0, 13_000)}, sharedPrompt, 1},
		"not one that no longer answers": {[]pick.Candidate{unresponsive, engine(1, 1, 0, 13_000)}, sharedPrompt, 1},
		"not one without a free slot":    {[]pick.Candidate{slotsFull, engine(1, 1, 0, 13_000)}, sharedPrompt, 1},
		"not one whose memory is full":   {[]pick.Candidate{memoryFull, engine(1, 1, 0, 13_000)}, sharedPrompt, 1},
		"the same zone among equals":     {[]pick.Candidate{otherZone, engine(0, 1, 0, 0)}, pick.Request{Goal: time.Second}, 1},
		"none":                           {nil, sharedPrompt, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, pick.Best(test.candidates, test.request).Index, quicktest.Equals, test.want)
		})
	}
}

// Guards against refusing an organisation that got little because the preferred upstreams of its prefix are busy, while others have room.
func TestBestAnywhere(t *testing.T) {
	busy := []pick.Candidate{engine(0, 20, 120_000, 13_000), engine(1, 20, 120_000, 13_000), engine(2, 0, 0, 0)}
	request := sharedPrompt
	request.Limit = pick.ShareLimit(time.Second, usage.Standing{Share: 1})
	quicktest.Check(t, pick.Best(busy, request).Index, quicktest.Equals, 0)
	request.Limit = pick.ShareLimit(time.Second, usage.Standing{Share: 0.45})
	chosen := pick.Best(busy, request)
	quicktest.Check(t, chosen.Index, quicktest.Equals, 2)
	quicktest.Check(t, request.Limit.Excess(chosen) <= 0, quicktest.IsTrue)
	// Preferred upstreams within the limit keep the prefix.
	quicktest.Check(t, pick.Best([]pick.Candidate{engine(0, 20, 30_000, 13_000), engine(2, 0, 0, 0)}, request).Index, quicktest.Equals, 0)
}

func TestCopiesFor(t *testing.T) {
	quicktest.Check(t, pick.CopiesFor(0), quicktest.Equals, pick.MinCopies)
	quicktest.Check(t, pick.CopiesFor(0.6), quicktest.Equals, pick.MinCopies)
	quicktest.Check(t, pick.CopiesFor(2.6), quicktest.Equals, 8)
}

func TestMaxLatency(t *testing.T) {
	goal := time.Second
	// An organisation that got hardly anything waits behind the queue of the others.
	quicktest.Check(t, pick.MaxLatency(goal, 0.05), quicktest.Equals, 3*goal)
	quicktest.Check(t, pick.MaxLatency(goal, 0.4) > goal, quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 0.5), quicktest.Equals, goal)
	// Of two organisations up to their share, the one that got less may wait longer.
	quicktest.Check(t, pick.MaxLatency(goal, 1) < pick.MaxLatency(goal, 0.7), quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 1.2) < pick.MaxLatency(goal, 1), quicktest.IsTrue)
	quicktest.Check(t, pick.MaxLatency(goal, 50), quicktest.Equals, 100*time.Millisecond)
}

// Guards against prompts that are never served because their own prefill takes longer than the goal.
func TestExcessLatencyOfLargePrompt(t *testing.T) {
	large := pick.Request{Goal: time.Second, InputTokens: 60_000}
	idle := pick.Best([]pick.Candidate{engine(0, 0, 0, 0)}, large)
	quicktest.Check(t, idle.Expected > time.Second, quicktest.IsTrue)
	quicktest.Check(t, pick.LatencyLimit(time.Second).Excess(idle) <= 0, quicktest.IsTrue)
	busy := pick.Best([]pick.Candidate{engine(0, 0, 100_000, 0)}, large)
	quicktest.Check(t, pick.LatencyLimit(time.Second).Excess(busy) > 0, quicktest.IsTrue)
}

// Guards against an estimate that falls when more work is queued.
func TestExpectedLatencyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queued := rapid.IntRange(0, 1_000_000).Draw(t, "queued")
		running := rapid.IntRange(0, 200).Draw(t, "running")
		cached := rapid.IntRange(0, 13_000).Draw(t, "cached")
		less := pick.ExpectedLatency(engine(0, running, queued, cached), sharedPrompt)
		more := pick.ExpectedLatency(engine(0, running+1, queued+1000, cached), sharedPrompt)
		if more < less {
			t.Fatalf("%v with more work, %v with less", more, less)
		}
	})
}

// Guards against an organisation that returns from idle getting the patience of one that was left waiting.
func TestShareLimitAfterIdle(t *testing.T) {
	waiting := pick.ShareLimit(time.Second, usage.Standing{Share: 0.1})
	quicktest.Check(t, waiting, quicktest.Equals, pick.Limit{Latency: 3 * time.Second, Queue: 1500 * time.Millisecond, Anywhere: true})
	returning := pick.ShareLimit(time.Second, usage.Standing{Share: 0.1, Returning: true})
	quicktest.Check(t, returning, quicktest.Equals, pick.LatencyLimit(time.Second))
	// Above its share it gives way like others.
	quicktest.Check(t, pick.ShareLimit(time.Second, usage.Standing{Share: 1.2, Returning: true}).Latency < time.Second, quicktest.IsTrue)
}

// Guards against throttling an organisation that is within its share, or about level with the others.
func TestThrottleTime(t *testing.T) {
	const timeConstant = 2 * time.Second
	for _, test := range []struct {
		name         string
		share, least float64
		throttled    bool
	}{
		{"below its share", 0.9, 0, false},
		{"its share, another one got nothing", 1, 0, false},
		{"above its share, so are all", 1.2, 1, false},
		{"a little above another one", 1.1, 0.9, false},
		{"half as much again as another one", 1.1, 0.75, true},
		{"far above another one", 1.3, 0.6, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			standing := usage.Standing{Share: test.share, LeastServed: test.least, TimeConstant: timeConstant}
			quicktest.Check(t, pick.ThrottleTime(standing) > 0, quicktest.Equals, test.throttled)
		})
	}
	// After the pause it is no longer far ahead.
	standing := usage.Standing{Share: 2, LeastServed: 0.5, TimeConstant: timeConstant}
	standing.Share *= math.Exp(-pick.ThrottleTime(standing).Seconds() / timeConstant.Seconds())
	quicktest.Check(t, pick.ThrottleTime(standing) < time.Microsecond, quicktest.IsTrue)
}

// Guards against one organisation getting more than twice as many tokens as another in any six seconds. The callers of
// the starved organisation stay with a router that serves 0.75 of the 8 million tokens a second that they ask for. The
// bursting organisation, which asked for little before, asks for 2.2 million tokens a second at routers with time to
// spare, and the upstreams have capacity for it.
func TestThrottleKeepsTwofoldLimit(t *testing.T) {
	const (
		step           = 10 * time.Millisecond
		window         = int(6 * time.Second / step)
		reportInterval = 800 * time.Millisecond
		onset          = int(6 * time.Second / step)
	)
	start := time.Now()
	local, remote := usage.NewShares(4*time.Second), usage.NewShares(4*time.Second)
	var starved, bursting []float64
	windowTotal := func(tokens []float64) (sum float64) {
		for _, each := range tokens[max(len(tokens)-window, 0):] {
			sum += each
		}
		return sum
	}
	for tick := range 4 * onset {
		now := start.Add(time.Duration(tick) * step)
		remote.AddRequested("starved", 80_000, now)
		remote.AddServed("starved", 7_500, now)
		starved = append(starved, 7_500)
		if tick%int(reportInterval/step) == 0 {
			local.SetPeer(usage.Source{Instance: "remote"}, remote.LocalReport(now), now)
		}
		// Small organisations get all that they ask for.
		for _, small := range []clementinewind.Organisation{"a", "b", "c", "d"} {
			local.AddRequested(small, 4_000, now)
			local.AddServed(small, 4_000, now)
		}
		asked := 3_500.0
		if tick >= onset {
			asked = 22_000
		}
		local.AddRequested("bursting", asked, now)
		if standing, scarce := local.Standing("bursting", now); scarce && pick.ThrottleTime(standing) > 0 {
			asked = 0
		}
		local.AddServed("bursting", asked, now)
		if bursting = append(bursting, asked); tick > onset {
			quicktest.Assert(t, 2*windowTotal(starved) >= windowTotal(bursting), quicktest.IsTrue,
				quicktest.Commentf("%.0f of %.0f after %v", windowTotal(starved), windowTotal(bursting), time.Duration(tick)*step))
		}
	}
	quicktest.Check(t, windowTotal(bursting) >= windowTotal(starved), quicktest.IsTrue)
}

// Guards against idle upstreams beside refusals: only organisations far ahead of one that cannot use the room pause.
func TestPauseTime(t *testing.T) {
	for _, test := range []struct {
		name           string
		share          float64
		least, blocked float64
		paused         bool
	}{
		{"within its share", 1, 0.1, 0.1, false},
		{"ahead of one that waits for upstreams", 1.1, 0.8, math.Inf(1), false},
		{"far ahead of one that waits for upstreams", 1.5, 0.8, math.Inf(1), true},
		{"ahead of one whose requests are lost at its router", 1.2, 0.8, 0.8, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			standing := usage.Standing{Share: test.share, LeastServed: test.least, LeastBlocked: test.blocked, TimeConstant: time.Second}
			quicktest.Check(t, pick.PauseTime(standing) > 0, quicktest.Equals, test.paused)
			quicktest.Check(t, pick.PauseTime(standing) <= pick.ThrottleTime(standing), quicktest.IsTrue)
		})
	}
}
