package event_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// countingLog is a log that counts reads.
type countingLog struct {
	*stand.Log
	reads int
}

func (countingLog *countingLog) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	countingLog.reads++
	return countingLog.Log.Read(ctx, query)
}

// Guards against disclosed events that are missing or repeated, also after the log was truncated, and against a query for a
// short period that reads the whole stream.
func TestReadDisclosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &countingLog{Log: stand.NewLog()}
		start := time.Now()
		ring := event.NewRing(event.RingConfig{Instance: "a1", Zone: "a", Size: 4000})
		for i := range 4000 {
			time.Sleep(time.Second)
			ring.Record(clementinewind.Event{Kind: clementinewind.EventStale, Detail: fmt.Sprint(i)})
			payload, err := event.EncodeDisclosure(ring.Events(event.Query{Limit: 1})[0])
			quicktest.Assert(t, err, quicktest.IsNil)
			// Each event is appended twice, as by a retry after a lost reply, followed by a record that cannot be decoded.
			// The truncation of 300 records below therefore removes 100 events.
			record := clementinewind.Record{Payload: payload}
			_, err = log.Append(t.Context(), clementinewind.EventStream, []clementinewind.Record{record, record, {Payload: []byte("?")}})
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		log.Truncate(clementinewind.EventStream, 300)
		all, err := event.ReadDisclosed(t.Context(), log, event.Query{})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, all, quicktest.DeepEquals, ring.Events(event.Query{Limit: 3900}))
		log.reads = 0
		query := event.Query{Since: start.Add(3000 * time.Second), Until: start.Add(3010 * time.Second)}
		some, err := event.ReadDisclosed(t.Context(), log, query)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, some, quicktest.DeepEquals, ring.Events(query))
		quicktest.Assert(t, log.reads <= 20, quicktest.IsTrue, quicktest.Commentf("%d reads", log.reads))
		log.SetFaults(stand.LogFaults{Down: true})
		_, err = event.ReadDisclosed(t.Context(), log, query)
		quicktest.Assert(t, errors.Is(err, clementinewind.ErrLogUnavailable), quicktest.IsTrue)
	})
}
