package plog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// DefaultReadWait is below the 2 s for which a Freshness is valid, because a Freshness counts from the start of the
// read.
const DefaultReadWait = time.Second

// Freshness tells how up to date a reader is after a read: at Sent or later, the tail of the stream was at Tail.
type Freshness struct {
	// Sent is the local time at which the read was sent.
	Sent time.Time
	// Next is the first offset that has not been passed to the handler.
	Next clementinewind.Offset
	// Tail is the tail that the read returned.
	Tail clementinewind.Offset
}

// AtTail reports whether all records below the tail have been passed to the handler.
func (freshness Freshness) AtTail() bool {
	return freshness.Next >= freshness.Tail
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log    clementinewind.Log
	Stream string
	// From is the first offset to read.
	From clementinewind.Offset
	// Limit is the largest number of records of a batch; 0 selects the default of the log.
	Limit int
	// Wait is how long one read waits for new records; 0 selects 1 s.
	Wait time.Duration
	// CallTimeout bounds each read, in addition to Wait; 0 selects 2 s.
	CallTimeout time.Duration
	// Backoff is the delay after failed reads.
	Backoff Backoff
	// Handle receives the records in log order. Batches are never empty. An error ends Run.
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

// Run follows the stream until ctx ends, Handle fails, or the next offset is no longer retained; the error then matches
// clementinewind.ErrTruncated. All other failures are retried.
func (reader *Reader) Run(ctx context.Context) error {
	next := reader.config.From
	// The first read, and the first after a failure, does not wait, so that the reader is known to be fresh without
	// delay.
	wait := time.Duration(0)
	for attempt := 0; ; {
		sent := time.Now()
		batch, err := reader.read(ctx, next, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			reader.config.OnError(err)
			if errors.Is(err, clementinewind.ErrTruncated) {
				return errors.Wrapf(err, "stream %s offset %d", reader.config.Stream, next)
			}
			if err := reader.config.Backoff.Wait(ctx, attempt); err != nil {
				return err
			}
			attempt, wait = attempt+1, 0
			continue
		}
		attempt, wait = 0, reader.config.Wait
		if len(batch.Records) > 0 {
			if err := reader.config.Handle(ctx, batch); err != nil {
				return err
			}
			next = batch.Next()
		}
		reader.config.OnFreshness(Freshness{Sent: sent, Next: next, Tail: batch.Tail})
	}
}

// read makes one call. A response that does not start at next, or whose tail is below its end, comes from a log replica
// that lags behind. It says nothing about freshness and counts as a failure.
func (reader *Reader) read(ctx context.Context, next clementinewind.Offset, wait time.Duration) (clementinewind.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+reader.config.CallTimeout)
	defer cancel()
	batch, err := reader.config.Log.Read(ctx, clementinewind.LogQuery{
		Stream: reader.config.Stream, From: next, Limit: reader.config.Limit, Wait: wait,
	})
	if err != nil {
		return batch, err
	}
	if batch.First != next || batch.Tail < batch.Next() {
		return batch, errors.Wrapf(clementinewind.ErrLogUnavailable,
			"stream %s: read from %d returned %d records from %d with tail %d",
			reader.config.Stream, next, len(batch.Records), batch.First, batch.Tail)
	}
	return batch, nil
}
