package trial_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/trial"
)

const scenario = `
[Engines]
Count = 2
Slots = 64
Queue = 130
TokensPerMillisecond = 60
Step = 7ms
MemoryTokens = 500000
ColdPerSecond = 13

[Route]
Goal = 1s
Patience = 10s

[Load.a]
Organisation = a
PerSecond = 5
From = 1s
For = 3s
Subjects = 3
Tokens = 2000
SharedTokens = 1500
OutputTokens = 20

[Cold.first]
At = 2s
For = 1s
Engines = 1
`

func TestParseScenario(t *testing.T) {
	parsed, err := trial.ParseScenario([]byte(scenario))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, parsed.Engines.Step, quicktest.Equals, 7*time.Millisecond)
	quicktest.Check(t, parsed.Loads, quicktest.DeepEquals, []trial.Load{{
		Name: "a", Organisation: "a", PerSecond: 5, From: time.Second, For: 3 * time.Second, Subjects: 3,
		Tokens: 2000, SharedTokens: 1500, OutputTokens: 20,
	}})
	quicktest.Check(t, parsed.ColdStarts, quicktest.DeepEquals, []trial.ColdStart{{Name: "first", At: 2 * time.Second, For: time.Second, Engines: 1}})
}

// Guards against mistakes in a scenario file that are ignored, so that another scenario runs than intended.
func TestParseScenarioRejects(t *testing.T) {
	for change, want := range map[string]string{
		"Slots = 64|Slot = 64":                    `\[Engines\] has an unknown key Slot, .*`,
		"Count = 2|Count = none":                  `\[Engines\]: .*`,
		"Count = 2|Count = 0":                     `\[Engines\] Count.*`,
		"Step = 7ms|Step = 0s":                    `\[Engines\] TokensPerMillisecond and Step.*`,
		"Patience = 10s|Patience = 1ms":           `\[Route\] .*`,
		"[Load.a]|[Burst.a]":                      `unknown section \[Burst.a\].*`,
		"SharedTokens = 1500|SharedTokens = 9000": `\[Load.a\] Tokens must be above.*`,
		"For = 3s|For = 3h":                       `\[Load.a\] ends after .*`,
		"Engines = 1|Engines = 3":                 `\[Cold.first\] .*`,
	} {
		t.Run(change, func(t *testing.T) {
			from, to, _ := bytes.Cut([]byte(change), []byte("|"))
			_, err := trial.ParseScenario(bytes.Replace([]byte(scenario), from, to, 1))
			quicktest.Check(t, err, quicktest.ErrorMatches, want)
		})
	}
}

func TestPlay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parsed, err := trial.ParseScenario([]byte(scenario))
		quicktest.Assert(t, err, quicktest.IsNil)
		testbed := trial.NewTestbed(parsed)
		defer testbed.Close()
		report := testbed.Play(t.Context(), 7)
		summary := report.LoadSummary("a")
		quicktest.Check(t, summary.Requests() > 0, quicktest.IsTrue)
		quicktest.Check(t, summary.Counts[trial.OutcomeOnTime], quicktest.Equals, summary.Requests())
		quicktest.Check(t, summary.Median > 0 && summary.Median <= summary.Percentile99, quicktest.IsTrue)
		quicktest.Check(t, report.CachedTokens > 0, quicktest.IsTrue)
		var table, drawing bytes.Buffer
		quicktest.Assert(t, report.Write(&table), quicktest.IsNil)
		quicktest.Check(t, table.String(), quicktest.Contains, "OnTime")
		quicktest.Assert(t, report.Plot(&drawing), quicktest.IsNil)
		quicktest.Check(t, drawing.String(), quicktest.Contains, "<svg")
	})
}

// Guards against scenarios in the repository that can no longer be read.
func TestScenariosOfRepository(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/trials/*.ini")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(files) > 0, quicktest.IsTrue)
	for _, file := range files {
		_, err := trial.ReadScenario(file)
		quicktest.Check(t, err, quicktest.IsNil)
	}
	_, err = trial.ReadScenario(filepath.Join(t.TempDir(), "missing.ini"))
	quicktest.Check(t, err, quicktest.ErrorIs, os.ErrNotExist)
}
