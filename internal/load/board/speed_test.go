package board_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
)

// Guards against a router that refuses requests for want of room while fast engines spend half of their time on prefill, because it has placed
// none for a while and its estimate of their speed has returned to that of slower engines.
func TestRouterWithoutSamplesPlacesAtFastEngines(t *testing.T) {
	const engineCount, tokensPerSecond, recentTokens = 60, 4_800_000, 160_000
	var names []clementinewind.Upstream
	for i := range engineCount {
		names = append(names, clementinewind.Upstream(fmt.Sprint("engine-", i)))
	}
	upstreams := newBoard(true, names...)
	upstreams.SetThroughput(tokensPerSecond)
	others := func(now time.Time) {
		load := map[uint32]board.Load{}
		for _, name := range names {
			load[usage.Hash(name)] = board.Load{Running: 8, RecentTokens: recentTokens}
		}
		upstreams.SetPeer(usage.Source{Instance: "others"}, load, now)
	}
	request := promptRequest("subject")
	request.Goal, request.Limit = 500*time.Millisecond, pick.LatencyLimit(500*time.Millisecond)
	for _, idle := range []time.Duration{0, time.Second, 30 * time.Second} {
		now := start.Add(idle)
		others(now)
		ticket, excess := upstreams.Place(request, now)
		quicktest.Assert(t, ticket, quicktest.IsNotNil, quicktest.Commentf("%v without samples: %v over the limit", idle, excess))
		ticket.End(board.ResultAbandoned, now)
	}
}

// Guards against an estimate of the speed that follows the number of engines while some of them are gone for a moment: the throughput is that of all.
func TestSpeedOutlastsCrash(t *testing.T) {
	upstreams := newBoard(true, "a", "b", "c", "d")
	upstreams.SetThroughput(200_000)
	expected := func(second int) time.Duration {
		now := start.Add(time.Duration(second) * time.Second)
		ticket := mustPlace(t, upstreams, promptRequest(fmt.Sprint("subject ", second)), now)
		ticket.End(board.ResultAbandoned, now.Add(time.Millisecond))
		return ticket.Expected
	}
	// Half of the time of 4 engines with 200,000 tokens a second together is 10 microseconds a token, and 17,000 tokens take 170 ms.
	before := expected(0)
	quicktest.Check(t, before > 270*time.Millisecond && before < 320*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", before))
	for second := 1; second <= 20; second++ {
		expected(second)
	}
	for _, name := range []clementinewind.Upstream{"a", "b", "c"} {
		upstreams.Remove(name, start.Add(20*time.Second))
	}
	after := expected(22)
	quicktest.Check(t, after > before*8/10, quicktest.IsTrue, quicktest.Commentf("%v after %v", after, before))
}

// Guards against taking engines for busy because their answers come late: a router that knows little of the queue takes the time that requests
// of others wait there for prefill of its own, refuses for want of room, and gets no answer that shows otherwise.
func TestLateAnswersDoNotMakeEnginesBusy(t *testing.T) {
	upstreams := newBoard(true, "engine")
	upstreams.SetThroughput(80_000)
	now := start
	for second := range 5 {
		ticket := mustPlace(t, upstreams, promptRequest(fmt.Sprint("subject ", second)), now)
		now = now.Add(600 * time.Millisecond)
		ticket.FirstEvent(now)
		ticket.End(board.ResultServed, now)
	}
	upstreams.SetPeer(usage.Source{Instance: "others"}, map[uint32]board.Load{usage.Hash("engine"): {Running: 8, RecentTokens: 130_000}}, now)
	now = now.Add(50 * time.Millisecond)
	ticket, excess := upstreams.Place(promptRequest("subject"), now)
	quicktest.Assert(t, ticket, quicktest.IsNotNil, quicktest.Commentf("%v over the limit", excess))
}

// Guards against a throughput in the configuration that no engines have.
func TestAbsurdThroughput(t *testing.T) {
	for _, tokensPerSecond := range []float64{-1, 0, math.NaN(), 1e-300, 1, 1e300, math.Inf(1)} {
		upstreams := newBoard(true, "engine")
		upstreams.SetThroughput(tokensPerSecond)
		request := promptRequest("subject")
		request.Limit = pick.LatencyLimit(time.Minute)
		ticket := mustPlace(t, upstreams, request, start)
		quicktest.Check(t, ticket.Expected > 100*time.Millisecond && ticket.Expected < time.Minute, quicktest.IsTrue,
			quicktest.Commentf("%v tokens a second: %v", tokensPerSecond, ticket.Expected))
	}
}
