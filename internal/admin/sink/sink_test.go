package sink_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

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
	quicktest.Check(t, lines.LeftOut() > 0, quicktest.IsTrue)
	close(out.release)
}

// Guards against successes that use up the lines of failures.
func TestFailuresBeforeSuccesses(t *testing.T) {
	var out buffer
	lines := sink.New(&out)
	for i := range 1000 {
		fmt.Fprintf(lines, "12:00:00.000 [INFO] ended: %d\n", i)
	}
	fmt.Fprint(lines, "12:00:00.000 [WARN] rejected\n")
	lines.Flush(time.Second)
	for end := time.Now().Add(time.Second); !strings.Contains(out.String(), "rejected") && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, strings.Contains(out.String(), "rejected"), quicktest.IsTrue)
	quicktest.Check(t, lines.LeftOut() > 0, quicktest.IsTrue)
}
