package event

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

const (
	// readBatch is the number of records of one read, about 200 B each.
	readBatch = 1000
	// maxScan bounds the records that one query reads, so that a query without a time does not read the whole retention.
	maxScan = 100_000
)

// ErrScanLimit is returned with the events found if a query would have to read too many records.
var ErrScanLimit = errors.New("the query covers more than 100,000 disclosed events; give a shorter time")

// ReadDisclosed returns the selected events of the events stream, which also holds those of routers that are gone. Records
// that cannot be decoded are skipped, because they come from a newer version.
func ReadDisclosed(ctx context.Context, log clementinewind.Log, query Query) ([]clementinewind.Event, error) {
	first, tail, err := bounds(ctx, log)
	if err != nil {
		return nil, err
	}
	if !query.Since.IsZero() {
		// A record is written after its event, so earlier records hold no selected event, except by the difference of the
		// clocks of the instance and the log.
		if first, err = seek(ctx, log, first, tail, query.Since.Add(-maxAhead)); err != nil {
			return nil, err
		}
	}
	var found []clementinewind.Event
	for offset := first; offset < tail; {
		if offset-first >= maxScan {
			return Merge(query, found), ErrScanLimit
		}
		batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.EventStream, From: offset, Limit: readBatch})
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

// bounds returns the oldest offset that the log keeps and the tail.
func bounds(ctx context.Context, log clementinewind.Log) (first, tail clementinewind.Offset, err error) {
	batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.EventStream, Limit: 1})
	if err != nil && !errors.Is(err, clementinewind.ErrTruncated) {
		return 0, 0, errors.Wrap(err, "read disclosed events")
	}
	return batch.Oldest, batch.Tail, nil
}

// seek returns the offset of the first record that the log received at a time or later, by binary search.
func seek(
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
