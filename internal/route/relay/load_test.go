package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/trial"
)

// simulate runs loads on engines that prefill 60 tokens per millisecond, in virtual time.
func simulate(t *testing.T, engines int, colds []trial.ColdStart, loads ...trial.Load) trial.Report {
	t.Helper()
	site := trial.NewTestbed(trial.Scenario{
		Engines: trial.Engines{
			Count: engines, Slots: 64, Queue: 130, TokensPerMillisecond: 60, Step: 7 * time.Millisecond, MemoryTokens: 500_000,
			ColdPerSecond: 13,
		},
		Route: trial.Route{Goal: time.Second, Patience: 10 * time.Second},
		Loads: loads, ColdStarts: colds,
	})
	t.Cleanup(site.Close)
	return site.Play(t.Context(), 1)
}

// quoteLoad returns a load of 17,000-token prompts; prompts about one subject share a prefix of 13,000 tokens.
func promptLoad(name string, perSecond float64, lasts time.Duration, subjects int) trial.Load {
	return trial.Load{
		Name: name, Organisation: name, PerSecond: perSecond, For: lasts, Subjects: subjects,
		Tokens: 17_000, SharedTokens: 13_000, OutputTokens: 60,
	}
}

// Guards against a shared prefix being prefilled by more than two engines. Without prefix caching this steady load would
// need twice the engines' prefill throughput, and requests would be late.
func TestSharedPrefixesAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const subjects = 20
		report := simulate(t, 4, nil, promptLoad("small", 28, 21*time.Second, subjects))
		row := report.LoadSummary("small")
		limit := 2*subjects*13_000 + row.Requests()*4_000
		quicktest.Check(t, report.ReadTokens <= limit, quicktest.IsTrue, quicktest.Commentf("%d tokens prefilled, at most %d needed", report.ReadTokens, limit))
		quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.9, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}

// Guards against an overload, here of twice the capacity, making all requests late. The excess must be refused at once, so that
// what is served is on time.
func TestOverloadStaysOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := simulate(t, 2, nil, promptLoad("small", 83, 11*time.Second, 900)).LoadSummary("small")
		served := row.Share(trial.OutcomeOnTime) + row.Share(trial.OutcomeLate)
		quicktest.Check(t, served > 0.05, quicktest.IsTrue, quicktest.Commentf("%v", row))
		quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.8*served, quicktest.IsTrue, quicktest.Commentf("%v", row))
		quicktest.Check(t, row.Share(trial.OutcomeFailed) < 0.02, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}

// Guards against cold engines getting more requests than they tolerate when they restart under load.
func TestColdEnginesSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		colds := []trial.ColdStart{{Name: "all", For: 3 * time.Second, Engines: 3}}
		report := simulate(t, 3, colds, promptLoad("small", 100, 4*time.Second, 10))
		quicktest.Check(t, report.CrashedEngines, quicktest.Equals, 0)
	})
}

// Guards against an organisation that sends four times as many requests as another crowding it out while both exceed the
// capacity: the smaller one must get at least half of what the larger one gets.
func TestFloodsShareEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := simulate(t, 2, nil, promptLoad("flood", 160, 10*time.Second, 40), promptLoad("small", 40, 10*time.Second, 40))
		served := func(load string) int {
			row := report.LoadSummary(load)
			return row.Counts[trial.OutcomeOnTime] + row.Counts[trial.OutcomeLate]
		}
		quicktest.Check(t, 2*served("small") >= served("flood"), quicktest.IsTrue, quicktest.Commentf("%d of %d", served("small"), served("flood")))
		quicktest.Check(t, served("flood") > 0, quicktest.IsTrue)
	})
}

// Guards against a hot prefix that needs two and a half of eight engines being refused at its preferred engines while others
// are idle. All other prefixes together need as much.
func TestHotPrefixGetsMoreEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot := promptLoad("hot", 37, 8*time.Second, 1)
		hot.From = 4 * time.Second
		report := simulate(t, 8, nil, promptLoad("others", 40, 12*time.Second, 40), hot)
		for _, load := range []string{"others", "hot"} {
			row := report.LoadSummary(load)
			quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.8, quicktest.IsTrue, quicktest.Commentf("%v", row))
		}
	})
}

// Guards against an organisation that stays far below its fair share starving beside two floods: at least half of its requests
// must be served.
func TestSmallOrganisationBesideFloods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small := promptLoad("small", 2, 10*time.Second, 10)
		report := simulate(t, 2, nil, promptLoad("first", 100, 10*time.Second, 100), promptLoad("second", 100, 10*time.Second, 100), small)
		row := report.LoadSummary("small")
		served := row.Share(trial.OutcomeOnTime) + row.Share(trial.OutcomeLate)
		quicktest.Check(t, served >= 0.5, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}

// Guards against refusals for fairness beside idle engines, which end only long after their cause: a flood of three seconds, beside two
// organisations of different size that ask for half of the capacity.
func TestFloodLeavesNoRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The shares look back over a window of four seconds.
		const settled = 10 * time.Second
		flood := promptLoad("flood", 120, 3*time.Second, 20)
		flood.From = 3 * time.Second
		report := simulate(t, 4, nil, promptLoad("large", 24, 16*time.Second, 20), promptLoad("small", 6, 16*time.Second, 20), flood)
		sent, refused := 0, 0
		for _, result := range report.Results {
			if result.SentAt < settled {
				continue
			}
			if sent++; result.Outcome == trial.OutcomeRefused {
				refused++
			}
		}
		quicktest.Check(t, sent > 100, quicktest.IsTrue)
		quicktest.Check(t, 50*refused <= sent, quicktest.IsTrue, quicktest.Commentf("%d of %d refused", refused, sent))
	})
}
