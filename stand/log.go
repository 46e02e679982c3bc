package stand

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
)

// defaultReadLimit is the number of records that a read returns when its query sets no limit.
const defaultReadLimit = 1000

// LogFaults are the faults that a Log shows. The zero value is a healthy log.
type LogFaults struct {
	// Down makes every append and read fail without effect.
	Down bool
	// LoseReplies makes appends take effect and then fail.
	LoseReplies bool
	// Delay is added before each append and read takes effect.
	Delay time.Duration
}

// Log is an append-only log in memory.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int64
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

// SetFaults replaces the faults that the log shows.
func (log *Log) SetFaults(faults LogFaults) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.faults = faults
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
	if err := log.enter(ctx); err != nil {
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
	close(stream.changed)
	stream.changed = make(chan struct{})
	if log.faults.LoseReplies {
		return 0, clementinewind.ErrLogUnavailable
	}
	return first, nil
}

// Read returns records from an offset and waits for new ones at the tail.
func (log *Log) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	if err := log.enter(ctx); err != nil {
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
	batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
	return batch, stream.changed, nil
}

// enter applies the delay fault.
func (log *Log) enter(ctx context.Context) error {
	log.mu.Lock()
	delay := log.faults.Delay
	log.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (log *Log) stream(name string) *stream {
	found, ok := log.streams[name]
	if !ok {
		found = &stream{changed: make(chan struct{})}
		log.streams[name] = found
	}
	return found
}

func (stream *stream) tail() clementinewind.Offset {
	return stream.oldest + clementinewind.Offset(len(stream.records))
}
