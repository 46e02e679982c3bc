package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrTruncated is returned by Read for a position whose records are no longer retained, or whose era has ended.
var ErrTruncated = errors.New("records at this position are no longer kept")

// ErrEarlierEra is returned for a response of the store, or of another router, from before the store came back from a copy.
var ErrEarlierEra = errors.New("response of an earlier era of the store")

// Record is a write to a key of a topic. A record without a value is a tombstone, which deletes the key.
type Record struct {
	Key      string
	Value    []byte
	Position Position
}

// Deleted reports whether the record is a tombstone.
func (record Record) Deleted() bool { return len(record.Value) == 0 }

// Batch is the result of one read of a topic.
type Batch struct {
	Records []Record
	// Next is the position at which the next read continues.
	Next Position
	// WrittenFrom is a position of the era of Next from which on all records are known to have been written in it. Records before may be those of
	// the copy. Zero is the same as Next. Only full reads use it.
	WrittenFrom Position
	// Compacted is set if earlier records of a key may be left out, so that a key may have been deleted before its record.
	Compacted bool
}

// FullRead is the position with which a router reads the newest record of each key from another router. A position of 0 is that of an
// incremental read of a topic that was empty.
const FullRead Position = -1

// Source reads topics from the store or from another router.
type Source interface {
	// Newest returns the newest record of each key, and the position at which Read continues.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records at and above a position. At the end of the topic it waits up to wait for new ones.
	Read(ctx context.Context, topic string, from Position, wait time.Duration) (Batch, error)
}
