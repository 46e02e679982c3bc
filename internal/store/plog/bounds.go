package plog

import (
	"context"
	"math"

	"github.com/clementinewind/clementinewind"
)

// Bounds returns the oldest retained offset and the tail of a stream. It reads above the tail, because such a read
// returns no records and never fails with ErrTruncated.
func Bounds(ctx context.Context, log clementinewind.Log, stream string) (oldest, tail clementinewind.Offset, err error) {
	batch, err := log.Read(ctx, clementinewind.LogQuery{Stream: stream, From: math.MaxInt64})
	if err != nil {
		return 0, 0, err
	}
	return batch.Oldest, batch.Tail, nil
}
