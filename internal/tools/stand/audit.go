package stand

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// Report is what the caller of a request was told, and what its sender did.
type Report struct {
	Outcome clementinewind.Outcome
	// Whole says that the caller got the whole and right answer.
	Whole bool
	// Dispatched counts the dispatch steps; it is negative if they are not known.
	Dispatched int
	// Stale says that the dispatch step refused the request.
	Stale bool
}

// Audit compares reports with what the stand-ins ran.
type Audit struct {
	Requests, Faults int
	Outcomes         map[clementinewind.Outcome]int
	// Wrong counts all wrong reports; Double counts those of requests that ran more than once, and Short those that
	// passed a short or wrong answer as whole.
	Wrong, Double, Short int
	// First describes the first wrong report.
	First string
}

// Check compares a report with what was run for the request. It must be called when nothing can run any more.
func (audit *Audit) Check(report Report, ran Ran, circumstances string) {
	audit.Requests++
	if audit.Outcomes == nil {
		audit.Outcomes = map[clementinewind.Outcome]int{}
	}
	audit.Outcomes[report.Outcome]++
	notRun, answered := report.Outcome == clementinewind.OutcomeNotRun, report.Outcome == clementinewind.OutcomeAnswered
	fault := ""
	switch {
	case ran.Runs > 1:
		audit.Double++
		fault = "ran more than once"
	case notRun && ran.Runs > 0:
		fault = "ran although reported as not run"
	case answered && ran.Runs == 0:
		fault = "answered without a run"
	case answered && !report.Whole:
		audit.Short++
		fault = "short or wrong answer passed as whole"
	case report.Dispatched > 1:
		fault = "dispatch step was taken more than once"
	case (report.Dispatched == 0 || report.Stale) && (ran.Runs > 0 || !notRun):
		fault = "dispatch step was left out or ignored"
	default:
		return
	}
	audit.Wrong++
	if audit.First == "" {
		audit.First = fault + " under " + circumstances
	}
}

// String returns the counts.
func (audit *Audit) String() string {
	return fmt.Sprintf("requests=%d faults=%d outcomes=%v wrong=%d double_runs=%d short_as_whole=%d",
		audit.Requests, audit.Faults, audit.Outcomes, audit.Wrong, audit.Double, audit.Short)
}

// Err returns an error if a report was wrong.
func (audit *Audit) Err() error {
	if audit.Wrong > 0 {
		return errors.Errorf("%v: first: %s", audit, audit.First)
	}
	return nil
}
