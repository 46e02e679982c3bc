package plog_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
)

// Guards against readers that disagree on which records take effect because one of them restored a snapshot.
func TestDedupRestoredFromSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := time.UnixMilli(1_000_000)
		records := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) clementinewind.Record {
			// The log's clock sometimes steps back.
			clock = clock.Add(time.Duration(rapid.IntRange(-20, 40).Draw(rt, "minutes")) * time.Minute)
			return clementinewind.Record{
				Writer:   rapid.Uint64Range(1, 4).Draw(rt, "writer"),
				Sequence: rapid.Uint64Range(1, 6).Draw(rt, "sequence"),
				Time:     clock,
			}
		}), 0, 40).Draw(rt, "records")
		cut := rapid.IntRange(0, len(records)).Draw(rt, "cut")
		whole, restored := plog.NewDedup(time.Hour), plog.NewDedup(time.Hour)
		for i, record := range records {
			if i == cut {
				restored.Restore(whole.Export())
			}
			accepted := whole.Accept(record)
			if i >= cut && restored.Accept(record) != accepted {
				rt.Fatalf("record %d: accepted %v by the one reader only", i, accepted)
			}
		}
	})
}

// Guards against duplicates that take effect, and against memory use that grows with every writer that ever existed.
func TestDedupForgetsIdleWriters(t *testing.T) {
	dedup := plog.NewDedup(time.Hour)
	start := time.UnixMilli(0)
	accept := func(writer, sequence uint64, after time.Duration) bool {
		return dedup.Accept(clementinewind.Record{Writer: writer, Sequence: sequence, Time: start.Add(after)})
	}
	quicktest.Assert(t, accept(1, 1, 0), quicktest.IsTrue)
	quicktest.Assert(t, accept(1, 1, time.Minute), quicktest.IsFalse)
	quicktest.Assert(t, accept(1, 3, time.Minute), quicktest.IsTrue)
	quicktest.Assert(t, accept(1, 2, time.Minute), quicktest.IsFalse)
	quicktest.Assert(t, accept(1, 3, time.Hour), quicktest.IsFalse)
	for i := range uint64(10_000) {
		quicktest.Assert(t, accept(2+i, 1, time.Duration(i)*time.Minute), quicktest.IsTrue)
	}
	quicktest.Assert(t, dedup.Len() <= 122, quicktest.IsTrue, quicktest.Commentf("%d writers", dedup.Len()))
}
