package board_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

var (
	engines = table.ServiceSettings{
		Name: "engines", ColdRate: 6, ColdTime: 3 * time.Second, Engine: &table.Engine{Slots: 64, MemoryTokens: 500_000},
	}
	began = time.Unix(1000, 0)
)

func newBoard(owns bool, names ...clementinewind.Upstream) *board.Board {
	built := board.New(board.Config{ColdRatio: 1.5, ColdExtra: 5, Owns: func(clementinewind.Upstream) bool { return owns }})
	built.SetServices([]table.ServiceSettings{engines})
	for _, name := range names {
		built.Set(entry(name, 1), began)
	}
	return built
}

func entry(name clementinewind.Upstream, incarnation int64) table.Entry {
	return table.Entry{
		Upstream: name, Service: "engines", Address: "10.0.0.1:80", Zone: "zone", Slots: 64, Incarnation: incarnation, Sequence: 1,
	}
}

func quote(subject string) board.Request {
	return board.Request{
		Service: "engines", Zone: "zone", Goal: time.Second, MaxLatency: time.Second,
		Prompt: prompt.Prompt{
			Model: "m", InputTokens: 17_000, OutputTokens: 100,
			Parts: []prompt.Part{{ID: subject, Tokens: 13_000}, {ID: "own", Tokens: 4000}},
		},
	}
}

func place(t *testing.T, built *board.Board, request board.Request, now time.Time) *board.Ticket {
	t.Helper()
	ticket, _ := built.Place(request, now)
	quicktest.Assert(t, ticket, quicktest.IsNotNil)
	return ticket
}

// Guards against more requests to a cold upstream than it tolerates: three routers may at once believe that they own it,
// and together stay below 1.5 times its rate plus 5.
func TestColdAllowance(t *testing.T) {
	built := newBoard(true, "u")
	cold := entry("u", 2)
	cold.ColdLeft = 3 * time.Second
	built.Set(cold, began)
	sent := 0
	for i := range 100 {
		now := began.Add(time.Duration(i) * 9 * time.Millisecond)
		if ticket, _ := built.Place(quote("s"), now); ticket != nil {
			ticket.End(board.ResultServed, now)
			sent++
		}
	}
	quicktest.Check(t, sent > 0, quicktest.IsTrue)
	quicktest.Check(t, 3*sent <= 14, quicktest.IsTrue, quicktest.Commentf("%d sent in a second", sent))
}

func TestColdUpstreamOfOthers(t *testing.T) {
	built := newBoard(false, "u")
	cold := entry("u", 2)
	cold.ColdLeft = 3 * time.Second
	built.Set(cold, began)
	ticket, _ := built.Place(quote("s"), began)
	quicktest.Check(t, ticket, quicktest.IsNil)
	place(t, built, quote("s"), began.Add(3100*time.Millisecond))
}

// Guards against full load on upstreams of a zone that came back into service: they may have turned cold meanwhile.
func TestZoneReturnsCold(t *testing.T) {
	built := newBoard(false, "u")
	built.SetZoneOut("zone", true, began)
	ticket, _ := built.Place(quote("s"), began)
	quicktest.Check(t, ticket, quicktest.IsNil)
	built.SetZoneOut("zone", false, began)
	ticket, _ = built.Place(quote("s"), began.Add(time.Second))
	quicktest.Check(t, ticket, quicktest.IsNil)
	place(t, built, quote("s"), began.Add(3100*time.Millisecond))
}

func TestLeavingGetsNothing(t *testing.T) {
	built := newBoard(true, "u")
	leaving := entry("u", 1)
	leaving.Sequence, leaving.Leaving = 2, true
	built.Set(leaving, began)
	ticket, _ := built.Place(quote("s"), began)
	quicktest.Check(t, ticket, quicktest.IsNil)
	// An entry of before arrives late.
	quicktest.Check(t, built.Set(entry("u", 1), began), quicktest.IsFalse)
	ticket, _ = built.Place(quote("s"), began)
	quicktest.Check(t, ticket, quicktest.IsNil)
}

// Replays prompts of the same subject: all go to the upstream that has read the shared part.
func TestPrefixStaysHome(t *testing.T) {
	built := newBoard(true, "a", "b", "c", "d")
	first := place(t, built, quote("s"), began)
	quicktest.Check(t, first.UncachedTokens, quicktest.Equals, 17_000)
	first.FirstEvent(began.Add(400 * time.Millisecond))
	first.End(board.ResultServed, began.Add(time.Second))
	for range 3 {
		ticket := place(t, built, quote("s"), began.Add(time.Second))
		quicktest.Check(t, ticket.Entry.Upstream, quicktest.Equals, first.Entry.Upstream)
		quicktest.Check(t, ticket.UncachedTokens, quicktest.Equals, 4000)
		ticket.End(board.ResultServed, began.Add(time.Second))
	}
}

// Guards against routers that each read a prefix anew, because they do not know what the others placed.
func TestPlacementsOfOthers(t *testing.T) {
	here, there := newBoard(true, "a", "b", "c"), newBoard(true, "a", "b", "c")
	ticket := place(t, there, quote("s"), began)
	_, placements := there.LocalLoad(began)
	here.AddPlacements(placements, began)
	own := place(t, here, quote("s"), began)
	quicktest.Check(t, own.Entry.Upstream, quicktest.Equals, ticket.Entry.Upstream)
	quicktest.Check(t, own.UncachedTokens, quicktest.Equals, 4000)
}

// Replays a backlog of other routers: a request that could not start in time is not placed, and is told for how long.
func TestBacklogOfOthers(t *testing.T) {
	built := newBoard(true, "a")
	built.SetPeer(usage.Source{Instance: "peer"}, map[uint32]board.Load{usage.Hash("a"): {Running: 10, QueuedTokens: 200_000}}, began)
	ticket, late := built.Place(quote("s"), began)
	quicktest.Check(t, ticket, quicktest.IsNil)
	quicktest.Check(t, late > time.Second, quicktest.IsTrue)
	// What a router told that fell silent no longer counts.
	built.LocalLoad(began.Add(3 * time.Second))
	place(t, built, quote("s"), began.Add(3*time.Second))
}

// Guards against an upstream that was slow once and is refused everything for good, because nothing corrects its estimate.
func TestEstimateIsForgotten(t *testing.T) {
	built := newBoard(true, "a")
	now := began
	for range 50 {
		ticket, _ := built.Place(quote("s"), now)
		if ticket == nil {
			break
		}
		now = now.Add(8 * time.Second)
		ticket.FirstEvent(now)
		ticket.End(board.ResultServed, now)
	}
	place(t, built, quote("other"), now.Add(15*time.Second))
}

// Guards against requests that wait one after the other for an upstream that cannot be reached.
func TestUnreachable(t *testing.T) {
	built := newBoard(false, "a")
	ticket := place(t, built, quote("s"), began)
	ticket.End(board.ResultUnreachable, began)
	next, _ := built.Place(quote("s"), began.Add(100*time.Millisecond))
	quicktest.Check(t, next, quicktest.IsNil)
	// It may have restarted cold, which only its owner may try.
	next, _ = built.Place(quote("s"), began.Add(500*time.Millisecond))
	quicktest.Check(t, next, quicktest.IsNil)
	place(t, built, quote("s"), began.Add(4*time.Second))
}

// Guards against counts that drift: after all requests ended, no work is left.
func TestTicketsAreEndedOnce(t *testing.T) {
	built := newBoard(true, "a", "b")
	var tickets []*board.Ticket
	for _, subject := range []string{"s", "t", "u"} {
		tickets = append(tickets, place(t, built, quote(subject), began))
	}
	work, _ := built.LocalLoad(began)
	quicktest.Check(t, len(work) > 0, quicktest.IsTrue)
	for _, ticket := range tickets {
		ticket.FirstEvent(began)
		ticket.End(board.ResultFailed, began)
		ticket.End(board.ResultServed, began)
	}
	work, _ = built.LocalLoad(began)
	for _, left := range work {
		quicktest.Check(t, left, quicktest.Equals, board.Load{RecentTokens: left.RecentTokens})
	}
	// What was handed over is forgotten too.
	work, _ = built.LocalLoad(began.Add(time.Minute))
	quicktest.Check(t, work, quicktest.HasLen, 0)
}

// Guards against an upstream that no longer answers and counts as sound, or as silent after it has answered: the oldest of the
// requests that wait decides, in whatever order they end.
func TestOldestRequestDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		built := newBoard(true, "u0")
		now := began
		var waiting []*board.Ticket
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if len(waiting) == 0 || rapid.Bool().Draw(t, "place") {
				request := quote("subject")
				request.MaxLatency = time.Hour
				if ticket, _ := built.Place(request, now); ticket != nil {
					waiting = append(waiting, ticket)
				}
			} else {
				at := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
				waiting[at].End(board.ResultAbandoned, now)
				waiting = slices.Delete(waiting, at, at+1)
			}
			want := time.Duration(0)
			for _, ticket := range waiting {
				want = max(want, now.Sub(ticket.Due()))
			}
			if got := built.Overdue("u0", now); got != want {
				t.Fatalf("overdue by %v, want %v", got, want)
			}
		}
	})
}
