package clementinewind_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
)

// Guards against a refusal that says "not run" after the request may have reached an upstream.
func TestOutcomeOf(t *testing.T) {
	tests := map[clementinewind.Progress]clementinewind.Outcome{
		clementinewind.ProgressQueued:     clementinewind.OutcomeNotRun,
		clementinewind.ProgressDispatched: clementinewind.OutcomeUnknown,
		clementinewind.ProgressDeclined:   clementinewind.OutcomeNotRun,
		clementinewind.ProgressCompleted:  clementinewind.OutcomeAnswered,
	}
	for progress, want := range tests {
		t.Run(progress.String(), func(t *testing.T) {
			quicktest.Assert(t, clementinewind.OutcomeOf(progress), quicktest.Equals, want)
		})
	}
}

// Guards against ids that change when they are formatted and parsed, so that the request of one organisation is taken for
// that of another, and against malformed ids that are accepted.
func TestParseRequestID(t *testing.T) {
	requestID := clementinewind.NewRequestID()
	parsed, err := clementinewind.ParseRequestID(requestID.String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, parsed, quicktest.Equals, requestID)
	for _, text := range []string{"", "12", requestID.String() + "00", "zz" + requestID.String()[2:]} {
		_, err := clementinewind.ParseRequestID(text)
		quicktest.Assert(t, err, quicktest.IsNotNil, quicktest.Commentf("text %q", text))
	}
}

func ExampleNewRefusal() {
	refusal := clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonQueueFull, "64 requests wait")
	fmt.Println(refusal.WithRetryAfter(2 * time.Second))
	// Output: NotRun: QueueFull: 64 requests wait
}
