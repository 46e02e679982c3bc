package board_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
)

// BenchmarkPlace measures a placement among 90 upstreams, each with work.
func BenchmarkPlace(b *testing.B) {
	var names []clementinewind.Upstream
	for number := range 90 {
		names = append(names, clementinewind.Upstream(fmt.Sprintf("u%d", number)))
	}
	built := newBoard(true, names...)
	for subject := range 500 {
		request := quote(fmt.Sprint(subject))
		request.MaxLatency = time.Hour
		built.Place(request, began)
	}
	b.ReportAllocs()
	for step := 0; b.Loop(); step++ {
		request := quote(fmt.Sprint(step % 500))
		request.MaxLatency = time.Hour
		if ticket, _ := built.Place(request, began); ticket != nil {
			ticket.End(board.ResultAbandoned, began)
		}
	}
}
