package tree_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/store/tree"
)

// Guards against cached upstreams or weights that are reused after a change that affects them.
func TestDerivedValuesFollowChanges(t *testing.T) {
	settings, err := tree.Parse(`
[Zones.ZoneA]
[Pools.Quotes]
[Pools.Quotes.Engine1]
Address = 10.0.0.1:8000
Zone = ZoneA
[Organisations.Patel]
Weight = 2
[Organisations.Patel.Retail]
[Organisations.Fjordvolt]
`)
	quicktest.Assert(t, err, quicktest.IsNil)
	change := func(section, key, value string) tree.Change {
		return tree.Change{Section: section, Key: key, Value: value}
	}
	tests := map[string]struct {
		changes []tree.Change
		serving []bool
		weight  float64
	}{
		"none":          {nil, []bool{true}, 5},
		"organisation":  {[]tree.Change{change("Organisations.Patel", "Weight", "3")}, []bool{true}, 7},
		"zone":          {[]tree.Change{change("Zones.ZoneA", "InService", "false")}, []bool{false}, 5},
		"upstream":      {[]tree.Change{change("Pools.Quotes.Engine1", "InService", "false")}, []bool{false}, 5},
		"new upstream":  {[]tree.Change{change("Pools.Quotes.Engine2", "Address", "10.0.0.2:8000"), change("Pools.Quotes.Engine2", "Zone", "ZoneA")}, []bool{true, true}, 5},
		"removed":       {[]tree.Change{{Section: "Pools.Quotes.Engine1", Unset: true}}, nil, 5},
		"organisations": {[]tree.Change{{Section: "Organisations.Patel", Unset: true}}, []bool{true}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, settings.TotalWeight(), quicktest.Equals, 5.0)
			quicktest.Assert(t, settings.AllUpstreams(), quicktest.HasLen, 1)
			changed, err := settings.WithChanges(test.changes)
			quicktest.Assert(t, err, quicktest.IsNil)
			var serving []bool
			for _, upstream := range changed.AllUpstreams() {
				serving = append(serving, upstream.Serving)
			}
			quicktest.Assert(t, serving, quicktest.DeepEquals, test.serving)
			quicktest.Assert(t, changed.TotalWeight(), quicktest.Equals, test.weight)
			total := 0.0
			for organisation := range changed.Organisations() {
				total += organisation.Weight
			}
			quicktest.Assert(t, changed.TotalWeight(), quicktest.Equals, total)
		})
	}
}
