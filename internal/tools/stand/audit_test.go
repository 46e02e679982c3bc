package stand_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// Guards against an audit that misses a wrong report, with which the tests that rely on it would pass.
func TestAudit(t *testing.T) {
	const answered, notRun, unknown = clementinewind.OutcomeAnswered, clementinewind.OutcomeNotRun, clementinewind.OutcomeUnknown
	tests := map[string]struct {
		report stand.Report
		runs   int
		want   string
	}{
		"answered":                       {report: stand.Report{Outcome: answered, Complete: true, DispatchSteps: 1}, runs: 1},
		"answered, dispatch unknown":     {report: stand.Report{Outcome: answered, Complete: true, DispatchSteps: -1}, runs: 1},
		"refused by dispatch":            {report: stand.Report{Outcome: notRun, DispatchSteps: 1, DispatchRefused: true}},
		"never dispatched":               {report: stand.Report{Outcome: notRun}},
		"unknown":                        {report: stand.Report{Outcome: unknown, DispatchSteps: 1}, runs: 1},
		"unknown, not run":               {report: stand.Report{Outcome: unknown, DispatchSteps: 1}},
		"double run":                     {report: stand.Report{Outcome: unknown, DispatchSteps: 1}, runs: 2, want: ".*double_runs=1.*"},
		"false not run":                  {report: stand.Report{Outcome: notRun, DispatchSteps: 1}, runs: 1, want: ".*reported as not run.*"},
		"answer without run":             {report: stand.Report{Outcome: answered, Complete: true, DispatchSteps: 1}, want: ".*without a run.*"},
		"truncated":                      {report: stand.Report{Outcome: answered, DispatchSteps: 1}, runs: 1, want: ".*truncated_as_complete=1.*"},
		"dispatched twice":               {report: stand.Report{Outcome: unknown, DispatchSteps: 2}, runs: 1, want: ".*more than once.*"},
		"dispatch not called":            {report: stand.Report{Outcome: unknown}, runs: 1, want: ".*not called or its error was ignored.*"},
		"dispatch error ignored":         {report: stand.Report{Outcome: unknown, DispatchSteps: 1, DispatchRefused: true}, want: ".*not called or its error was ignored.*"},
		"dispatch error ignored and run": {report: stand.Report{Outcome: unknown, DispatchSteps: 1, DispatchRefused: true}, runs: 1, want: ".*not called or its error was ignored.*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			audit := &stand.Audit{}
			audit.Check(test.report, stand.RunTotals{Runs: test.runs}, "no fault")
			if test.want == "" {
				quicktest.Assert(t, audit.Err(), quicktest.IsNil)
				return
			}
			quicktest.Assert(t, audit.Err(), quicktest.ErrorMatches, test.want)
		})
	}
}
