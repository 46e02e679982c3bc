package plog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

type appendCase struct {
	Gap, Timeout time.Duration
}

type appendResult struct {
	offset clementinewind.Offset
	err    error
}

// effective returns the payloads of the records that take effect, by offset and in log order.
func effective(t *testing.T, log clementinewind.Log, stream string) (map[clementinewind.Offset]string, []string) {
	batch, err := log.Read(t.Context(), clementinewind.LogQuery{Stream: stream})
	quicktest.Assert(t, err, quicktest.IsNil)
	dedup := plog.NewDedup(0)
	byOffset, order := map[clementinewind.Offset]string{}, []string{}
	for i, record := range batch.Records {
		if dedup.Accept(record) {
			byOffset[batch.First+clementinewind.Offset(i)] = string(record.Payload)
			order = append(order, string(record.Payload))
		}
	}
	return byOffset, order
}

// Guards against a wrong offset, a duplicate effect, an effect out of order and a wrong "not appended" if requests or
// responses are lost, requests arrive late, and callers give up.
func TestWriterUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		milliseconds := func(limit int) *rapid.Generator[time.Duration] {
			return rapid.Map(rapid.IntRange(0, limit), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
		}
		cases := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) appendCase {
			return appendCase{milliseconds(300).Draw(rt, "gap"), milliseconds(2000).Draw(rt, "timeout")}
		}), 1, 12).Draw(rt, "appends")
		fault := rapid.IntRange(int(stand.CallSucceeds), int(stand.CallLandsLate))
		faults := rapid.SliceOfN(rapid.Map(fault, func(n int) stand.CallFault { return stand.CallFault(n) }), 0, 20)
		appendFaults, readFaults := faults.Draw(rt, "appendFaults"), faults.Draw(rt, "readFaults")
		late := milliseconds(3000).Draw(rt, "late")
		seed := rapid.Uint64().Draw(rt, "seed")
		maxBatch := rapid.IntRange(1, 4).Draw(rt, "maxBatch")

		results := make([]appendResult, len(cases))
		var byOffset map[clementinewind.Offset]string
		var order []string
		synctest.Test(t, func(t *testing.T) {
			log := stand.NewLog()
			writer := plog.NewWriter(plog.WriterConfig{
				Log: stand.NewFlakyLog(stand.FlakyLogConfig{
					Log: log, Late: late, Append: stand.FaultScript(appendFaults...), Read: stand.FaultScript(readFaults...),
				}),
				Stream: "s", MaxBatchRecords: maxBatch,
				Backoff: plog.Backoff{Jitter: rand.New(rand.NewPCG(seed, 0)).Float64},
			})
			ctx, stop := context.WithCancel(t.Context())
			var running, callers sync.WaitGroup
			running.Go(func() { writer.Run(ctx) })
			for i, appendCase := range cases {
				time.Sleep(appendCase.Gap)
				callers.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), appendCase.Timeout)
					defer cancel()
					results[i].offset, results[i].err = writer.Append(ctx, fmt.Appendf(nil, "%02d", i))
				})
				synctest.Wait()
			}
			callers.Wait()
			stop()
			running.Wait()
			time.Sleep(late + time.Second)
			synctest.Wait()
			byOffset, order = effective(t, log, "s")
		})
		seen := map[string]bool{}
		for i, payload := range order {
			if seen[payload] || (i > 0 && payload < order[i-1]) {
				rt.Fatalf("effective records out of order or repeated: %v", order)
			}
			seen[payload] = true
		}
		for i, result := range results {
			payload := fmt.Sprintf("%02d", i)
			var appendError *plog.AppendError
			switch {
			case result.err == nil && byOffset[result.offset] != payload:
				rt.Fatalf("record %s: offset %d holds %q", payload, result.offset, byOffset[result.offset])
			case result.err != nil && !errors.As(result.err, &appendError):
				rt.Fatalf("record %s: untyped error %v", payload, result.err)
			case result.err != nil && !appendError.MayHaveTakenEffect && seen[payload]:
				rt.Fatalf("record %s took effect after %v", payload, result.err)
			}
		}
	})
}

// runWriter runs a writer until the end of the test and returns it.
func runWriter(t *testing.T, config plog.WriterConfig) *plog.Writer {
	writer := plog.NewWriter(config)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { writer.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	return writer
}

// Guards against one append call per record, which would exceed the rate that the platform serves.
func TestWriterBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog()
		log.SetFaults(stand.LogFaults{Delay: 10 * time.Millisecond})
		writer := runWriter(t, plog.WriterConfig{Log: log, Stream: "s"})
		var callers sync.WaitGroup
		for range 400 {
			callers.Go(func() {
				_, err := writer.Append(t.Context(), []byte("x"))
				quicktest.Check(t, err, quicktest.IsNil)
			})
		}
		callers.Wait()
		quicktest.Assert(t, log.Appends() <= 2, quicktest.IsTrue, quicktest.Commentf("%d calls", log.Appends()))
	})
}

// Guards against an error that does not tell whether the record may be in the log.
func TestWriterErrors(t *testing.T) {
	tests := map[string]struct {
		faults stand.LogFaults
		// warm appends one record before the fault.
		warm                   bool
		retryLimit             time.Duration
		wantMayHaveTakenEffect bool
		matches                []error
	}{
		"log down before the first append": {
			faults:  stand.LogFaults{Down: true},
			matches: []error{context.DeadlineExceeded, clementinewind.ErrLogUnavailable},
		},
		"log down": {
			faults: stand.LogFaults{Down: true}, warm: true, wantMayHaveTakenEffect: true,
			matches: []error{context.DeadlineExceeded, clementinewind.ErrLogUnavailable},
		},
		"lost replies": {
			faults: stand.LogFaults{LoseReplies: true}, warm: true, wantMayHaveTakenEffect: true,
			matches: []error{context.DeadlineExceeded, clementinewind.ErrLogUnavailable},
		},
		"retry limit": {
			faults: stand.LogFaults{LoseReplies: true}, warm: true, retryLimit: 2 * time.Second, wantMayHaveTakenEffect: true,
			matches: []error{plog.ErrRetryLimit, clementinewind.ErrLogUnavailable},
		},
		"slow log": {faults: stand.LogFaults{Delay: time.Minute}, warm: true, wantMayHaveTakenEffect: true, matches: []error{context.DeadlineExceeded}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := stand.NewLog()
				writer := runWriter(t, plog.WriterConfig{Log: log, Stream: "s", RetryLimit: test.retryLimit})
				if test.warm {
					_, err := writer.Append(t.Context(), []byte("warm"))
					quicktest.Assert(t, err, quicktest.IsNil)
				}
				log.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := writer.Append(ctx, []byte("x"))
				var appendError *plog.AppendError
				quicktest.Assert(t, errors.As(err, &appendError), quicktest.IsTrue)
				quicktest.Assert(t, appendError.MayHaveTakenEffect, quicktest.Equals, test.wantMayHaveTakenEffect, quicktest.Commentf("%v", err))
				for _, match := range test.matches {
					quicktest.Assert(t, errors.Is(err, match), quicktest.IsTrue, quicktest.Commentf("%v is not %v", err, match))
				}
			})
		})
	}
}
