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
	// more than 5 bytes: content too long
}

// endless is a reader whose content never ends.
type endless struct{ read int64 }

func (endless *endless) Read(buffer []byte) (int, error) {
	endless.read += int64(len(buffer))
	return copy(buffer, bytes.Repeat([]byte("x"), len(buffer))), nil
}

// Guards against filling the memory with endless content, and against returning its beginning as if it were the whole.
func TestReadAllOfEndlessContent(t *testing.T) {
	source := &endless{}
	content, err := bound.ReadAll(source, 1000)
	quicktest.Check(t, content, quicktest.IsNil)
	quicktest.Check(t, errors.Is(err, bound.ErrTooLong), quicktest.IsTrue)
	quicktest.Check(t, source.read < 10_000, quicktest.IsTrue)
}

func ExampleBudget() {
	budget := bound.NewBudget(100)
	one, two := budget.Reserve(10), budget.Reserve(10)
	fmt.Println(one.Hold(90), two.Hold(10), two.Hold(50), two.Hold(30))
	one.Release()
	fmt.Println(two.Hold(110), one.Hold(11))
	// Output:
	// true true false true
	// true false
}
