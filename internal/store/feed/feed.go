package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrTruncated is returned by Read for an offset whose records are no longer retained.
var ErrTruncated = errors.New("records at this offset are no longer kept")

// Record is a write to a key of a topic. A record without a value is a tombstone, which deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Deleted reports whether the record is a tombstone.
func (record Record) Deleted() bool { return len(record.Value) == 0 }

// Batch is the result of one read of a topic.
type Batch struct {
	Records []Record
	// Next is the offset at which the next read continues.
	Next int64
	// Compacted is set if earlier records of a key may be left out, so that a key may have been deleted before its record.
	Compacted bool
}

// FullRead is the offset with which a router reads the newest record of each key from another router. An offset of 0 is that of an
// incremental read of a topic that was empty.
const FullRead int64 = -1

// Source reads topics from the store or from another router.
type Source interface {
	// Newest returns the newest record of each key, and the offset at which Read continues.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records at and above an offset. At the end of the topic it waits up to wait for new ones.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}
