package tree_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

const sampleSettings = `
[Pools.Quotes.Engine1]
Address = 10.0.1.7:9000
Zone = GujaratA

[Pools.Quotes]
MaxLimit = 24
ChecksFencing = true

[Zones.GujaratA]

[Organisations]
MaxQueued = 50

[Organisations.Patel]
Weight = 8
Deadline = 5s

[Organisations.Patel.Surat]
Weight = 2.5
`

func parse(t testing.TB, text string) tree.Tree {
	t.Helper()
	settings, err := tree.Parse(text)
	quicktest.Assert(t, err, quicktest.IsNil)
	return settings
}

// Guards against a section that loses inherited values, and against an override that affects other sections.
func TestInheritance(t *testing.T) {
	settings := parse(t, sampleSettings)
	surat, ok := settings.Organisation("Patel.Surat")
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, surat, quicktest.DeepEquals, tree.Organisation{
		Name: "Patel.Surat", Weight: 2.5, MaxRunning: tree.DefaultMaxRunning, MaxQueued: 50, Deadline: 5 * time.Second,
	})
	patel, _ := settings.Organisation("Patel")
	quicktest.Assert(t, patel.Weight, quicktest.Equals, 8.0)
	engine, ok := settings.Upstream("Quotes.Engine1")
	quicktest.Assert(t, ok, quicktest.IsTrue)
	quicktest.Assert(t, engine.ChecksFencing && engine.Serving, quicktest.IsTrue)
	quicktest.Assert(t, engine.Address.String(), quicktest.Equals, "10.0.1.7:9000")
	out, err := settings.WithChanges([]tree.Change{{Section: "Zones", Key: "InService", Value: "false"}})
	quicktest.Assert(t, err, quicktest.IsNil)
	engine, _ = out.Upstream("Quotes.Engine1")
	quicktest.Assert(t, engine.InService && !engine.Serving, quicktest.IsTrue)
	_, ok = settings.Organisation("Quotes")
	quicktest.Assert(t, ok, quicktest.IsFalse)
}

// Guards against invalid settings that are accepted, and against errors that are reported only one at a time.
func TestFaults(t *testing.T) {
	tests := map[string]struct{ text, wantError string }{
		"key outside a section": {"Weight = 1", "[] Weight: the key is outside"},
		"unknown top section":   {"[Organizations.Patel]", "[Organizations.Patel]: the section is not below"},
		"name":                  {"[Organisations.patel]", `[Organisations.patel]: the name "patel" is not in Pascal case`},
		"empty name":            {"[Organisations..Patel]", "[Organisations..Patel]: the name is empty"},
		"unknown key":           {"[Organisations.Patel]\nWieght = 1", "[Organisations.Patel] Wieght: the key is not known"},
		"key of another level":  {"[Pools.Quotes]\nAddress = 10.0.0.1:1", "[Pools.Quotes] Address: the key cannot"},
		"token id":              {"[Tokens.Patel]", "[Tokens.Patel]: \"Patel\" is not the id of a token"},
		"token for everybody":   {"[Tokens]\nHash = 00", "[Tokens] Hash: the key cannot"},
		"token hash":            {"[Tokens.a1]\nHash = 00", "[Tokens.a1] Hash: \"00\" is not"},
		"token without a hash":  {"[Tokens.a1]\nOperator = Kari", "[Tokens.a1] Hash: the key is missing"},
		"token of two":          {"[Tokens.a1]\nOperator = Kari\nOrganisation = Patel", "[Tokens.a1]: a token needs either"},
		"no operator":           {"[Tokens.a1]\nOrganisation = Patel", "[Tokens]: no token is that of an operator"},
		"weight":                {"[Organisations.Patel]\nWeight = 0", "[Organisations.Patel] Weight: \"0\" is not a number from 1 to 1000"},
		"not a number":          {"[Organisations.Patel]\nWeight = NaN", "[Organisations.Patel] Weight: \"NaN\""},
		"unit":                  {"[Organisations.Patel]\nDeadline = 30", "[Organisations.Patel] Deadline: \"30\" is not a duration with a unit"},
		"set twice":             {"[Organisations.Patel]\nWeight = 1\nWeight = 2", "[Organisations.Patel] Weight: the key is set more"},
		"no parent":             {"[Organisations.Patel.Surat]", "[Organisations.Patel.Surat]: the parent section"},
		"deep zone":             {"[Zones.A]\n[Zones.A.B]", "[Zones.A.B]: the path has 3 names"},
		"limits":                {"[Pools.Quotes]\nColdLimit = 9\nMaxLimit = 8", "[Pools.Quotes] ColdLimit: 9 is above"},
		"host name":             {"[Pools.Q]\n[Pools.Q.E]\nAddress = engine:1", "[Pools.Q.E] Address: \"engine:1\" is not an IP address"},
		"no address":            {"[Zones.A]\n[Pools.Q]\n[Pools.Q.E]\nZone = A", "[Pools.Q.E] Address: the key is missing"},
		"unknown zone":          {"[Pools.Q]\n[Pools.Q.E]\nAddress = 10.0.0.1:1\nZone = A", "[Pools.Q.E] Zone: the zone [Zones.A] does not"},
		"kind":                  {"[Pools.Q]\nKind = Batch", "[Pools.Q] Kind: \"Batch\" is neither"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := tree.Parse(test.text)
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Assert(t, err.Error(), quicktest.Contains, test.wantError)
		})
	}
	_, err := tree.Parse("[Organisations.Patel]\nWeight = 0\nDeadline = 30\n[Pools.Q]\nKind = Batch")
	quicktest.Assert(t, strings.Count(err.Error(), "\n"), quicktest.Equals, 2, quicktest.Commentf("%v", err))
}

// Guards against the removal of a zone that still has upstreams, and against a partial removal.
func TestRemoval(t *testing.T) {
	settings := parse(t, sampleSettings)
	_, err := settings.WithChanges([]tree.Change{{Section: "Zones.GujaratA", Unset: true}})
	quicktest.Assert(t, err, quicktest.ErrorMatches, `\[Pools.Quotes.Engine1\] Zone: the zone .* does not exist`)
	removed, err := settings.WithChanges([]tree.Change{
		{Section: "Zones.GujaratA", Unset: true}, {Section: "Pools.Quotes", Unset: true}, {Section: "Organisations.Patel", Unset: true},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, removed.Len(), quicktest.Equals, 1)
	quicktest.Assert(t, settings.Len(), quicktest.Equals, 6)
}

// Guards against an edit that modifies an older tree through shared sections, and against a text that is parsed to a
// different tree.
func TestEditsAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings, model := tree.Tree{}, map[string]string{}
		var oldTrees []tree.Tree
		var oldTexts []string
		for range rapid.IntRange(1, 40).Draw(t, "edits") {
			change := tree.Change{
				Section: rapid.SampledFrom([]string{"Organisations", "Organisations.A", "Organisations.B", "Organisations.A.C"}).Draw(t, "section"),
				Key:     rapid.SampledFrom([]string{"Weight", "MaxQueued"}).Draw(t, "key"),
				Value:   fmt.Sprint(rapid.IntRange(1, 1000).Draw(t, "value")),
				Unset:   rapid.Bool().Draw(t, "unset"),
			}
			oldTrees, oldTexts = append(oldTrees, settings), append(oldTexts, settings.Text())
			changed, err := settings.WithChanges([]tree.Change{change})
			if err != nil {
				continue
			}
			settings = changed
			if change.Unset {
				delete(model, change.Section+" "+change.Key)
			} else {
				model[change.Section+" "+change.Key] = change.Value
			}
		}
		for i, oldTree := range oldTrees {
			if oldTree.Text() != oldTexts[i] {
				t.Fatalf("old tree %d changed to\n%s\nwant\n%s", i, oldTree.Text(), oldTexts[i])
			}
		}
		read, err := tree.Parse(settings.Text())
		if err != nil || read.Text() != settings.Text() {
			t.Fatalf("%v: read back\n%s\nwant\n%s", err, read.Text(), settings.Text())
		}
		own := map[string]string{}
		for _, change := range read.KeysBelow("Organisations") {
			own[change.Section+" "+change.Key] = change.Value
		}
		if !maps.Equal(own, model) {
			t.Fatalf("tree has %v, want %v", own, model)
		}
	})
}

func ExampleTree_WithChanges() {
	settings, _ := tree.Parse("[Organisations.Patel]\nWeight = 8")
	changed, err := settings.WithChanges([]tree.Change{
		{Section: "Organisations.Patel", Key: "Weight", Value: "16"},
		{Section: "Organisations.Rao", Key: "Deadline", Value: "20"},
	})
	fmt.Println(err)
	changed, err = settings.WithChanges([]tree.Change{{Section: "Organisations.Patel", Key: "Weight", Value: "16"}})
	patel, _ := changed.Organisation(clementinewind.Organisation("Patel"))
	fmt.Println(patel.Weight, err)
	// Output:
	// [Organisations.Rao] Deadline: "20" is not a duration with a unit, for example 30s
	// 16 <nil>
}
