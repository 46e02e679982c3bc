package board_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

func plainBoard(names ...clementinewind.Upstream) *board.Board {
	upstreams := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	upstreams.SetServices([]table.ServiceSettings{{Name: "plain"}})
	for _, name := range names {
		upstreams.Set(table.Entry{Upstream: name, Service: "plain", Slots: 6, Incarnation: 1, Sequence: 1}, start)
	}
	return upstreams
}

// countChosen returns how many of a thousand requests each upstream gets that are abandoned at once.
func countChosen(t *testing.T, upstreams *board.Board, now time.Time) map[clementinewind.Upstream]int {
	t.Helper()
	chosen := map[clementinewind.Upstream]int{}
	for range 1000 {
		ticket := mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second}, now)
		ticket.End(board.ResultAbandoned, now)
		chosen[ticket.Entry.Upstream]++
	}
	return chosen
}

// fact returns what another router tells of an upstream.
func fact(name clementinewind.Upstream, at time.Time, running int, pace float64) board.Fact {
	return board.Fact{Upstream: usage.Hash(name), At: at, Report: board.Report{Running: running, Pace: pace}}
}

// Guards against a report that steers for longer than it holds, or that replaces a newer one.
func TestReportExpires(t *testing.T) {
	upstreams := plainBoard("a", "b")
	busy := fact("a", start, 20, 2.5)
	upstreams.AddFacts([]board.Fact{fact("b", start, 0, 1), busy}, false, start)
	quicktest.Check(t, countChosen(t, upstreams, start.Add(20*time.Millisecond))["a"] < 100, quicktest.IsTrue)
	upstreams.AddFacts([]board.Fact{fact("a", start.Add(-100*time.Millisecond), 0, 1)}, false, start)
	quicktest.Check(t, countChosen(t, upstreams, start.Add(20*time.Millisecond))["a"] < 100, quicktest.IsTrue)
	later := countChosen(t, upstreams, start.Add(1100*time.Millisecond))
	quicktest.Check(t, later["a"] > 400 && later["b"] > 400, quicktest.IsTrue, quicktest.Commentf("%v", later))
	// One of the future says nothing.
	upstreams.AddFacts([]board.Fact{fact("a", start.Add(time.Hour), 20, 2.5)}, false, start.Add(1100*time.Millisecond))
	quicktest.Check(t, countChosen(t, upstreams, start.Add(1100*time.Millisecond))["a"] > 400, quicktest.IsTrue)
}

// Guards against counting own requests twice: once in the report, and once as own ones.
func TestOwnRequestsCountOnce(t *testing.T) {
	upstreams := plainBoard("a")
	for range 4 {
		mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second}, start)
	}
	at := start.Add(10 * time.Millisecond)
	// The four own requests and one of another router run; that router told of it, too.
	upstreams.SetPeer(usage.Source{Instance: "other"}, map[uint32]board.Load{usage.Hash("a"): {Running: 1}}, at)
	upstreams.AddFacts([]board.Fact{fact("a", at, 5, 1)}, false, at)
	// A fifth own request starts after the report: six slots are not yet taken by these and the next one.
	now := at.Add(10 * time.Millisecond)
	idle := mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second}, now)
	full := mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second}, now.Add(time.Millisecond))
	quicktest.Check(t, full.Expected > idle.Expected, quicktest.IsTrue, quicktest.Commentf("%v, then %v", idle.Expected, full.Expected))
	quicktest.Check(t, idle.ReportAge, quicktest.Equals, 10*time.Millisecond)
	quicktest.Check(t, idle.Corrected, quicktest.IsFalse)
}

// Guards against reports of an ended process, and against reports that are passed on more than once or too late.
func TestFactsArePassedOnOnce(t *testing.T) {
	upstreams := plainBoard("a", "b", "c")
	for name, pace := range map[clementinewind.Upstream]float64{"a": 1, "b": 2.5, "c": 1.1} {
		upstreams.AddFacts([]board.Fact{fact(name, start, 1, pace)}, true, start)
	}
	first := upstreams.TakeFacts(2, start)
	quicktest.Assert(t, first, quicktest.HasLen, 2)
	quicktest.Check(t, first[0].Upstream, quicktest.Equals, usage.Hash("b"))
	quicktest.Check(t, upstreams.TakeFacts(2, start), quicktest.HasLen, 1)
	// A router gets its own fact back a little later.
	returned := first[0]
	returned.At = returned.At.Add(3 * time.Millisecond)
	upstreams.AddFacts([]board.Fact{returned}, true, start.Add(10*time.Millisecond))
	quicktest.Check(t, upstreams.TakeFacts(2, start.Add(10*time.Millisecond)), quicktest.HasLen, 0)
	upstreams.AddFacts([]board.Fact{fact("a", start.Add(20*time.Millisecond), 1, 1)}, true, start.Add(20*time.Millisecond))
	quicktest.Check(t, upstreams.TakeFacts(2, start.Add(500*time.Millisecond)), quicktest.HasLen, 0)

	ticket := mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second, Tried: []clementinewind.Upstream{"b", "c"}}, start)
	upstreams.Set(table.Entry{Upstream: "a", Service: "plain", Slots: 6, Incarnation: 2, Sequence: 1}, start)
	// The answer of the process before says nothing of the one that has its name now.
	ticket.Report(board.Report{Running: 20, Pace: 2.5}, start.Add(time.Second))
	quicktest.Check(t, upstreams.TakeFacts(2, start.Add(time.Second)), quicktest.HasLen, 0)
}

// Guards against a report that arrives while a placement waits for the board: its time is after that of the placement.
func TestReportAfterPlacementTime(t *testing.T) {
	upstreams := plainBoard("a", "b")
	later := start.Add(100 * time.Millisecond)
	upstreams.AddFacts([]board.Fact{fact("a", later, 20, 1), fact("b", later, 0, 1)}, false, later)
	chosen := countChosen(t, upstreams, start)
	quicktest.Check(t, chosen["a"] < 100, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
	ticket := mustPlace(t, upstreams, board.Request{Service: "plain", Goal: time.Second}, start)
	quicktest.Check(t, ticket.Expected > 0 && ticket.Expected < time.Second, quicktest.IsTrue, quicktest.Commentf("%v", ticket.Expected))
}

// Guards against a draw between an idle upstream and one whose only slot is taken.
func TestSingleSlotsAreNotNearlyEqual(t *testing.T) {
	upstreams := plainBoard()
	for _, name := range []clementinewind.Upstream{"a", "b"} {
		upstreams.Set(table.Entry{Upstream: name, Service: "plain", Slots: 1, Incarnation: 1, Sequence: 1}, start)
	}
	upstreams.AddFacts([]board.Fact{fact("a", start, 1, 1), fact("b", start, 0, 1)}, false, start)
	chosen := countChosen(t, upstreams, start)
	quicktest.Check(t, chosen["a"] < 200, quicktest.IsTrue, quicktest.Commentf("%v", chosen))
}
