// Package sink writes log lines without ever blocking the writer.
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
	// queueLines is how many lines wait for a reader that is slow.
	queueLines = 1024
	// linesPerSecond bounds the volume under load; failures are logged before successes by their level.
	linesPerSecond = 400
	// reserve is the part of the lines in each second that only warnings and errors may use.
	reserve = 0.5
	// gatherTime is how long lines gather before they are written together.
	gatherTime = 20 * time.Millisecond
	// flushPause is how often Flush looks.
	flushPause = 2 * time.Millisecond
)

// Sink is an io.Writer for lines. Lines beyond its limits are left out and counted. It may be used by many goroutines.
type Sink struct {
	out   io.Writer
	lines chan []byte
	left  atomic.Int64
	// pending are the lines that were queued and not written yet.
	pending atomic.Int64

	mutex  sync.Mutex
	second time.Time
	count  int
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	sink := &Sink{out: out, lines: make(chan []byte, queueLines)}
	go sink.run()
	return sink
}

// Exclude reports whether a line is beyond the limits, and counts it as left out. Loggers ask before they format the line, which
// costs more than all else that is done for it.
func (sink *Sink) Exclude(level hclog.Level, _ string, _ ...any) bool {
	if sink.admit(level >= hclog.Warn, time.Now()) {
		return false
	}
	sink.left.Add(1)
	return true
}

// Write queues a line that was not excluded. It never fails.
func (sink *Sink) Write(line []byte) (int, error) {
	sink.pending.Add(1)
	select {
	case sink.lines <- bytes.Clone(line):
	default:
		sink.pending.Add(-1)
		sink.left.Add(1)
	}
	return len(line), nil
}

func (sink *Sink) admit(urgent bool, now time.Time) bool {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	if now.Sub(sink.second) >= time.Second {
		sink.second, sink.count = now, 0
	}
	limit := linesPerSecond
	if !urgent {
		limit = int(linesPerSecond * (1 - reserve))
	}
	if sink.count >= limit {
		return false
	}
	sink.count++
	return true
}

// Dropped returns how many lines were left out.
func (sink *Sink) Dropped() int64 { return sink.left.Load() }

// Flush waits until the lines queued so far are written, for at most the given time.
func (sink *Sink) Flush(wait time.Duration) {
	for end := time.Now().Add(wait); sink.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPause)
	}
}

func (sink *Sink) run() {
	reported := int64(0)
	var batch []byte
	for line := range sink.lines {
		// Each write and each wake-up costs more than a line.
		time.Sleep(gatherTime)
		batch = append(batch[:0], line...)
		written := int64(1)
		for range len(sink.lines) {
			batch = append(batch, <-sink.lines...)
			written++
		}
		if left := sink.left.Load(); left != reported {
			batch = fmt.Appendf(batch, "lines left out: Total=%d\n", left)
			reported = left
		}
		// Lines that cannot be written have nowhere else to go.
		_, _ = sink.out.Write(batch)
		sink.pending.Add(-written)
	}
}
