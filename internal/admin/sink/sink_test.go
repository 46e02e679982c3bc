package sink_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/admin/sink"
)

type buffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (buffer *buffer) Write(line []byte) (int, error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.Buffer.Write(line)
}

func (buffer *buffer) String() string {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return buffer.Buffer.String()
}

type blockedWriter struct{ release chan struct{} }

func (blockedWriter blockedWriter) Write(line []byte) (int, error) {
	<-blockedWriter.release
	return len(line), nil
}

// Guards against logging that blocks requests while the output is blocked, such as a full pipe: lines are dropped instead.
func TestWriteNeverBlocks(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	logSink := sink.New(out)
	for range 5000 {
		_, err := logSink.Write([]byte("12:00:00.000 [WARN] line\n"))
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	quicktest.Check(t, logSink.Dropped() > 0, quicktest.IsTrue)
	close(out.release)
}

// Guards against informational lines that use up the rate limit, so that a warning is dropped.
func TestReservedForWarnings(t *testing.T) {
	var out buffer
	logSink := sink.New(&out)
	logger := hclog.New(&hclog.LoggerOptions{Output: logSink, Exclude: logSink.Exclude})
	for i := range 1000 {
		logger.Info("ended", "Number", i)
	}
	logger.Warn("rejected")
	logSink.Flush(time.Second)
	for end := time.Now().Add(time.Second); !strings.Contains(out.String(), "rejected") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, strings.Contains(out.String(), "rejected"), quicktest.IsTrue)
	quicktest.Check(t, logSink.Dropped() > 0, quicktest.IsTrue)
}

// Guards against one write for each line, and against a Flush that returns before all lines are written, so that the last
// lines are lost when the process exits.
func TestBatchedWrites(t *testing.T) {
	var out countingWriter
	logSink := sink.New(&out)
	for i := range 100 {
		fmt.Fprintf(logSink, "line %d\n", i)
	}
	logSink.Flush(5 * time.Second)
	quicktest.Check(t, strings.Count(out.String(), "\n"), quicktest.Equals, 100)
	quicktest.Check(t, out.writes.Load() < 10, quicktest.IsTrue, quicktest.Commentf("%d writes", out.writes.Load()))
}

// countingWriter is a buffer that counts writes.
type countingWriter struct {
	buffer
	writes atomic.Int64
}

func (countingWriter *countingWriter) Write(line []byte) (int, error) {
	countingWriter.writes.Add(1)
	return countingWriter.buffer.Write(line)
}
