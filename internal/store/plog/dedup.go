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

// Dedup decides which records of a stream take effect: those with a sequence above all earlier ones of their writer.
// Its decisions depend on the records alone, so all readers of a stream agree. It is not safe for concurrent use.
type Dedup struct {
	forgetMillis int64
	// clockMillis is the highest record time so far. Record times may step back, which must not revive a writer.
	clockMillis int64
	sweptMillis int64
	writers     map[uint64]writerMark
}

type writerMark struct {
	sequence   uint64
	timeMillis int64
}

// NewDedup returns a Dedup that forgets a writer when the log's clock has advanced by forgetAfter since its last record;
// 0 takes DefaultDedupWindow. All readers of a stream must use the same value.
func NewDedup(forgetAfter time.Duration) *Dedup {
	if forgetAfter <= 0 {
		forgetAfter = DefaultDedupWindow
	}
	return &Dedup{forgetMillis: forgetAfter.Milliseconds(), writers: map[uint64]writerMark{}}
}

// Accept records that a record was read and reports whether it takes effect.
func (dedup *Dedup) Accept(record clementinewind.Record) bool {
	dedup.clockMillis = max(dedup.clockMillis, record.Time.UnixMilli())
	dedup.sweep()
	mark, known := dedup.writers[record.Writer]
	accepted := !known || dedup.expired(mark) || record.Sequence > mark.sequence
	if accepted {
		mark.sequence = record.Sequence
	}
	// A repeated record refreshes its writer too, so that the highest time of all writers is the clock.
	mark.timeMillis = dedup.clockMillis
	dedup.writers[record.Writer] = mark
	return accepted
}

// Len returns the number of writers that are remembered.
func (dedup *Dedup) Len() int {
	return len(dedup.writers)
}

// Export returns the state in the order of the writers, for a snapshot.
func (dedup *Dedup) Export() []*recordv1.WriterSequence {
	exported := make([]*recordv1.WriterSequence, 0, len(dedup.writers))
	for writer, mark := range dedup.writers {
		if !dedup.expired(mark) {
			exported = append(exported, &recordv1.WriterSequence{
				Writer: writer, Sequence: mark.sequence, TimeMillis: mark.timeMillis,
			})
		}
	}
	slices.SortFunc(exported, func(a, b *recordv1.WriterSequence) int { return cmp.Compare(a.Writer, b.Writer) })
	return exported
}

// Restore replaces the state by an exported one.
func (dedup *Dedup) Restore(exported []*recordv1.WriterSequence) {
	dedup.writers = make(map[uint64]writerMark, len(exported))
	dedup.clockMillis, dedup.sweptMillis = 0, 0
	for _, entry := range exported {
		dedup.writers[entry.Writer] = writerMark{sequence: entry.Sequence, timeMillis: entry.TimeMillis}
		dedup.clockMillis = max(dedup.clockMillis, entry.TimeMillis)
	}
}

func (dedup *Dedup) expired(mark writerMark) bool {
	return dedup.clockMillis-mark.timeMillis > dedup.forgetMillis
}

// sweep removes expired writers once per forget time. When it runs does not matter for any decision.
func (dedup *Dedup) sweep() {
	if dedup.clockMillis-dedup.sweptMillis <= dedup.forgetMillis {
		return
	}
	dedup.sweptMillis = dedup.clockMillis
	for writer, mark := range dedup.writers {
		if dedup.expired(mark) {
			delete(dedup.writers, writer)
		}
	}
}
