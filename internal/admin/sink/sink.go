// Package sink provides a log writer that never blocks the caller: it limits the rate of log lines, writes them in the
// background and drops lines that exceed its limits.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// queueSize is the number of lines that may wait for a slow output.
	queueSize = 1024
	// maxLinesPerSecond limits the log volume under load.
	maxLinesPerSecond = 400
	// reservedFraction is the fraction of maxLinesPerSecond that only warnings and errors may use, so that lines about
	// successful requests cannot crowd out those about failures.
	reservedFraction = 0.5
	// batchDelay is the time in which lines are collected into one write.
	batchDelay        = 20 * time.Millisecond
	flushPollInterval = 2 * time.Millisecond
)

// Sink is an io.Writer for log lines that drops and counts lines beyond its limits. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// pending is the number of queued lines that have not been written.
	pending atomic.Int64

	// mutex guards the rate limit: the start of the current second and the lines allowed in it.
	mutex  sync.Mutex
	second time.Time
	count  int
}

// New returns a sink that writes to out in a goroutine of its own for the rest of the process.
func New(out io.Writer) *Sink {
	sink := &Sink{out: out, lines: make(chan []byte, queueSize)}
	go sink.run()
	return sink
}

// Exclude is the Exclude function of an hclog.Logger: it reports whether a line exceeds the rate limit, and counts it as
// dropped. The logger calls it before it formats the line, which is the most expensive step.
func (sink *Sink) Exclude(level hclog.Level, _ string, _ ...any) bool {
	if sink.allow(level >= hclog.Warn, time.Now()) {
		return false
	}
	sink.dropped.Add(1)
	return true
}

// Write queues a line, or drops it if the queue is full. It never blocks and never returns an error.
func (sink *Sink) Write(line []byte) (int, error) {
	sink.pending.Add(1)
	select {
	case sink.lines <- bytes.Clone(line):
	default:
		sink.pending.Add(-1)
		sink.dropped.Add(1)
	}
	return len(line), nil
}

func (sink *Sink) allow(highPriority bool, now time.Time) bool {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	if now.Sub(sink.second) >= time.Second {
		sink.second, sink.count = now, 0
	}
	limit := maxLinesPerSecond
	if !highPriority {
		limit = int(maxLinesPerSecond * (1 - reservedFraction))
	}
	if sink.count >= limit {
		return false
	}
	sink.count++
	return true
}

// Dropped returns the number of lines that were dropped.
func (sink *Sink) Dropped() int64 { return sink.dropped.Load() }

// Flush waits until no queued line is left to write, or until the timeout.
func (sink *Sink) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); sink.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

func (sink *Sink) run() {
	reportedDropped := int64(0)
	var batch []byte
	for line := range sink.lines {
		// Collects more lines for one write: a system call and a wake-up for each line would cost more than the line itself.
		time.Sleep(batchDelay)
		batch = append(batch[:0], line...)
		written := int64(1)
		for range len(sink.lines) {
			batch = append(batch, <-sink.lines...)
			written++
		}
		if dropped := sink.dropped.Load(); dropped != reportedDropped {
			batch = fmt.Appendf(batch, "lines left out: Total=%d\n", dropped)
			reportedDropped = dropped
		}
		// The error of a failed log write cannot be logged.
		_, _ = sink.out.Write(batch)
		sink.pending.Add(-written)
	}
}
