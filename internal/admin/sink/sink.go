// Package sink writes log lines without ever blocking the writer.
package sink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait for a reader that is slow.
	queueLines = 1024
	// linesPerSecond bounds the volume under load; failures are logged before successes by their level.
	linesPerSecond = 400
	// reserve is the part of the lines in each second that only warnings and errors may use.
	reserve = 0.5
	// flushPause is how often Flush looks.
	flushPause = 2 * time.Millisecond
)

// Sink is an io.Writer for lines. Lines beyond its limits are left out and counted. It may be used by many goroutines.
type Sink struct {
	out   io.Writer
	lines chan []byte
	left  atomic.Int64

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

// Write queues a line. It never fails.
func (sink *Sink) Write(line []byte) (int, error) {
	urgent := bytes.Contains(line[:min(len(line), 64)], []byte("[WARN]")) || bytes.Contains(line[:min(len(line), 64)], []byte("[ERROR]"))
	if !sink.admit(urgent, time.Now()) {
		sink.left.Add(1)
		return len(line), nil
	}
	select {
	case sink.lines <- bytes.Clone(line):
	default:
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

// LeftOut returns how many lines were left out.
func (sink *Sink) LeftOut() int64 { return sink.left.Load() }

// Flush waits until the queued lines are written, for at most the given time.
func (sink *Sink) Flush(wait time.Duration) {
	for end := time.Now().Add(wait); len(sink.lines) > 0 && time.Now().Before(end); {
		time.Sleep(flushPause)
	}
}

func (sink *Sink) run() {
	reported := int64(0)
	for line := range sink.lines {
		// A line that cannot be written has nowhere else to go.
		_, _ = sink.out.Write(line)
		if left := sink.left.Load(); left != reported && len(sink.lines) == 0 {
			_, _ = fmt.Fprintf(sink.out, "lines left out: Total=%d\n", left)
			reported = left
		}
	}
}
