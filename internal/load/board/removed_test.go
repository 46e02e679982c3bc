package board_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// refuses reports whether no upstream of a service takes a request.
func refuses(upstreams *board.Board, service table.Service, now time.Time) bool {
	request := promptRequest("s")
	request.Service = service
	ticket, _ := upstreams.Place(request, now)
	if ticket != nil {
		ticket.End(board.ResultAbandoned, now)
	}
	return ticket == nil
}

// Guards against requests to an upstream that said that it wants none, after its entry was away for a while: what an upstream says of itself
// holds for its process, whatever happens to the entry.
func TestNoticeOutlivesEntry(t *testing.T) {
	now := time.Now()
	const pause = 20 * time.Second
	other := engines
	other.Name = "other"
	moved := entry("u", 1)
	moved.Service = "other"
	for name, away := range map[string]struct {
		service table.Service
		away    func(upstreams *board.Board, heed func())
	}{
		"entry removed": {"engines", func(upstreams *board.Board, heed func()) {
			heed()
			upstreams.Remove("u", now)
			upstreams.Set(entry("u", 1), now)
		}},
		"said while the entry is away": {"engines", func(upstreams *board.Board, heed func()) {
			upstreams.Remove("u", now)
			heed()
			upstreams.Set(entry("u", 1), now)
		}},
		"said after the entry is back": {"engines", func(upstreams *board.Board, heed func()) {
			upstreams.Remove("u", now)
			upstreams.Set(entry("u", 1), now)
			heed()
		}},
		"another service": {"other", func(upstreams *board.Board, heed func()) {
			heed()
			upstreams.Set(moved, now)
		}},
		"another service after the entry was removed": {"other", func(upstreams *board.Board, heed func()) {
			heed()
			upstreams.Remove("u", now)
			upstreams.Set(moved, now)
		}},
		"said to the earlier service": {"other", func(upstreams *board.Board, heed func()) {
			upstreams.Set(moved, now)
			heed()
		}},
		"service removed from the configuration": {"engines", func(upstreams *board.Board, heed func()) {
			heed()
			upstreams.SetServices([]table.ServiceSettings{other})
			upstreams.SetServices([]table.ServiceSettings{engines, other})
		}},
	} {
		for said, notice := range map[string]board.Notice{"paused": {Pause: pause}, "leaving": {Leaving: true}} {
			t.Run(name+", "+said, func(t *testing.T) {
				upstreams := newBoard(true, "u")
				upstreams.SetServices([]table.ServiceSettings{engines, other})
				ticket := mustPlace(t, upstreams, promptRequest("s"), now)
				away.away(upstreams, func() { quicktest.Check(t, ticket.Heed(notice, now), quicktest.IsTrue) })
				ticket.End(board.ResultDeclined, now)
				quicktest.Check(t, refuses(upstreams, away.service, now.Add(pause-time.Second)), quicktest.IsTrue)
				quicktest.Check(t, refuses(upstreams, away.service, now.Add(pause+time.Second)), quicktest.Equals, notice.Leaving)
				// A new process under the same name has said nothing yet.
				restarted := entry("u", 2)
				restarted.Service = away.service
				upstreams.Remove("u", now)
				upstreams.Set(restarted, now)
				quicktest.Check(t, refuses(upstreams, away.service, now), quicktest.IsFalse)
			})
		}
	}
}

// Guards against more requests to a cold upstream than it bears, because those before its entry came back are forgotten.
func TestColdAllowanceOutlivesEntry(t *testing.T) {
	upstreams := newBoard(true)
	cold := entry("u", 1)
	cold.ColdLeft = 10 * time.Second
	upstreams.Set(cold, start)
	sent := 0
	for range 20 {
		if !refuses(upstreams, "engines", start) {
			sent++
		}
	}
	quicktest.Assert(t, sent > 0 && sent < 20, quicktest.IsTrue)
	upstreams.Remove("u", start)
	upstreams.Set(cold, start.Add(100*time.Millisecond))
	quicktest.Check(t, refuses(upstreams, "engines", start.Add(100*time.Millisecond)), quicktest.IsTrue)
}

// Guards against a memory of removed upstreams that grows without bound, and against one that forgets those that left last when it is full.
func TestRemovedUpstreamsAreBounded(t *testing.T) {
	const removed, recent = 3000, 500
	now := time.Now()
	upstreams := newBoard(true)
	name := func(number int) clementinewind.Upstream { return clementinewind.Upstream(fmt.Sprint("u", number)) }
	for number := range removed {
		upstreams.Set(entry(name(number), 1), now)
		mustPlace(t, upstreams, promptRequest("s"), now).Heed(board.Notice{Leaving: true}, now)
		upstreams.Remove(name(number), now.Add(time.Duration(number)*time.Millisecond))
	}
	quicktest.Check(t, upstreams.Removed() <= 1024, quicktest.IsTrue, quicktest.Commentf("%d", upstreams.Removed()))
	for number := removed - recent; number < removed; number++ {
		upstreams.Set(entry(name(number), 1), now)
	}
	quicktest.Check(t, refuses(upstreams, "engines", now), quicktest.IsTrue)
	// An upstream that said nothing is remembered only for as long as its entry may come back after an outage.
	quiet := newBoard(true, "u")
	quiet.Remove("u", start)
	quiet.LocalLoad(start)
	quicktest.Check(t, quiet.Removed(), quicktest.Equals, 1)
	quiet.LocalLoad(start.Add(time.Hour))
	quicktest.Check(t, quiet.Removed(), quicktest.Equals, 0)
}
