package plog

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// DefaultDedupWindow is six times as long as a Writer retries a record, which leaves room for copies that are delayed
// on the network.
const DefaultDedupWindow = time.Hour

// Dedup removes duplicate records of a stream: a record takes effect if its sequence is above that of all earlier
// records of its writer. The result depends on the records alone, so all readers of a stream agree. It is not safe for
// concurrent use.
type Dedup struct {
	windowMillis int64
	// clockMillis is the highest record time so far. Record times may step back, which must not bring back a forgotten
	// writer.
	clockMillis     int64
	lastSweepMillis int64
	writers         map[uint64]writerState
}

type writerState struct {
	sequence   uint64
	timeMillis int64
}

// NewDedup returns a Dedup that forgets a writer once the log's clock is more than window past its last record; 0
// selects DefaultDedupWindow. All readers of a stream must use the same window.
func NewDedup(window time.Duration) *Dedup {
	if window <= 0 {
		window = DefaultDedupWindow
	}
	return &Dedup{windowMillis: window.Milliseconds(), writers: map[uint64]writerState{}}
}

// Accept registers a record and reports whether it takes effect.
func (dedup *Dedup) Accept(record clementinewind.Record) bool {
	dedup.clockMillis = max(dedup.clockMillis, record.Time.UnixMilli())
	dedup.sweep()
	state, known := dedup.writers[record.Writer]
	accepted := !known || dedup.expired(state) || record.Sequence > state.sequence
	if accepted {
		state.sequence = record.Sequence
	}
	// A duplicate renews its writer too, so that the highest time of all writers is the clock.
	state.timeMillis = dedup.clockMillis
	dedup.writers[record.Writer] = state
	return accepted
}

// Len returns the number of writers that are remembered.
func (dedup *Dedup) Len() int {
	return len(dedup.writers)
}

// Export returns the state for a snapshot, sorted by writer.
func (dedup *Dedup) Export() []*recordv1.WriterSequence {
	exported := make([]*recordv1.WriterSequence, 0, len(dedup.writers))
	for writer, state := range dedup.writers {
		if !dedup.expired(state) {
			exported = append(exported, &recordv1.WriterSequence{
				Writer: writer, Sequence: state.sequence, TimeMillis: state.timeMillis,
			})
		}
	}
	slices.SortFunc(exported, func(a, b *recordv1.WriterSequence) int { return cmp.Compare(a.Writer, b.Writer) })
	return exported
}

// Restore replaces the state by an exported one.
func (dedup *Dedup) Restore(exported []*recordv1.WriterSequence) {
	dedup.writers = make(map[uint64]writerState, len(exported))
	dedup.clockMillis, dedup.lastSweepMillis = 0, 0
	for _, entry := range exported {
		dedup.writers[entry.Writer] = writerState{sequence: entry.Sequence, timeMillis: entry.TimeMillis}
		dedup.clockMillis = max(dedup.clockMillis, entry.TimeMillis)
	}
}

func (dedup *Dedup) expired(state writerState) bool {
	return dedup.clockMillis-state.timeMillis > dedup.windowMillis
}

// sweep removes expired writers once per window. Its timing affects no decision.
func (dedup *Dedup) sweep() {
	if dedup.clockMillis-dedup.lastSweepMillis <= dedup.windowMillis {
		return
	}
	dedup.lastSweepMillis = dedup.clockMillis
	for writer, state := range dedup.writers {
		if dedup.expired(state) {
			delete(dedup.writers, writer)
		}
	}
}
