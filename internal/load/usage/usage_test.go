package usage_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
)

func ExampleFairShare() {
	fmt.Println(usage.FairShare([]float64{10, 100, 200}, 150))
	fmt.Println(usage.FairShare([]float64{10, 20}, 150))
	// Output:
	// 70
	// +Inf
}

// ratio returns the part of its share that an organisation got, or 0 if there is enough for all.
func ratio(shares *usage.Shares, organisation clementinewind.Organisation, now time.Time) float64 {
	standing, _ := shares.Standing(organisation, now)
	return standing.Share
}

func TestMeterDecays(t *testing.T) {
	now := time.Now()
	meter := usage.New[string](time.Second)
	meter.Add("a", 100, now)
	quicktest.Check(t, meter.Tokens("a", now), quicktest.Equals, 100.0)
	third := meter.Tokens("a", now.Add(time.Second))
	quicktest.Check(t, math.Abs(third-100/math.E) < 1e-6, quicktest.IsTrue)
	quicktest.Check(t, meter.Snapshot(now.Add(time.Minute)), quicktest.HasLen, 0)
}

// Replays a flood: one organisation asks for ten times what the others do, and part of it is refused.
func TestRatioOfFlood(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	for _, small := range []clementinewind.Organisation{"a", "b", "c"} {
		shares.AddRequested(small, 1000, now)
		shares.AddServed(small, 400, now)
	}
	shares.AddRequested("flood", 10_000, now)
	shares.AddServed("flood", 4000, now)
	quicktest.Check(t, ratio(shares, "flood", now) > 1.5, quicktest.IsTrue)
	quicktest.Check(t, ratio(shares, "a", now) < 1, quicktest.IsTrue)
	quicktest.Check(t, ratio(shares, "idle", now), quicktest.Equals, 0.0)
}

// Guards against counting only what this router sees: callers choose a router at random.
func TestRatioCountsPeers(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	shares.AddRequested("a", 1000, now)
	shares.AddServed("a", 500, now)
	shares.SetPeer(usage.Source{Instance: "peer"}, usage.Report{usage.Hash("a"): {Requested: 9000, Served: 9000}, usage.Hash("b"): {Requested: 5000, Served: 400}}, now)
	quicktest.Check(t, ratio(shares, "a", now) > 1, quicktest.IsTrue)
	// What a router told that fell silent no longer counts.
	later := now.Add(20 * time.Second)
	shares.AddRequested("a", 1000, later)
	shares.AddServed("a", 1000, later)
	quicktest.Check(t, ratio(shares, "a", later) <= 1, quicktest.IsTrue)
}

// Guards against requests that count as served although no upstream began them: the organisation seems to have got its share.
func TestReturnedRequestsAreNotServed(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	for _, organisation := range []clementinewind.Organisation{"a", "b"} {
		shares.AddRequested(organisation, 10_000, now)
		shares.AddServed(organisation, 1000, now)
	}
	shares.AddServed("a", 3000, now)
	later := now.Add(time.Second)
	shares.RemoveServed("a", 3000, now, later)
	quicktest.Check(t, math.Abs(ratio(shares, "a", later)-1) < 1e-6, quicktest.IsTrue, quicktest.Commentf("%v", ratio(shares, "a", later)))
	// What decayed meanwhile is not taken back twice.
	shares.RemoveServed("a", 3000, now, later.Add(time.Minute))
	quicktest.Check(t, ratio(shares, "a", later.Add(time.Minute)) >= 0, quicktest.IsTrue)
}
