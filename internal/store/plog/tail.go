package plog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// DefaultReadWait is below the 2 s for which a proof of freshness holds, since a proof dates from the start of a read.
const DefaultReadWait = time.Second

// Freshness is what a successful read of a stream proves: at the time Sent, or later, the tail was at Tail.
type Freshness struct {
	// Sent is the local time at which the read was sent.
	Sent time.Time
	// Next is the first offset that has not been handed over.
	Next clementinewind.Offset
	// Tail is the tail that the read returned.
	Tail clementinewind.Offset
}

// AtTail reports whether everything below the tail has been handed over.
func (freshness Freshness) AtTail() bool {
	return freshness.Next >= freshness.Tail
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log    clementinewind.Log
	Stream string
	// From is the first offset to hand over.
	From clementinewind.Offset
	// Limit bounds the records of a batch; 0 takes the default of the log.
	Limit int
	// Wait is how long one read waits for new records; 0 takes 1 s.
	Wait time.Duration
	// CallTimeout bounds each read, in addition to Wait; 0 takes 2 s.
	CallTimeout time.Duration
	// Backoff is the delay after failed reads.
	Backoff Backoff
	// Handle takes the records in order; batches are never empty. An error ends Run.
	Handle func(ctx context.Context, batch clementinewind.LogBatch) error
	// OnFreshness is called after every successful read, after Handle; it may be nil.
	OnFreshness func(freshness Freshness)
	// OnError is called after every failed read; it may be nil.
	OnError func(err error)
}

// Reader follows one stream.
type Reader struct {
	config ReaderConfig
}

// NewReader returns a reader that follows a stream while Run runs.
func NewReader(config ReaderConfig) *Reader {
	if config.Wait <= 0 {
		config.Wait = DefaultReadWait
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.OnFreshness == nil {
		config.OnFreshness = func(Freshness) {}
	}
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	return &Reader{config: config}
}

// Run follows the stream until ctx ends, Handle fails, or the next offset is no longer kept; the error then matches
// clementinewind.ErrTruncated. All other failures are retried.
func (tail *Reader) Run(ctx context.Context) error {
	next := tail.config.From
	// The first read, and the first after a failure, does not wait, so that freshness is proved without delay.
	wait := time.Duration(0)
	for attempt := 0; ; {
		sent := time.Now()
		batch, err := tail.read(ctx, next, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			tail.config.OnError(err)
			if errors.Is(err, clementinewind.ErrTruncated) {
				return errors.Wrapf(err, "stream %s offset %d", tail.config.Stream, next)
			}
			if err := tail.config.Backoff.Wait(ctx, attempt); err != nil {
				return err
			}
			attempt, wait = attempt+1, 0
			continue
		}
		attempt, wait = 0, tail.config.Wait
		if len(batch.Records) > 0 {
			if err := tail.config.Handle(ctx, batch); err != nil {
				return err
			}
			next = batch.Next()
		}
		tail.config.OnFreshness(Freshness{Sent: sent, Next: next, Tail: batch.Tail})
	}
}

// read makes one call. A reply that does not continue at next, or whose tail lies below it, comes from a log that is
// behind; it proves no freshness and counts as a failure.
func (tail *Reader) read(ctx context.Context, next clementinewind.Offset, wait time.Duration) (clementinewind.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+tail.config.CallTimeout)
	defer cancel()
	batch, err := tail.config.Log.Read(ctx, clementinewind.LogQuery{
		Stream: tail.config.Stream, From: next, Limit: tail.config.Limit, Wait: wait,
	})
	if err != nil {
		return batch, err
	}
	if batch.First != next || batch.Tail < batch.Next() {
		return batch, errors.Wrapf(clementinewind.ErrLogUnavailable,
			"stream %s: read from %d returned %d records from %d with tail %d",
			tail.config.Stream, next, len(batch.Records), batch.First, batch.Tail)
	}
	return batch, nil
}
