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

// shareOf returns what an organisation was served, divided by its fair share, or 0 if there is enough for all.
func shareOf(shares *usage.Shares, organisation clementinewind.Organisation, now time.Time) float64 {
	standing, _ := shares.Standing(organisation, now)
	return standing.Share
}

func TestMeterDecays(t *testing.T) {
	now := time.Now()
	meter := usage.NewMeter[string](time.Second)
	meter.Add("a", 100, now)
	quicktest.Check(t, meter.Tokens("a", now), quicktest.Equals, 100.0)
	decayed := meter.Tokens("a", now.Add(time.Second))
	quicktest.Check(t, math.Abs(decayed-100/math.E) < 1e-6, quicktest.IsTrue)
	quicktest.Check(t, meter.Snapshot(now.Add(time.Minute)), quicktest.HasLen, 0)
}

// Guards against counting a burst as within its share: one organisation requests ten times as much as each of the
// others, and the same part of each is served.
func TestShareOfBurst(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	for _, small := range []clementinewind.Organisation{"a", "b", "c"} {
		shares.AddRequested(small, 1000, now)
		shares.AddServed(small, 400, now)
	}
	shares.AddRequested("burst", 10_000, now)
	shares.AddServed("burst", 4000, now)
	quicktest.Check(t, shareOf(shares, "burst", now) > 1.5, quicktest.IsTrue)
	quicktest.Check(t, shareOf(shares, "a", now) < 1, quicktest.IsTrue)
	quicktest.Check(t, shareOf(shares, "idle", now), quicktest.Equals, 0.0)
}

// Guards against counting only the requests of this router: callers choose a router at random.
func TestShareCountsPeers(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	shares.AddRequested("a", 1000, now)
	shares.AddServed("a", 500, now)
	shares.SetPeer(usage.Source{Instance: "peer"}, usage.Report{usage.Hash("a"): {Requested: 9000, Served: 9000, Recent: 2250}, usage.Hash("b"): {Requested: 5000, Served: 400, Recent: 1250}}, now)
	quicktest.Check(t, shareOf(shares, "a", now) > 1, quicktest.IsTrue)
	// The report of a router that has stopped reporting expires.
	later := now.Add(20 * time.Second)
	shares.AddRequested("a", 1000, later)
	shares.AddServed("a", 1000, later)
	quicktest.Check(t, shareOf(shares, "a", later) <= 1, quicktest.IsTrue)
}

// Guards against counting requests as served that no upstream started: the organisation would seem to have got its
// share.
func TestRemovedRequestsAreNotServed(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	for _, organisation := range []clementinewind.Organisation{"a", "b"} {
		shares.AddRequested(organisation, 10_000, now)
		shares.AddServed(organisation, 1000, now)
	}
	shares.AddServed("a", 3000, now)
	later := now.Add(time.Second)
	shares.RemoveServed("a", 3000, now, later)
	quicktest.Check(t, math.Abs(shareOf(shares, "a", later)-1) < 1e-6, quicktest.IsTrue, quicktest.Commentf("%v", shareOf(shares, "a", later)))
	// Tokens that have decayed meanwhile are not subtracted again.
	shares.RemoveServed("a", 3000, now, later.Add(time.Minute))
	quicktest.Check(t, shareOf(shares, "a", later.Add(time.Minute)) >= 0, quicktest.IsTrue)
}

// Guards against a pause that lasts after the flood that caused it: two seconds after its last request an organisation no longer waits.
func TestDemandEndsWithRequests(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	shares.AddRequested("flood", 100_000, now)
	shares.AddServed("flood", 10_000, now)
	shares.AddRequested("steady", 20_000, now)
	shares.AddServed("steady", 20_000, now)
	standing, scarce := shares.Standing("steady", now)
	quicktest.Check(t, scarce, quicktest.IsTrue)
	quicktest.Check(t, standing.LeastServed < standing.Share, quicktest.IsTrue)
	_, scarce = shares.Standing("steady", now.Add(4*time.Second))
	quicktest.Check(t, scarce, quicktest.IsFalse)
}

// Guards against taking an organisation whose requests find no room at upstreams for one whose requests are lost at its routers.
func TestBlockedOrganisation(t *testing.T) {
	for _, lost := range []bool{true, false} {
		now := time.Now()
		shares := usage.NewShares(4 * time.Second)
		shares.AddRequested("ahead", 50_000, now)
		shares.AddServed("ahead", 40_000, now)
		shares.AddRequested("behind", 100_000, now)
		shares.AddServed("behind", 10_000, now)
		if !lost {
			shares.AddNoRoom("behind", 90_000, now)
		}
		standing, scarce := shares.Standing("ahead", now)
		quicktest.Check(t, scarce, quicktest.IsTrue)
		quicktest.Check(t, standing.LeastServed < 0.5, quicktest.IsTrue)
		quicktest.Check(t, math.IsInf(standing.LeastBlocked, 1), quicktest.Equals, !lost)
	}
}

// Guards against taking an organisation that has just begun to ask for one that was left waiting.
func TestReturningOrganisation(t *testing.T) {
	now := time.Now()
	shares := usage.NewShares(4 * time.Second)
	for step := range 40 {
		now = now.Add(100 * time.Millisecond)
		shares.AddRequested("steady", 10_000, now)
		shares.AddServed("steady", 5_000, now)
		if step >= 36 {
			shares.AddRequested("returning", 10_000, now)
		}
	}
	steady, scarce := shares.Standing("steady", now)
	quicktest.Check(t, scarce, quicktest.IsTrue)
	quicktest.Check(t, steady.Returning, quicktest.IsFalse)
	returning, _ := shares.Standing("returning", now)
	quicktest.Check(t, returning.Returning, quicktest.IsTrue)
}
