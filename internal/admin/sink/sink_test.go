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

type blocked struct{ release chan struct{} }

func (blocked blocked) Write(line []byte) (int, error) {
	<-blocked.release
	return len(line), nil
}

// Guards against a full pipe that stops requests: lines are lost instead.
func TestNeverBlocks(t *testing.T) {
	out := blocked{make(chan struct{})}
	lines := sink.New(out)
	for range 5000 {
		_, err := lines.Write([]byte("12:00:00.000 [WARN] line\n"))
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	quicktest.Check(t, lines.Dropped() > 0, quicktest.IsTrue)
	close(out.release)
}

// Guards against successes that use up the lines of failures.
func TestFailuresBeforeSuccesses(t *testing.T) {
	var out buffer
	lines := sink.New(&out)
	logger := hclog.New(&hclog.LoggerOptions{Output: lines, Exclude: lines.Exclude})
	for i := range 1000 {
		logger.Info("ended", "Number", i)
	}
	logger.Warn("rejected")
	lines.Flush(time.Second)
	for end := time.Now().Add(time.Second); !strings.Contains(out.String(), "rejected") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, strings.Contains(out.String(), "rejected"), quicktest.IsTrue)
	quicktest.Check(t, lines.Dropped() > 0, quicktest.IsTrue)
}

// Guards against a write and a wake-up for each line, and against lines that are lost at the end of the process.
func TestLinesAreWrittenTogether(t *testing.T) {
	var out counted
	lines := sink.New(&out)
	for i := range 100 {
		fmt.Fprintf(lines, "line %d\n", i)
	}
	lines.Flush(5 * time.Second)
	quicktest.Check(t, strings.Count(out.String(), "\n"), quicktest.Equals, 100)
	quicktest.Check(t, out.writes.Load() < 10, quicktest.IsTrue, quicktest.Commentf("%d writes", out.writes.Load()))
}

// counted is a buffer that counts the writes.
type counted struct {
	buffer
	writes atomic.Int64
}

func (counted *counted) Write(line []byte) (int, error) {
	counted.writes.Add(1)
	return counted.buffer.Write(line)
}
