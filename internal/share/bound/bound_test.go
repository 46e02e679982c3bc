package bound_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/bound"
)

func ExampleReadAll() {
	content, err := bound.ReadAll(strings.NewReader("short"), 5)
	fmt.Println(string(content), err)
	_, err = bound.ReadAll(strings.NewReader("longer"), 5)
	fmt.Println(err)
	// Output:
	// short <nil>
	// more than 5 bytes: longer than allowed
}

// endless never ends.
type endless struct{ read int64 }

func (endless *endless) Read(into []byte) (int, error) {
	endless.read += int64(len(into))
	return copy(into, bytes.Repeat([]byte("x"), len(into))), nil
}

// Guards against memory that content without end fills, and against the beginning of it that passes for the whole.
func TestEndless(t *testing.T) {
	source := &endless{}
	content, err := bound.ReadAll(source, 1000)
	quicktest.Check(t, content, quicktest.IsNil)
	quicktest.Check(t, errors.Is(err, bound.ErrTooLong), quicktest.IsTrue)
	quicktest.Check(t, source.read < 10_000, quicktest.IsTrue)
}
