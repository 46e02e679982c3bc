package event

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

const (
	// readBatchSize is the number of records per read, about 200 B each.
	readBatchSize = 1000
	// maxScanRecords bounds the records that one query reads, so that a query without a start time does not read everything
	// that the log retains.
	maxScanRecords = 100_000
)

// ErrScanLimit is returned, with the events found so far, if a query would have to read too many records.
var ErrScanLimit = errors.New("the query covers more than 100,000 disclosed events; give a shorter time")

// ReadDisclosed returns the events in the events stream that match a query, including those of routers that no longer run.
// Records that cannot be decoded are skipped: a newer version wrote them.
func ReadDisclosed(ctx context.Context, log clementinewind.Log, query Query) ([]clementinewind.Event, error) {
	first, tail, err := offsetRange(ctx, log)
	if err != nil {
		return nil, err
	}
	if !query.Since.IsZero() {
		// A record is appended after its event, so that no matching event is in an earlier record; maxClockSkew allows for
		// an instance whose clock is ahead of the log's.
		if first, err = findOffset(ctx, log, first, tail, query.Since.Add(-maxClockSkew)); err != nil {
			return nil, err
		}
	}
	var found []clementinewind.Event
	for offset := first; offset < tail; {
		if offset-first >= maxScanRecords {
			return Merge(query, found), ErrScanLimit
		}
		batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.EventStream, From: offset, Limit: readBatchSize})
		if err != nil {
			return nil, errors.Wrapf(err, "read disclosed events from offset %d", offset)
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, record := range batch.Records {
			if event, err := DecodeDisclosure(record.Payload); err == nil && query.Matches(event) {
				found = append(found, event)
			}
		}
		offset = batch.Next()
	}
	return Merge(query, found), nil
}

// offsetRange returns the oldest retained offset of the events stream and its tail.
func offsetRange(ctx context.Context, log clementinewind.Log) (first, tail clementinewind.Offset, err error) {
	batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.EventStream, Limit: 1})
	if err != nil && !errors.Is(err, clementinewind.ErrTruncated) {
		return 0, 0, errors.Wrap(err, "read disclosed events")
	}
	return batch.Oldest, batch.Tail, nil
}

// findOffset returns the offset of the first record that the log received at or after a time, by binary search.
func findOffset(
	ctx context.Context, log clementinewind.Log, low, high clementinewind.Offset, at time.Time,
) (clementinewind.Offset, error) {
	for low < high {
		middle := low + (high-low)/2
		batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.EventStream, From: middle, Limit: 1})
		switch {
		case err != nil:
			return 0, errors.Wrapf(err, "read disclosed event at offset %d", middle)
		case len(batch.Records) == 0:
			return low, nil
		case batch.Records[0].Time.Before(at):
			low = middle + 1
		default:
			high = middle
		}
	}
	return low, nil
}
