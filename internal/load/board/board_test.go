package board_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

var (
	engines = table.ServiceSettings{
		Name: "engines", ColdRate: 6, ColdTime: 3 * time.Second, Engine: &table.Engine{Slots: 64, MemoryTokens: 500_000},
	}
	start = time.Unix(1000, 0)
)

func newBoard(owns bool, names ...clementinewind.Upstream) *board.Board {
	upstreams := board.New(board.Config{ColdRatio: 1.5, ColdExtra: 5, Owns: func(clementinewind.Upstream) bool { return owns }})
	upstreams.SetServices([]table.ServiceSettings{engines})
	for _, name := range names {
		upstreams.Set(entry(name, 1), start)
	}
	return upstreams
}

func entry(name clementinewind.Upstream, incarnation int64) table.Entry {
	return table.Entry{
		Upstream: name, Service: "engines", Address: "10.0.0.1:80", Zone: "zone", Slots: 64, Incarnation: incarnation, Sequence: 1,
	}
}

func promptRequest(subject string) board.Request {
	return board.Request{
		Service: "engines", Zone: "zone", Goal: time.Second, Limit: pick.LatencyLimit(time.Second),
		Prompt: prompt.Prompt{
			Model: "m", InputTokens: 17_000, OutputTokens: 100,
			Parts: []prompt.Part{{ID: subject, Tokens: 13_000}, {ID: "own", Tokens: 4000}},
		},
	}
}

func mustPlace(t *testing.T, upstreams *board.Board, request board.Request, now time.Time) *board.Ticket {
	t.Helper()
	ticket, _ := upstreams.Place(request, now)
	quicktest.Assert(t, ticket, quicktest.IsNotNil)
	return ticket
}

// Guards against more requests to a cold upstream than it tolerates: up to three routers may believe at once that they
// own it, and together they have to stay below 1.5 times its rate plus 5.
func TestColdAllowance(t *testing.T) {
	upstreams := newBoard(true, "u")
	cold := entry("u", 2)
	cold.ColdLeft = 3 * time.Second
	upstreams.Set(cold, start)
	sent := 0
	for i := range 100 {
		now := start.Add(time.Duration(i) * 9 * time.Millisecond)
		if ticket, _ := upstreams.Place(promptRequest("s"), now); ticket != nil {
			ticket.End(board.ResultServed, now)
			sent++
		}
	}
	quicktest.Check(t, sent > 0, quicktest.IsTrue)
	quicktest.Check(t, 3*sent <= 14, quicktest.IsTrue, quicktest.Commentf("%d sent in a second", sent))
}

func TestColdUpstreamOfOtherOwner(t *testing.T) {
	upstreams := newBoard(false, "u")
	cold := entry("u", 2)
	cold.ColdLeft = 3 * time.Second
	upstreams.Set(cold, start)
	ticket, _ := upstreams.Place(promptRequest("s"), start)
	quicktest.Check(t, ticket, quicktest.IsNil)
	mustPlace(t, upstreams, promptRequest("s"), start.Add(3100*time.Millisecond))
}

// Guards against full load on the upstreams of a zone that is returned to service: they may have turned cold meanwhile.
func TestZoneReturnsCold(t *testing.T) {
	upstreams := newBoard(false, "u")
	upstreams.SetZoneOut("zone", true, start)
	ticket, _ := upstreams.Place(promptRequest("s"), start)
	quicktest.Check(t, ticket, quicktest.IsNil)
	upstreams.SetZoneOut("zone", false, start)
	ticket, _ = upstreams.Place(promptRequest("s"), start.Add(time.Second))
	quicktest.Check(t, ticket, quicktest.IsNil)
	mustPlace(t, upstreams, promptRequest("s"), start.Add(3100*time.Millisecond))
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	upstreams := newBoard(true, "u")
	leaving := entry("u", 1)
	leaving.Sequence, leaving.Leaving = 2, true
	upstreams.Set(leaving, start)
	ticket, _ := upstreams.Place(promptRequest("s"), start)
	quicktest.Check(t, ticket, quicktest.IsNil)
	// An outdated entry arrives late.
	quicktest.Check(t, upstreams.Set(entry("u", 1), start), quicktest.IsFalse)
	ticket, _ = upstreams.Place(promptRequest("s"), start)
	quicktest.Check(t, ticket, quicktest.IsNil)
}

// Guards against sending prompts with the same prefix to different upstreams: all go to the one that has it cached.
func TestPrefixAffinity(t *testing.T) {
	upstreams := newBoard(true, "a", "b", "c", "d")
	first := mustPlace(t, upstreams, promptRequest("s"), start)
	quicktest.Check(t, first.UncachedTokens, quicktest.Equals, 17_000)
	first.FirstEvent(start.Add(400 * time.Millisecond))
	first.End(board.ResultServed, start.Add(time.Second))
	for range 3 {
		ticket := mustPlace(t, upstreams, promptRequest("s"), start.Add(time.Second))
		quicktest.Check(t, ticket.Entry.Upstream, quicktest.Equals, first.Entry.Upstream)
		quicktest.Check(t, ticket.UncachedTokens, quicktest.Equals, 4000)
		ticket.End(board.ResultServed, start.Add(time.Second))
	}
}

// Guards against routers that each let another upstream compute a prefix, because they ignore the placements of other
// routers.
func TestRemotePlacements(t *testing.T) {
	local, remote := newBoard(true, "a", "b", "c"), newBoard(true, "a", "b", "c")
	remoteTicket := mustPlace(t, remote, promptRequest("s"), start)
	_, placements := remote.LocalLoad(start)
	local.AddPlacements(placements, start)
	localTicket := mustPlace(t, local, promptRequest("s"), start)
	quicktest.Check(t, localTicket.Entry.Upstream, quicktest.Equals, remoteTicket.Entry.Upstream)
	quicktest.Check(t, localTicket.UncachedTokens, quicktest.Equals, 4000)
}

// Guards against ignoring the load of other routers: a request that would start too late is not placed, and Place
// returns by how much.
func TestRemoteBacklog(t *testing.T) {
	upstreams := newBoard(true, "a")
	upstreams.SetPeer(usage.Source{Instance: "peer"}, map[uint32]board.Load{usage.Hash("a"): {Running: 10, QueuedTokens: 200_000}}, start)
	ticket, excess := upstreams.Place(promptRequest("s"), start)
	quicktest.Check(t, ticket, quicktest.IsNil)
	quicktest.Check(t, excess > time.Second, quicktest.IsTrue)
	// The load of a router that has stopped reporting expires.
	upstreams.LocalLoad(start.Add(3 * time.Second))
	mustPlace(t, upstreams, promptRequest("s"), start.Add(3*time.Second))
}

// Guards against never using an upstream again that was slow once, because without requests nothing corrects its
// estimate.
func TestEstimateDecays(t *testing.T) {
	upstreams := newBoard(true, "a")
	now := start
	for range 50 {
		ticket, _ := upstreams.Place(promptRequest("s"), now)
		if ticket == nil {
			break
		}
		now = now.Add(8 * time.Second)
		ticket.FirstEvent(now)
		ticket.End(board.ResultServed, now)
	}
	mustPlace(t, upstreams, promptRequest("other"), now.Add(15*time.Second))
}

// Guards against requests that wait one after the other for an upstream that cannot be reached.
func TestUnreachable(t *testing.T) {
	upstreams := newBoard(false, "a")
	ticket := mustPlace(t, upstreams, promptRequest("s"), start)
	ticket.End(board.ResultUnreachable, start)
	next, _ := upstreams.Place(promptRequest("s"), start.Add(100*time.Millisecond))
	quicktest.Check(t, next, quicktest.IsNil)
	// It may have restarted cold, and only its owner may send to a cold upstream.
	next, _ = upstreams.Place(promptRequest("s"), start.Add(500*time.Millisecond))
	quicktest.Check(t, next, quicktest.IsNil)
	mustPlace(t, upstreams, promptRequest("s"), start.Add(4*time.Second))
}

// Guards against counters that drift: after all requests ended, no load is left.
func TestTicketsEndOnce(t *testing.T) {
	upstreams := newBoard(true, "a", "b")
	var tickets []*board.Ticket
	for _, subject := range []string{"s", "t", "u"} {
		tickets = append(tickets, mustPlace(t, upstreams, promptRequest(subject), start))
	}
	loads, _ := upstreams.LocalLoad(start)
	quicktest.Check(t, len(loads) > 0, quicktest.IsTrue)
	for _, ticket := range tickets {
		ticket.FirstEvent(start)
		ticket.End(board.ResultFailed, start)
		ticket.End(board.ResultServed, start)
	}
	loads, _ = upstreams.LocalLoad(start)
	for _, left := range loads {
		quicktest.Check(t, left, quicktest.Equals, board.Load{RecentTokens: left.RecentTokens})
	}
	// The recent tokens decay too.
	loads, _ = upstreams.LocalLoad(start.Add(time.Minute))
	quicktest.Check(t, loads, quicktest.HasLen, 0)
}

// Guards against an upstream that does not answer and counts as healthy, or that counts as overdue after it answered.
// The unanswered request that was due first is decisive, in whatever order the requests end.
func TestOverdueOfRequestDueFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreams := newBoard(true, "u0")
		now := start
		var waiting []*board.Ticket
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if len(waiting) == 0 || rapid.Bool().Draw(t, "place") {
				request := promptRequest("subject")
				request.Limit = pick.LatencyLimit(time.Hour)
				if ticket, _ := upstreams.Place(request, now); ticket != nil {
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
			if got := upstreams.Overdue("u0", now); got != want {
				t.Fatalf("overdue by %v, want %v", got, want)
			}
		}
	})
}

// Guards against a request at a version that may not get it, and against requests at a version that ends and are not counted any more
// when the entry of their upstream is removed.
func TestVersions(t *testing.T) {
	upstreams := newBoard(true)
	upstreams.Set(table.Entry{Upstream: "old", Service: "s", Version: "v1", Slots: 8}, start)
	upstreams.Set(table.Entry{Upstream: "new", Service: "s", Version: "v2", Slots: 8}, start)
	for range 20 {
		ticket := mustPlace(t, upstreams, board.Request{Service: "s", Versions: func(version string) bool { return version == "v1" }}, start)
		quicktest.Check(t, ticket.Entry.Version, quicktest.Equals, "v1")
	}
	ticket, _ := upstreams.Place(board.Request{Service: "s", Versions: func(string) bool { return false }}, start)
	quicktest.Check(t, ticket, quicktest.IsNil)
	upstreams.Remove("old", start)
	quicktest.Check(t, upstreams.Versions("s"), quicktest.DeepEquals, map[string]board.VersionLoad{"v1": {Running: 20}, "v2": {Upstreams: 1}})
}
