package stand

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// Report is what the caller of a request was told, and what its sender did.
type Report struct {
	Outcome clementinewind.Outcome
	// Complete says that the caller got the whole and right answer.
	Complete bool
	// DispatchSteps counts the dispatch steps; it is negative if they are not known.
	DispatchSteps int
	// DispatchRefused says that the dispatch step refused the request.
	DispatchRefused bool
}

// Audit compares reports with what the stand-ins ran.
type Audit struct {
	Requests, Faults int
	Outcomes         map[clementinewind.Outcome]int
	// WrongReports counts all wrong reports; DoubleRuns counts those of requests that ran more than once, and
	// TruncatedAnswers those that passed a short or wrong answer as whole.
	WrongReports, DoubleRuns, TruncatedAnswers int
	// FirstWrong describes the first wrong report.
	FirstWrong string
}

// Check compares a report with what was run for the request. It must be called when nothing can run any more.
func (audit *Audit) Check(report Report, ran RunTotals, circumstances string) {
	audit.Requests++
	if audit.Outcomes == nil {
		audit.Outcomes = map[clementinewind.Outcome]int{}
	}
	audit.Outcomes[report.Outcome]++
	notRun, answered := report.Outcome == clementinewind.OutcomeNotRun, report.Outcome == clementinewind.OutcomeAnswered
	fault := ""
	switch {
	case ran.Runs > 1:
		audit.DoubleRuns++
		fault = "ran more than once"
	case notRun && ran.Runs > 0:
		fault = "ran although reported as not run"
	case answered && ran.Runs == 0:
		fault = "answered without a run"
	case answered && !report.Complete:
		audit.TruncatedAnswers++
		fault = "short or wrong answer passed as whole"
	case report.DispatchSteps > 1:
		fault = "dispatch step was taken more than once"
	case (report.DispatchSteps == 0 || report.DispatchRefused) && (ran.Runs > 0 || !notRun):
		fault = "dispatch step was left out or ignored"
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
	return fmt.Sprintf("requests=%d faults=%d outcomes=%v wrong=%d double_runs=%d short_as_whole=%d",
		audit.Requests, audit.Faults, audit.Outcomes, audit.WrongReports, audit.DoubleRuns, audit.TruncatedAnswers)
}

// Err returns an error if a report was wrong.
func (audit *Audit) Err() error {
	if audit.WrongReports > 0 {
		return errors.Errorf("%v: first: %s", audit, audit.FirstWrong)
	}
	return nil
}
