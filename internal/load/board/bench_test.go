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
func BenchmarkPlace(b *testing.B) {
	var names []clementinewind.Upstream
	for number := range 90 {
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
