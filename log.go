package clementinewind

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrTruncated is returned for a read below the oldest retained offset.
	ErrTruncated = errors.New("log records at this offset are no longer kept")
	// ErrLogUnavailable is returned when the log is unreachable or temporarily refuses requests. The records of a failed
	// append may still have been written.
	ErrLogUnavailable = errors.New("log unavailable")
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream atomically and returns the offset of the first one.
	Append(ctx context.Context, stream string, records []Record) (Offset, error)
	// Read returns records from query.From on. At the tail it waits up to query.Wait for new records.
	Read(ctx context.Context, query LogQuery) (LogBatch, error)
}

// LogQuery selects records of one stream.
type LogQuery struct {
	Stream string
	From   Offset
	// Limit is the maximum number of records to return; 0 means the log's default.
	Limit int
	Wait  time.Duration
}

// LogBatch is the answer to a LogQuery.
type LogBatch struct {
	Records []Record
	// First is the offset of the first record.
	First Offset
	// Tail is the offset that the next appended record will get.
	Tail Offset
	// Oldest is the oldest retained offset.
	Oldest Offset
}

// Next returns the offset that follows the last record of the batch.
func (batch LogBatch) Next() Offset {
	return batch.First + Offset(len(batch.Records))
}
