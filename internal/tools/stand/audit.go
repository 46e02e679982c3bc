package stand

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// Report is the outcome of a request as its caller saw it, and what its sender did.
type Report struct {
	Outcome clementinewind.Outcome
	// Complete says that the caller got the complete and correct answer.
	Complete bool
	// DispatchSteps counts the calls of the request's Dispatch function, which must be called once before the request is
	// sent; it is negative if unknown.
	DispatchSteps int
	// DispatchRefused says that Dispatch returned an error, after which the request must not be sent.
	DispatchRefused bool
}

// Audit compares reports with the runs that the stand-ins recorded.
type Audit struct {
	// Check counts Requests; the test adds the faults that took effect to Faults.
	Requests, Faults int
	Outcomes         map[clementinewind.Outcome]int
	// WrongReports counts all wrong reports; DoubleRuns counts those of requests that ran more than once, and
	// TruncatedAnswers those that gave the caller a truncated or wrong answer as a complete one.
	WrongReports, DoubleRuns, TruncatedAnswers int
	// FirstWrong describes the first wrong report.
	FirstWrong string
}

// Check compares a report with the runs of the request. It must be called when nothing can run any more.
func (audit *Audit) Check(report Report, totals RunTotals, circumstances string) {
	audit.Requests++
	if audit.Outcomes == nil {
		audit.Outcomes = map[clementinewind.Outcome]int{}
	}
	audit.Outcomes[report.Outcome]++
	notRun, answered := report.Outcome == clementinewind.OutcomeNotRun, report.Outcome == clementinewind.OutcomeAnswered
	fault := ""
	switch {
	case totals.Runs > 1:
		audit.DoubleRuns++
		fault = "ran more than once"
	case notRun && totals.Runs > 0:
		fault = "ran although reported as not run"
	case answered && totals.Runs == 0:
		fault = "answered without a run"
	case answered && !report.Complete:
		audit.TruncatedAnswers++
		fault = "truncated or wrong answer reported as complete"
	case report.DispatchSteps > 1:
		fault = "Dispatch was called more than once"
	case (report.DispatchSteps == 0 || report.DispatchRefused) && (totals.Runs > 0 || !notRun):
		fault = "Dispatch was not called or its error was ignored"
	default:
		return
	}
	audit.WrongReports++
	if audit.FirstWrong == "" {
		audit.FirstWrong = fault + " under " + circumstances
	}
}

// String returns the counts.
func (audit *Audit) String() string {
	return fmt.Sprintf("requests=%d faults=%d outcomes=%v wrong=%d double_runs=%d truncated_as_complete=%d",
		audit.Requests, audit.Faults, audit.Outcomes, audit.WrongReports, audit.DoubleRuns, audit.TruncatedAnswers)
}

// Err returns an error if a report was wrong.
func (audit *Audit) Err() error {
	if audit.WrongReports > 0 {
		return errors.Errorf("%v: first: %s", audit, audit.FirstWrong)
	}
	return nil
}
