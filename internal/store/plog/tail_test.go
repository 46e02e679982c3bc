package plog_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// Guards against lost or repeated batches around an outage, and against a freshness that counts from the end of a read.
func TestReaderFollowsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog()
		add := func(payload string) {
			_, err := log.Append(t.Context(), "s", []clementinewind.Record{{Writer: 1, Payload: []byte(payload)}})
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		var mu sync.Mutex
		var got string
		var fresh plog.Freshness
		failures := 0
		state := func() (string, plog.Freshness, int) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return got, fresh, failures
		}
		reader := plog.NewReader(plog.ReaderConfig{
			Log: log, Stream: "s", Limit: 2, Wait: time.Second,
			Handle: func(_ context.Context, batch clementinewind.LogBatch) error {
				mu.Lock()
				defer mu.Unlock()
				for _, record := range batch.Records {
					got += string(record.Payload)
				}
				return nil
			},
			OnFreshness: func(freshness plog.Freshness) {
				mu.Lock()
				defer mu.Unlock()
				fresh = freshness
			},
			OnError: func(error) {
				mu.Lock()
				defer mu.Unlock()
				failures++
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { reader.Run(ctx) })
		defer running.Wait()
		defer stop()
		for _, payload := range []string{"a", "b", "c"} {
			add(payload)
		}
		start := time.Now()
		gotNow, freshNow, _ := state()
		quicktest.Assert(t, gotNow, quicktest.Equals, "abc")
		quicktest.Assert(t, freshNow, quicktest.Equals, plog.Freshness{Sent: start, Next: 3, Tail: 3})

		// The read waits at the tail for a second, so its freshness is a second old when it returns.
		time.Sleep(1500 * time.Millisecond)
		_, freshNow, _ = state()
		quicktest.Assert(t, freshNow.Sent, quicktest.Equals, start)

		log.SetFaults(stand.LogFaults{Down: true})
		time.Sleep(10 * time.Second)
		_, freshNow, failuresNow := state()
		quicktest.Assert(t, failuresNow > 0, quicktest.IsTrue)
		quicktest.Assert(t, time.Since(freshNow.Sent) > 9*time.Second, quicktest.IsTrue)
		log.SetFaults(stand.LogFaults{})
		add("d")
		time.Sleep(5 * time.Second)
		gotNow, freshNow, _ = state()
		quicktest.Assert(t, gotNow, quicktest.Equals, "abcd")
		quicktest.Assert(t, freshNow.AtTail(), quicktest.IsTrue)
	})
}

// Guards against a reader that skips truncated records, or retries them in a busy loop.
func TestReaderReportsTruncation(t *testing.T) {
	log := stand.NewLog()
	for range 3 {
		_, err := log.Append(t.Context(), "s", []clementinewind.Record{{Writer: 1}})
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	log.Truncate("s", 2)
	err := plog.NewReader(plog.ReaderConfig{Log: log, Stream: "s", From: 1}).Run(t.Context())
	quicktest.Assert(t, errors.Is(err, clementinewind.ErrTruncated), quicktest.IsTrue, quicktest.Commentf("%v", err))
	oldest, tail, err := plog.Bounds(t.Context(), log, "s")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, []clementinewind.Offset{oldest, tail}, quicktest.DeepEquals, []clementinewind.Offset{2, 3})
}

// staleLog answers like a log replica that lags behind.
type staleLog struct{ clementinewind.Log }

func (staleLog) Read(_ context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	return clementinewind.LogBatch{First: query.From, Tail: query.From - 1}, nil
}

// Guards against a reader that counts as fresh after a response from a log replica that lags behind.
func TestReaderRejectsStaleResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var failed error
		err := plog.NewReader(plog.ReaderConfig{
			Log: staleLog{}, Stream: "s", From: 5,
			OnFreshness: func(plog.Freshness) { t.Error("stale reply taken as proof of freshness") },
			OnError:     func(err error) { failed = err },
		}).Run(ctx)
		quicktest.Assert(t, err, quicktest.Equals, context.DeadlineExceeded)
		quicktest.Assert(t, errors.Is(failed, clementinewind.ErrLogUnavailable), quicktest.IsTrue)
	})
}
