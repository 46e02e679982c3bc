package board_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
)

// BenchmarkPlace measures a placement among 90 upstreams that have load.
func BenchmarkPlace(b *testing.B) { benchmarkPlace(b, 90) }

// BenchmarkPlaceInLargeFleet measures a placement among 1,300 upstreams.
func BenchmarkPlaceInLargeFleet(b *testing.B) { benchmarkPlace(b, 1300) }

func benchmarkPlace(b *testing.B, count int) {
	var names []clementinewind.Upstream
	for number := range count {
		names = append(names, clementinewind.Upstream(fmt.Sprintf("u%d", number)))
	}
	upstreams := newBoard(true, names...)
	for subject := range 500 {
		request := promptRequest(fmt.Sprint(subject))
		request.Limit = pick.LatencyLimit(time.Hour)
		upstreams.Place(request, start)
	}
	b.ReportAllocs()
	for step := 0; b.Loop(); step++ {
		request := promptRequest(fmt.Sprint(step % 500))
		request.Limit = pick.LatencyLimit(time.Hour)
		if ticket, _ := upstreams.Place(request, start); ticket != nil {
			ticket.End(board.ResultAbandoned, start)
		}
	}
}

// BenchmarkPlaceByReports measures a placement among 1,300 upstreams of a plain service that report their load.
func BenchmarkPlaceByReports(b *testing.B) {
	var names []clementinewind.Upstream
	var facts []board.Fact
	for number := range 1300 {
		names = append(names, clementinewind.Upstream(fmt.Sprintf("u%d", number)))
		facts = append(facts, fact(names[number], start, 3, 1))
	}
	upstreams := plainBoard(names...)
	upstreams.AddFacts(facts, false, start)
	b.ReportAllocs()
	for b.Loop() {
		if ticket, _ := upstreams.Place(board.Request{Service: "plain", Goal: time.Second}, start); ticket != nil {
			ticket.End(board.ResultAbandoned, start)
		}
	}
}
