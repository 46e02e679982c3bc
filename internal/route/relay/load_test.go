package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/trial"
)

// replay plays loads against engines that read 60 tokens in a millisecond, in virtual time.
func replay(t *testing.T, engines int, colds []trial.ColdStart, loads ...trial.Load) trial.Report {
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

// quotes is a load of prompts of 17,000 tokens, of which those of a subject share 13,000.
func quotes(name string, perSecond float64, lasts time.Duration, subjects int) trial.Load {
	return trial.Load{
		Name: name, Organisation: name, PerSecond: perSecond, For: lasts, Subjects: subjects,
		Tokens: 17_000, SharedTokens: 13_000, OutputTokens: 60,
	}
}

// Replays a steady load whose prompts share large parts: each part is read by two engines at the most, and nearly all
// requests are on time. Read anew each time, the prompts would need twice what the engines can read.
func TestSharedPartsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const subjects = 20
		report := replay(t, 4, nil, quotes("small", 28, 21*time.Second, subjects))
		row := report.LoadSummary("small")
		limit := 2*subjects*13_000 + row.Requests()*4_000
		quicktest.Check(t, report.ReadTokens <= limit, quicktest.IsTrue, quicktest.Commentf("%d tokens read, at most %d needed", report.ReadTokens, limit))
		quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.9, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}

// Replays a load of twice what the engines can do: those who are served are served on time, and the others are refused at
// once, instead of all becoming late.
func TestOverloadStaysOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := replay(t, 2, nil, quotes("small", 83, 11*time.Second, 900)).LoadSummary("small")
		served := row.Share(trial.OutcomeOnTime) + row.Share(trial.OutcomeLate)
		quicktest.Check(t, served > 0.05, quicktest.IsTrue, quicktest.Commentf("%v", row))
		quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.8*served, quicktest.IsTrue, quicktest.Commentf("%v", row))
		quicktest.Check(t, row.Share(trial.OutcomeFailed) < 0.02, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}

// Replays engines that turn cold under load: none gets more than it tolerates.
func TestColdEnginesSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		colds := []trial.ColdStart{{Name: "all", For: 3 * time.Second, Engines: 3}}
		report := replay(t, 3, colds, quotes("small", 100, 4*time.Second, 10))
		quicktest.Check(t, report.CrashedEngines, quicktest.Equals, 0)
	})
}

// Replays two organisations of which one asks for four times as much as the other, and both for more than there is: the one
// that asks for less gets at least half of what the other gets.
func TestFloodsShareEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := replay(t, 2, nil, quotes("flood", 160, 10*time.Second, 40), quotes("small", 40, 10*time.Second, 40))
		served := func(load string) int {
			row := report.LoadSummary(load)
			return row.Counts[trial.OutcomeOnTime] + row.Counts[trial.OutcomeLate]
		}
		quicktest.Check(t, 2*served("small") >= served("flood"), quicktest.IsTrue, quicktest.Commentf("%d of %d", served("small"), served("flood")))
		quicktest.Check(t, served("flood") > 0, quicktest.IsTrue)
	})
}

// Replays a subject that needs the time of two and a half of eight engines, beside others that need as much together. Guards
// against a subject that is refused at its homes while other engines are idle.
func TestHotSubjectGetsMoreHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot := quotes("hot", 37, 8*time.Second, 1)
		hot.From = 4 * time.Second
		report := replay(t, 8, nil, quotes("others", 40, 12*time.Second, 40), hot)
		for _, load := range []string{"others", "hot"} {
			row := report.LoadSummary(load)
			quicktest.Check(t, row.Share(trial.OutcomeOnTime) > 0.8, quicktest.IsTrue, quicktest.Commentf("%v", row))
		}
	})
}

// Replays an organisation that asks for a small part of its share beside two floods: it gets at least half of what it asks.
func TestSmallOrganisationBesideFloods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small := quotes("small", 2, 10*time.Second, 10)
		report := replay(t, 2, nil, quotes("first", 100, 10*time.Second, 100), quotes("second", 100, 10*time.Second, 100), small)
		row := report.LoadSummary("small")
		served := row.Share(trial.OutcomeOnTime) + row.Share(trial.OutcomeLate)
		quicktest.Check(t, served >= 0.5, quicktest.IsTrue, quicktest.Commentf("%v", row))
	})
}
