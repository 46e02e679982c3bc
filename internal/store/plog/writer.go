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
	// defaultAppendsPerSecond keeps 9 routers together below the several hundred appends a second that the platform
	// serves.
	defaultAppendsPerSecond = 20
	defaultMaxBatchRecords  = 500
	defaultMaxBatchBytes    = 1 << 20
	// defaultRetryLimit is well below DefaultDedupWindow, so that readers still remember the writer when its last copy
	// arrives.
	defaultRetryLimit = 10 * time.Minute
	// scanStartMaxAge bounds how much of a rarely used stream has to be read back after a lost response.
	scanStartMaxAge = time.Minute
)

var (
	// ErrWriterStopped is the cause of an AppendError after Run has returned.
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
	// Limiter limits the rate of append calls, including retries. The writers of a process can share one. Nil selects
	// 20 a second.
	Limiter *rate.Limiter
	// Backoff is the delay between retries.
	Backoff Backoff
	// CallTimeout bounds each call to Log; 0 selects 2 s.
	CallTimeout time.Duration
	// RetryLimit bounds how long a record is retried; 0 selects 10 min. It must be below the deduplication window of
	// the readers.
	RetryLimit time.Duration
	// MaxBatchRecords and MaxBatchBytes bound one append call; 0 selects 500 records and 1 MiB.
	MaxBatchRecords int
	MaxBatchBytes   int
	// ID is the Writer of the records; 0 selects a random one. No two writers may share it.
	ID uint64
}

// Writer appends records to one stream. Records that arrive while a call is in flight are sent together in the next
// call.
type Writer struct {
	config WriterConfig
	wake   chan struct{}

	mu        sync.Mutex
	queue     []*pendingRecord
	stopped   bool
	lastError error

	// The fields below are only used by the goroutine of Run.
	sequence uint64
	// scanStart is an offset below which there is no copy of a record that has not been settled yet, so a search for
	// earlier copies starts there. scanStartAt is when it was last updated.
	scanStart   clementinewind.Offset
	scanStartAt time.Time
}

// pendingRecord is a record whose caller waits for its offset. Its fields are guarded by Writer.mu.
type pendingRecord struct {
	payload  []byte
	sequence uint64
	// sent is set before the record is first passed to the log.
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
		config.Limiter = rate.NewLimiter(defaultAppendsPerSecond, defaultAppendsPerSecond)
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

// Append appends one record. Once the record is known to be in the log, it returns the offset of the first copy, which
// is the one that takes effect. The writer keeps payload, which must not be modified any more. The error is an
// *AppendError or ErrRecordTooLarge.
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
		return &AppendError{Cause: err, Last: writer.lastError}
	}
	if writer.stopped {
		return &AppendError{Cause: ErrWriterStopped, Last: writer.lastError}
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
	record.err = &AppendError{MayHaveTakenEffect: record.sent, Cause: cause, Last: writer.lastError}
}

// Run sends records until ctx ends, and then fails all records that have not been settled.
func (writer *Writer) Run(ctx context.Context) error {
	var batch []*pendingRecord
	defer func() { writer.stop(batch) }()
	for {
		select {
		case <-writer.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for writer.hasPending() {
			if err := writer.refreshScanStart(ctx); err != nil {
				return err
			}
			if writer.scanStartStale() {
				continue
			}
			if err := writer.config.Limiter.Wait(ctx); err != nil {
				return contextError(ctx, err)
			}
			batch = writer.nextBatch()
			if err := writer.send(ctx, batch); err != nil {
				return err
			}
			batch = nil
		}
	}
}

// contextError replaces the error of a rate limiter, which does not wrap that of its context.
func contextError(ctx context.Context, err error) error {
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
	record.err = &AppendError{MayHaveTakenEffect: record.sent, Cause: cause, Last: writer.lastError}
	close(record.done)
}

// hasPending drops abandoned records from the head of the queue and reports whether any other is left.
func (writer *Writer) hasPending() bool {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	for len(writer.queue) > 0 && writer.queue[0].abandoned {
		writer.queue = writer.queue[1:]
	}
	return len(writer.queue) > 0
}

// nextBatch moves records from the head of the queue to a batch and assigns their sequences.
func (writer *Writer) nextBatch() []*pendingRecord {
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

// send retries a batch until it is known to be in the log or none of its callers waits any more. It returns an error
// only if ctx has ended.
func (writer *Writer) send(ctx context.Context, batch []*pendingRecord) error {
	started := time.Now()
	for attempt := 0; ; attempt++ {
		if attempt > 0 && writer.retriedTooLong(started) {
			writer.failAll(batch, ErrRetryLimit)
			return nil
		}
		live, records := writer.liveRecords(batch)
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
		writer.setLastError(err)
		if err := writer.config.Backoff.Wait(ctx, attempt); err != nil {
			return err
		}
		if err := writer.config.Limiter.Wait(ctx); err != nil {
			return contextError(ctx, err)
		}
	}
}

// retriedTooLong reports whether readers may have forgotten the first copy of a record by the time of a retry. It also
// compares wall clocks, because the monotonic clock stops while a machine is suspended.
func (writer *Writer) retriedTooLong(started time.Time) bool {
	return max(time.Since(started), time.Now().Round(0).Sub(started.Round(0))) > writer.config.RetryLimit
}

// liveRecords returns the records of a batch that still have a caller, and marks them as sent.
func (writer *Writer) liveRecords(batch []*pendingRecord) ([]*pendingRecord, []clementinewind.Record) {
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

// settle reports to the callers of a batch their offsets: that of an earlier copy if there is one, else that of the
// copy in the append at first.
func (writer *Writer) settle(batch []*pendingRecord, first clementinewind.Offset, earlier map[uint64]clementinewind.Offset) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.lastError = nil
	writer.scanStart = first + clementinewind.Offset(len(batch))
	writer.scanStartAt = time.Now()
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

// settleByReading looks for copies of a batch below first, because the first copy of a record is the one that takes
// effect. They stem from earlier appends whose responses were lost.
func (writer *Writer) settleByReading(ctx context.Context, batch []*pendingRecord, first clementinewind.Offset) error {
	earlier := map[uint64]clementinewind.Offset{}
	next := writer.scanStart
	for attempt := 0; next < first; {
		found, err := writer.read(ctx, clementinewind.LogQuery{Stream: writer.config.Stream, From: next})
		switch {
		case errors.Is(err, clementinewind.ErrTruncated):
			// The first copy may be among the records that are no longer retained.
			writer.setLastError(err)
			writer.failAll(batch, clementinewind.ErrTruncated)
			writer.scanStartAt = time.Time{}
			return nil
		case err != nil || len(found.Records) == 0 || found.First != next:
			writer.setLastError(err)
			if live, _ := writer.liveRecords(batch); len(live) == 0 {
				writer.scanStartAt = time.Time{}
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

func (writer *Writer) setLastError(err error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if err != nil {
		writer.lastError = err
	}
}

func (writer *Writer) scanStartStale() bool {
	return writer.scanStartAt.IsZero() || time.Since(writer.scanStartAt) > scanStartMaxAge
}

// refreshScanStart reads the tail before a batch is first sent, unless a recent append has returned it. Nothing is sent
// before the tail is known, so a record that waits for it has certainly not been appended. It returns early if no
// record is pending.
func (writer *Writer) refreshScanStart(ctx context.Context) error {
	for attempt := 0; writer.scanStartStale(); attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, writer.config.CallTimeout)
		_, tail, err := Bounds(callCtx, writer.config.Log, writer.config.Stream)
		cancel()
		if err == nil {
			writer.scanStart = max(writer.scanStart, tail)
			writer.scanStartAt = time.Now()
			break
		}
		writer.setLastError(err)
		if err := writer.config.Backoff.Wait(ctx, attempt); err != nil {
			return err
		}
		if !writer.hasPending() {
			break
		}
	}
	return nil
}
