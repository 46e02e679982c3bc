package plog

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
)

const (
	// defaultBudget keeps 9 routers together below the several hundred appends a second that the platform serves.
	defaultBudget          = 20
	defaultMaxBatchRecords = 500
	defaultMaxBatchBytes   = 1 << 20
	// defaultRetryLimit is well below DefaultDedupWindow, so that readers still know the writer when its last copy lands.
	defaultRetryLimit = 10 * time.Minute
	// floorMaxAge bounds how much of the stream is read back after a lost reply on a stream that this writer seldom uses.
	floorMaxAge = time.Minute
)

var (
	// ErrWriterStopped is the cause of an AppendError when Run has returned.
	ErrWriterStopped = errors.New("log writer stopped")
	// ErrRetryLimit is the cause of an AppendError when a record was retried for WriterConfig.RetryLimit.
	ErrRetryLimit = errors.New("log append retried for too long")
	// ErrRecordTooLarge is returned for a payload above WriterConfig.MaxBatchBytes.
	ErrRecordTooLarge = errors.New("log record too large")
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	Log    clementinewind.Log
	Stream string
	// Limiter limits append calls, including retries. Writers of one process share it. Nil takes 20 a second.
	Limiter *rate.Limiter
	// Backoff is the delay between retries.
	Backoff Backoff
	// CallTimeout bounds each call to Log; 0 takes 2 s.
	CallTimeout time.Duration
	// RetryLimit bounds the time for which one record is retried; 0 takes 10 min. It must be below the time after which
	// readers forget a writer.
	RetryLimit time.Duration
	// MaxBatchRecords and MaxBatchBytes bound one append call; 0 takes 500 records and 1 MiB.
	MaxBatchRecords int
	MaxBatchBytes   int
	// ID is the Writer of the records; 0 draws a random one. Two writers must never share it.
	ID uint64
}

// Writer appends records to one stream. Records that arrive while a call is in flight are sent together in the next.
type Writer struct {
	config WriterConfig
	wake   chan struct{}

	mu      sync.Mutex
	queue   []*pendingRecord
	stopped bool
	last    error

	// The fields below belong to the goroutine of Run.
	sequence uint64
	// floor is an offset at or below which no record lies that has not been settled yet.
	floor   clementinewind.Offset
	floorAt time.Time
}

// pendingRecord is a record with a caller that waits for its offset. Its fields are guarded by Writer.mu.
type pendingRecord struct {
	payload  []byte
	sequence uint64
	// sent is set before the record is first handed to the log.
	sent      bool
	abandoned bool
	settled   bool
	offset    clementinewind.Offset
	err       error
	done      chan struct{}
}

// NewWriter returns a writer. Its records are sent while Run runs.
func NewWriter(config WriterConfig) *Writer {
	if config.Limiter == nil {
		config.Limiter = rate.NewLimiter(defaultBudget, defaultBudget)
	}
	if config.CallTimeout <= 0 {
		config.CallTimeout = defaultCallTimeout
	}
	if config.RetryLimit <= 0 {
		config.RetryLimit = defaultRetryLimit
	}
	if config.MaxBatchRecords <= 0 {
		config.MaxBatchRecords = defaultMaxBatchRecords
	}
	if config.MaxBatchBytes <= 0 {
		config.MaxBatchBytes = defaultMaxBatchBytes
	}
	for config.ID == 0 {
		var id [8]byte
		rand.Read(id[:])
		config.ID = binary.LittleEndian.Uint64(id[:])
	}
	return &Writer{config: config, wake: make(chan struct{}, 1)}
}

// ID returns the Writer of the records that the writer appends.
func (writer *Writer) ID() uint64 {
	return writer.config.ID
}

// Append adds one record and returns the offset of its first effective copy once the record is known to be in the log.
// The writer keeps payload, which must not be modified any more. The error is an *AppendError, or ErrRecordTooLarge.
func (writer *Writer) Append(ctx context.Context, payload []byte) (clementinewind.Offset, error) {
	if len(payload) > writer.config.MaxBatchBytes {
		return 0, errors.Wrapf(ErrRecordTooLarge, "%d bytes", len(payload))
	}
	record := &pendingRecord{payload: payload, done: make(chan struct{})}
	if err := writer.enqueue(ctx, record); err != nil {
		return 0, err
	}
	select {
	case <-record.done:
	case <-ctx.Done():
		writer.abandon(record, ctx.Err())
	}
	return record.offset, record.err
}

func (writer *Writer) enqueue(ctx context.Context, record *pendingRecord) error {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return &AppendError{Cause: err, Last: writer.last}
	}
	if writer.stopped {
		return &AppendError{Cause: ErrWriterStopped, Last: writer.last}
	}
	writer.queue = append(writer.queue, record)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon gives up a record unless it has been settled. A record that was sent keeps its sequence, so a late copy takes
// effect only if no later record of this writer has.
func (writer *Writer) abandon(record *pendingRecord, cause error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if record.settled {
		return
	}
	record.abandoned = true
	record.settled = true
	record.err = &AppendError{MayHaveTakenEffect: record.sent, Cause: cause, Last: writer.last}
}

// Run sends records until ctx ends, and then fails all records that were not settled.
func (writer *Writer) Run(ctx context.Context) error {
	var batch []*pendingRecord
	defer func() { writer.stop(batch) }()
	for {
		select {
		case <-writer.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for writer.waiting() {
			if err := writer.refreshFloor(ctx); err != nil {
				return err
			}
			if writer.floorStale() {
				continue
			}
			if err := writer.config.Limiter.Wait(ctx); err != nil {
				return stopCause(ctx, err)
			}
			batch = writer.take()
			if err := writer.send(ctx, batch); err != nil {
				return err
			}
			batch = nil
		}
	}
}

// stopCause replaces the error of a rate limiter, which does not wrap that of its context.
func stopCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (writer *Writer) stop(batch []*pendingRecord) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.stopped = true
	for _, record := range append(batch, writer.queue...) {
		writer.fail(record, ErrWriterStopped)
	}
	writer.queue = nil
}

// fail settles a record as not confirmed. The caller holds mu.
func (writer *Writer) fail(record *pendingRecord, cause error) {
	if record.settled {
		return
	}
	record.settled = true
	record.err = &AppendError{MayHaveTakenEffect: record.sent, Cause: cause, Last: writer.last}
	close(record.done)
}

// waiting drops abandoned records from the head of the queue and reports whether others are left.
func (writer *Writer) waiting() bool {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	for len(writer.queue) > 0 && writer.queue[0].abandoned {
		writer.queue = writer.queue[1:]
	}
	return len(writer.queue) > 0
}

// take moves the head of the queue into a batch and numbers its records.
func (writer *Writer) take() []*pendingRecord {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	var batch []*pendingRecord
	for size := 0; len(writer.queue) > 0 && len(batch) < writer.config.MaxBatchRecords; writer.queue = writer.queue[1:] {
		record := writer.queue[0]
		if record.abandoned {
			continue
		}
		if size += len(record.payload); size > writer.config.MaxBatchBytes && len(batch) > 0 {
			break
		}
		writer.sequence++
		record.sequence = writer.sequence
		batch = append(batch, record)
	}
	if len(writer.queue) == 0 {
		writer.queue = nil
	}
	return batch
}

// send appends a batch again and again until it is known to be in the log or none of its callers waits any more. It
// returns an error only when ctx has ended.
func (writer *Writer) send(ctx context.Context, batch []*pendingRecord) error {
	started := time.Now()
	for attempt := 0; ; attempt++ {
		if attempt > 0 && writer.retriedTooLong(started) {
			writer.failAll(batch, ErrRetryLimit)
			return nil
		}
		live, records := writer.live(batch)
		if len(live) == 0 {
			return nil
		}
		first, err := writer.append(ctx, records)
		if err == nil {
			if attempt == 0 {
				writer.settle(live, first, nil)
				return nil
			}
			return writer.settleByReading(ctx, live, first)
		}
		writer.setLast(err)
		if err := writer.config.Backoff.Wait(ctx, attempt); err != nil {
			return err
		}
		if err := writer.config.Limiter.Wait(ctx); err != nil {
			return stopCause(ctx, err)
		}
	}
}

// retriedTooLong reports whether a retry could meet readers that have forgotten the first copy. It compares wall clocks as
// well, because the monotonic clock stops while a machine is suspended.
func (writer *Writer) retriedTooLong(started time.Time) bool {
	return max(time.Since(started), time.Now().Round(0).Sub(started.Round(0))) > writer.config.RetryLimit
}

// live returns the records of a batch that still have a caller, and marks them as sent.
func (writer *Writer) live(batch []*pendingRecord) ([]*pendingRecord, []clementinewind.Record) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	live := make([]*pendingRecord, 0, len(batch))
	records := make([]clementinewind.Record, 0, len(batch))
	for _, record := range batch {
		if record.settled {
			continue
		}
		record.sent = true
		live = append(live, record)
		records = append(records, clementinewind.Record{
			Writer: writer.config.ID, Sequence: record.sequence, Payload: record.payload,
		})
	}
	return live, records
}

func (writer *Writer) append(ctx context.Context, records []clementinewind.Record) (clementinewind.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, writer.config.CallTimeout)
	defer cancel()
	return writer.config.Log.Append(ctx, writer.config.Stream, records)
}

func (writer *Writer) read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, writer.config.CallTimeout)
	defer cancel()
	return writer.config.Log.Read(ctx, query)
}

// settle gives the callers of a batch their offsets: those of earlier copies, else those of the copies at first.
func (writer *Writer) settle(batch []*pendingRecord, first clementinewind.Offset, earlier map[uint64]clementinewind.Offset) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.last = nil
	writer.floor = first + clementinewind.Offset(len(batch))
	writer.floorAt = time.Now()
	for i, record := range batch {
		if record.settled {
			continue
		}
		record.settled = true
		record.offset = first + clementinewind.Offset(i)
		if offset, ok := earlier[record.sequence]; ok {
			record.offset = offset
		}
		close(record.done)
	}
}

// settleByReading looks for copies of a batch below first, which earlier calls with lost replies have left, because
// the first copy of a record is the one that takes effect.
func (writer *Writer) settleByReading(ctx context.Context, batch []*pendingRecord, first clementinewind.Offset) error {
	earlier := map[uint64]clementinewind.Offset{}
	next := writer.floor
	for attempt := 0; next < first; {
		found, err := writer.read(ctx, clementinewind.LogQuery{Stream: writer.config.Stream, From: next})
		switch {
		case errors.Is(err, clementinewind.ErrTruncated):
			// The first copy may have been among the records that are no longer kept.
			writer.setLast(err)
			writer.failAll(batch, clementinewind.ErrTruncated)
			writer.floorAt = time.Time{}
			return nil
		case err != nil || len(found.Records) == 0 || found.First != next:
			writer.setLast(err)
			if live, _ := writer.live(batch); len(live) == 0 {
				writer.floorAt = time.Time{}
				return nil
			}
			if err := writer.config.Backoff.Wait(ctx, attempt); err != nil {
				return err
			}
			attempt++
			continue
		}
		for i, record := range found.Records {
			offset := found.First + clementinewind.Offset(i)
			if record.Writer != writer.config.ID || offset >= first {
				continue
			}
			if _, ok := earlier[record.Sequence]; !ok {
				earlier[record.Sequence] = offset
			}
		}
		next, attempt = found.Next(), 0
	}
	writer.settle(batch, first, earlier)
	return nil
}

func (writer *Writer) failAll(batch []*pendingRecord, cause error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	for _, record := range batch {
		writer.fail(record, cause)
	}
}

func (writer *Writer) setLast(err error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if err != nil {
		writer.last = err
	}
}

func (writer *Writer) floorStale() bool {
	return writer.floorAt.IsZero() || time.Since(writer.floorAt) > floorMaxAge
}

// refreshFloor reads the tail before a batch is first sent, unless a recent append has shown it. Nothing is sent before
// the tail is known, so records that wait for it have certainly not been appended. It gives up when no record waits.
func (writer *Writer) refreshFloor(ctx context.Context) error {
	for attempt := 0; writer.floorStale(); attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, writer.config.CallTimeout)
		_, tail, err := Bounds(callCtx, writer.config.Log, writer.config.Stream)
		cancel()
		if err == nil {
			writer.floor = max(writer.floor, tail)
			writer.floorAt = time.Now()
			break
		}
		writer.setLast(err)
		if err := writer.config.Backoff.Wait(ctx, attempt); err != nil {
			return err
		}
		if !writer.waiting() {
			break
		}
	}
	return nil
}
