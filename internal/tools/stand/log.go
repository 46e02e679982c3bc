package stand

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

// defaultReadLimit is the number of records that a read returns when its query sets no limit.
const defaultReadLimit = 1000

// maxReadBytes bounds the total payload of a read, so that the reply stays below the message size limit of clients. A
// larger single record is still returned.
const maxReadBytes = 4 << 20

// LogFaults are the faults injected into a Log. The zero value injects none.
type LogFaults struct {
	// Down makes every append and read fail without effect.
	Down bool
	// LoseReplies makes appends take effect and then fail.
	LoseReplies bool
	// Delay is added before each append and read takes effect.
	Delay time.Duration
}

// Log is an in-memory append-only log with named streams.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int64
	// retention is the age above which records are dropped; 0 keeps all.
	retention time.Duration
}

type stream struct {
	records []clementinewind.Record
	oldest  clementinewind.Offset
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetFaults replaces the injected faults. It wakes the reads that wait at the tail, so that they fail at once in an
// outage.
func (log *Log) SetFaults(faults LogFaults) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.faults = faults
	for _, stream := range log.streams {
		stream.notify()
	}
}

// SetRetention sets the age above which records are dropped; 0 keeps all.
func (log *Log) SetRetention(retention time.Duration) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.retention = retention
}

// Appends returns the number of append calls that took effect.
func (log *Log) Appends() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.appends
}

// Truncate drops the records of a stream below oldest.
func (log *Log) Truncate(name string, oldest clementinewind.Offset) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(name)
	if drop := min(int(oldest-stream.oldest), len(stream.records)); drop > 0 {
		stream.records = append([]clementinewind.Record(nil), stream.records[drop:]...)
		stream.oldest += clementinewind.Offset(drop)
	}
}

// Append adds records to a stream and returns the offset of the first one.
func (log *Log) Append(ctx context.Context, name string, records []clementinewind.Record) (clementinewind.Offset, error) {
	if err := log.applyDelay(ctx); err != nil {
		return 0, err
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.faults.Down {
		return 0, clementinewind.ErrLogUnavailable
	}
	stream := log.stream(name)
	first := stream.tail()
	now := time.Now()
	for _, record := range records {
		record.Time = now
		stream.records = append(stream.records, record)
	}
	log.appends++
	stream.notify()
	if log.faults.LoseReplies {
		return 0, clementinewind.ErrLogUnavailable
	}
	return first, nil
}

// Read returns records from an offset. At the tail it waits up to query.Wait for new ones.
func (log *Log) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	if err := log.applyDelay(ctx); err != nil {
		return clementinewind.LogBatch{}, err
	}
	timer := time.NewTimer(query.Wait)
	defer timer.Stop()
	for expired := query.Wait <= 0; ; {
		batch, changed, err := log.read(query)
		if err != nil || len(batch.Records) > 0 || expired {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return clementinewind.LogBatch{}, ctx.Err()
		}
	}
}

func (log *Log) read(query clementinewind.LogQuery) (clementinewind.LogBatch, <-chan struct{}, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	stream := log.stream(query.Stream)
	batch := clementinewind.LogBatch{First: query.From, Tail: stream.tail(), Oldest: stream.oldest}
	switch {
	case log.faults.Down:
		return batch, nil, clementinewind.ErrLogUnavailable
	case query.From < stream.oldest:
		return batch, nil, clementinewind.ErrTruncated
	case query.From >= stream.tail():
		return batch, stream.changed, nil
	}
	limit := query.Limit
	if limit <= 0 {
		limit = defaultReadLimit
	}
	rest := stream.records[query.From-stream.oldest:]
	size := 0
	for i, record := range rest[:min(limit, len(rest))] {
		if size += len(record.Payload); i > 0 && size > maxReadBytes {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, stream.changed, nil
}

// applyDelay waits for the injected delay.
func (log *Log) applyDelay(ctx context.Context) error {
	log.mu.Lock()
	delay := log.faults.Delay
	log.mu.Unlock()
	return pause.For(ctx, delay)
}

func (log *Log) stream(name string) *stream {
	found, ok := log.streams[name]
	if !ok {
		found = &stream{changed: make(chan struct{})}
		log.streams[name] = found
	}
	if log.retention > 0 {
		found.expire(time.Now().Add(-log.retention))
	}
	return found
}

// notify wakes the reads that wait at the tail. The caller holds the log's mutex.
func (stream *stream) notify() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// expire drops the records that are older than before.
func (stream *stream) expire(before time.Time) {
	drop := 0
	for drop < len(stream.records) && stream.records[drop].Time.Before(before) {
		// Clear the entry, because the backing array keeps its payload alive until append reallocates the array.
		stream.records[drop] = clementinewind.Record{}
		drop++
	}
	stream.records = stream.records[drop:]
	stream.oldest += clementinewind.Offset(drop)
}

func (stream *stream) tail() clementinewind.Offset {
	return stream.oldest + clementinewind.Offset(len(stream.records))
}
