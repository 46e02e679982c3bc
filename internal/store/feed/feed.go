package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrTruncated is returned by Read for an offset whose records are no longer kept.
var ErrTruncated = errors.New("records at this offset are no longer kept")

// Record is one write to a key of a topic. A record without a value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Deleted reports whether the record deletes its key.
func (record Record) Deleted() bool { return len(record.Value) == 0 }

// Batch is a part of a topic.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next int64
}

// Source reads topics.
type Source interface {
	// Newest returns the newest record of each key, and the offset from which Read continues.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records from an offset. At the end of the topic it waits for new ones.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}
