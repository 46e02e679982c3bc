package usage_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
)

// Guards against tokens that are counted for another organisation, or again after the ledger was reset.
func TestLedger(t *testing.T) {
	ledger := usage.NewLedger()
	ledger.Add("small", usage.PartAsked, 10)
	ledger.Add("large", usage.PartAsked, 100)
	ledger.Add("large", usage.PartBegun, 30)
	ledger.Add("large", usage.PartOverloaded, 50)
	ledger.Add("large", usage.PartQueued, 15)
	ledger.Add("large", usage.PartLate, 5)
	ledger.Add("large", usage.PartStale, 4)
	ledger.Add("large", usage.PartAhead, 6)
	accounts := ledger.Take(1)
	quicktest.Assert(t, accounts, quicktest.HasLen, 1)
	quicktest.Check(t, accounts[0].Organisation, quicktest.Equals, clementinewind.Organisation("large"))
	quicktest.Check(t, accounts[0].Refused(), quicktest.Equals, 80.0)
	quicktest.Check(t, accounts[0].Tokens[usage.PartBegun], quicktest.Equals, 30.0)
	quicktest.Check(t, ledger.Take(10), quicktest.HasLen, 0)
}
