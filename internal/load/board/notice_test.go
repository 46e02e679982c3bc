package board_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Guards against requests to an upstream that said itself that it is leaving, whatever its entry says: newer, older, or back after it
// was removed. Only another incarnation takes requests again.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	upstreams := newBoard(true, "u")
	ticket, waiting := mustPlace(t, upstreams, promptRequest("s"), start), mustPlace(t, upstreams, promptRequest("s"), start)
	quicktest.Check(t, waiting.Permitted(), quicktest.IsTrue)
	quicktest.Check(t, ticket.Heed(board.Notice{Leaving: true}, start), quicktest.IsTrue)
	quicktest.Check(t, ticket.Heed(board.Notice{Leaving: true}, start), quicktest.IsFalse)
	quicktest.Check(t, waiting.Permitted(), quicktest.IsFalse)
	refuses := func(name string) {
		t.Helper()
		refused, _ := upstreams.Place(promptRequest("s"), start)
		quicktest.Check(t, refused, quicktest.IsNil, quicktest.Commentf("%s", name))
	}
	refuses("same entry")
	newer := entry("u", 1)
	newer.Sequence = 9
	upstreams.Set(newer, start)
	refuses("newer entry that says ready")
	upstreams.Remove("u", start)
	upstreams.Set(newer, start)
	refuses("entry that was removed and is back")
	upstreams.Set(entry("u", 2), start)
	mustPlace(t, upstreams, promptRequest("s"), start)
	// An answer of the earlier incarnation arrives late.
	quicktest.Check(t, ticket.Heed(board.Notice{Leaving: true}, start), quicktest.IsFalse)
	mustPlace(t, upstreams, promptRequest("s"), start)
}

// Guards against requests to an upstream that asked for none for a while, and against a rush when that is over: a single request shows
// whether it is.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	now := time.Now()
	upstreams := newBoard(true, "u")
	ticket, waiting := mustPlace(t, upstreams, promptRequest("s"), now), mustPlace(t, upstreams, promptRequest("s"), now)
	quicktest.Check(t, ticket.Heed(board.Notice{Pause: 2 * time.Second}, now), quicktest.IsTrue)
	ticket.End(board.ResultDeclined, now)
	quicktest.Check(t, waiting.Permitted(), quicktest.IsFalse)
	waiting.End(board.ResultAbandoned, now)
	// A shorter pause does not end the longer one.
	ticket.Heed(board.Notice{Pause: time.Millisecond}, now)
	refused, wait := upstreams.Place(promptRequest("s"), now.Add(500*time.Millisecond))
	quicktest.Check(t, refused, quicktest.IsNil)
	quicktest.Check(t, wait >= 1500*time.Millisecond && wait <= 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	over := now.Add(2 * time.Second)
	trial := mustPlace(t, upstreams, promptRequest("s"), over)
	refused, _ = upstreams.Place(promptRequest("s"), over)
	quicktest.Check(t, refused, quicktest.IsNil)
	trial.Heed(board.Notice{Pause: time.Second}, over)
	trial.End(board.ResultDeclined, over)
	refused, _ = upstreams.Place(promptRequest("s"), over.Add(900*time.Millisecond))
	quicktest.Check(t, refused, quicktest.IsNil)
	trial = mustPlace(t, upstreams, promptRequest("s"), over.Add(time.Second))
	trial.FirstEvent(over.Add(1100 * time.Millisecond))
	mustPlace(t, upstreams, promptRequest("s"), over.Add(1200*time.Millisecond))
	mustPlace(t, upstreams, promptRequest("s"), over.Add(1200*time.Millisecond))
}

// Guards against a time to return that is due to one paused upstream while another one only declined a request, and against one for
// upstreams that never return.
func TestTimeToReturnOfPausedUpstreams(t *testing.T) {
	now := time.Now()
	upstreams := newBoard(true, "a", "b")
	for range 2 {
		ticket := mustPlace(t, upstreams, promptRequest("s"), now)
		ticket.Heed(board.Notice{Pause: map[string]time.Duration{"a": 4 * time.Second, "b": 2 * time.Second}[string(ticket.Entry.Upstream)]}, now)
		ticket.End(board.ResultDeclined, now)
	}
	_, wait := upstreams.Place(promptRequest("s"), now)
	quicktest.Check(t, wait >= 2*time.Second && wait <= 2500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	leaving := entry("b", 1)
	leaving.Sequence, leaving.Leaving = 2, true
	upstreams.Set(leaving, now)
	_, wait = upstreams.Place(promptRequest("s"), now)
	quicktest.Check(t, wait >= 4*time.Second && wait <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	upstreams.Set(table.Entry{Upstream: "c", Service: "engines", Zone: "zone", Incarnation: 1, Leaving: false, Sequence: 1}, now)
	ticket := mustPlace(t, upstreams, promptRequest("s"), now)
	ticket.End(board.ResultDeclined, now)
	_, wait = upstreams.Place(promptRequest("s"), now)
	quicktest.Check(t, wait, quicktest.Equals, time.Duration(0))
}
