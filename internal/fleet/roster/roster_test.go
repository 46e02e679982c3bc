package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
)

var began = time.Unix(1000, 0)

func member(number int, zone clementinewind.Zone) roster.Member {
	return roster.Member{
		Instance: clementinewind.Instance(fmt.Sprintf("router-%d", number)), Zone: zone, Incarnation: 1,
		CallerAddress: fmt.Sprintf("10.0.0.%d:80", number), PeerAddress: fmt.Sprintf("10.0.0.%d:70", number),
		Ready: true, StoreReachable: true,
	}
}

// fleet returns the roster of router 0 of zone a, with two routers in each of the zones a, b and c.
func fleet() *roster.Roster {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		if number > 0 {
			built.RecordHeartbeat(member(number, zone), began)
		}
	}
	return built
}

// named returns the addresses that any of many callers of a zone is told.
func named(built *roster.Roster, zone clementinewind.Zone, now time.Time) []string {
	var addresses []string
	for caller := range 200 {
		addresses = append(addresses, built.Addresses(zone, fmt.Sprintf("10.9.0.%d", caller), now)...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func TestAddresses(t *testing.T) {
	built := fleet()
	quicktest.Check(t, built.Addresses("b", "caller", began), quicktest.DeepEquals, []string{"10.0.0.2:80", "10.0.0.3:80"})
	// A zone with a single router gets the addresses of all.
	leaving := member(2, "b")
	leaving.Leaving = true
	built.RecordHeartbeat(leaving, began)
	addresses := named(built, "b", began)
	quicktest.Check(t, addresses, quicktest.HasLen, 5)
	quicktest.Check(t, addresses, quicktest.Not(quicktest.Contains), "10.0.0.2:80")
}

// Guards against sending callers to a router that was killed.
func TestSilentRouterIsLeftOut(t *testing.T) {
	built := fleet()
	later := began.Add(3 * time.Second)
	for _, number := range []int{1, 3, 4, 5} {
		built.RecordHeartbeat(member(number, "x"), later)
	}
	quicktest.Check(t, named(built, "b", later), quicktest.Not(quicktest.Contains), "10.0.0.2:80")
	quicktest.Check(t, built.Silent(later, began), quicktest.HasLen, 1)
	quicktest.Check(t, built.Count(), quicktest.Equals, 6)
}

// Guards against a router that is cut off from the others and sends all callers to itself.
func TestIsolatedRouterNamesTheOthers(t *testing.T) {
	quicktest.Check(t, fleet().Addresses("b", "caller", began.Add(10*time.Second)), quicktest.HasLen, 2)
}

// Guards against entries in the store that outlive their processes.
func TestListedOnly(t *testing.T) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := range 4 {
		built.AddFromStore(member(number, "a"), began)
	}
	quicktest.Check(t, built.Addresses("a", "caller", began), quicktest.HasLen, 4)
	quicktest.Check(t, built.Addresses("a", "caller", began.Add(3*time.Second)), quicktest.HasLen, 1)
}

// Guards against a beat of an earlier process of the same router.
func TestOlderIncarnation(t *testing.T) {
	built := fleet()
	restarted := member(2, "b")
	restarted.Incarnation = 2
	built.RecordHeartbeat(restarted, began)
	old := member(2, "b")
	old.Leaving = true
	built.RecordHeartbeat(old, began)
	quicktest.Check(t, built.Addresses("b", "caller", began), quicktest.HasLen, 2)
}

func TestReader(t *testing.T) {
	built := fleet()
	// The router itself is the first of its zone.
	_, other := built.StoreReader(began, "")
	quicktest.Check(t, other, quicktest.IsFalse)
	built.UpdateSelf(true, false, false, 0)
	reader, other := built.StoreReader(began, "")
	quicktest.Check(t, other, quicktest.IsTrue)
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-1"))
	// One that does not answer is passed over, and the router itself may be the next one.
	reader, _ = built.StoreReader(began, "router-1")
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-2"))
	// A reader that does not reach the store is no reader; another zone serves.
	cut := member(1, "a")
	cut.StoreReachable = false
	built.RecordHeartbeat(cut, began)
	reader, _ = built.StoreReader(began, "")
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-2"))
	_, other = built.StoreReader(began.Add(time.Minute), "")
	quicktest.Check(t, other, quicktest.IsFalse)
}

// Guards against a zone that learns of changes late, because it reads from a router that callers crowd.
func TestBusyReaderIsPassedOver(t *testing.T) {
	built := fleet()
	built.UpdateSelf(true, false, true, roster.OverloadedRPSPerCore)
	reader, other := built.StoreReader(began, "")
	quicktest.Check(t, other, quicktest.IsTrue)
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-1"))
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		busy := member(number, zone)
		busy.Load = roster.OverloadedRPSPerCore
		built.RecordHeartbeat(busy, began)
	}
	// A snapshot may be a moment old.
	_, other = built.StoreReader(began.Add(50*time.Millisecond), "")
	quicktest.Check(t, other, quicktest.IsFalse)
}

func TestOneOwner(t *testing.T) {
	owners := 0
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		built := roster.New(roster.Config{Self: member(number, zone)})
		for other, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
			built.RecordHeartbeat(member(other, zone), began)
		}
		if built.Owns("upstream", began) {
			owners++
		}
	}
	quicktest.Check(t, owners, quicktest.Equals, 1)
}

// Replays callers of a few organisations that all connect to the same routers: those are left out until their load falls.
func TestCrowdedRouter(t *testing.T) {
	built := fleet()
	busy := member(2, "b")
	busy.Load = 1000
	built.RecordHeartbeat(busy, began)
	// The zone as a whole has too much load, so that its callers go to all zones, but not to the crowded router.
	addresses := named(built, "b", began)
	quicktest.Check(t, addresses, quicktest.HasLen, 5)
	quicktest.Check(t, addresses, quicktest.Not(quicktest.Contains), "10.0.0.2:80")
	quicktest.Check(t, built.ExcessFraction(began), quicktest.Equals, 0.0)
	built.UpdateSelf(true, false, true, 3000)
	quicktest.Check(t, built.ExcessFraction(began) > 0.5, quicktest.IsTrue)
	// A low load moves nobody.
	quiet := fleet()
	busy.Load = 50
	quiet.RecordHeartbeat(busy, began)
	quicktest.Check(t, quiet.Addresses("b", "caller", began), quicktest.HasLen, 2)
}

// Replays an organisation whose callers all prefer the same router of those they know: they are told of different ones, in
// proportion to the processor time of the routers, and each caller always of the same.
func TestCallersAreSpread(t *testing.T) {
	built := roster.New(roster.Config{Self: member(0, "b")})
	cores := map[string]float64{}
	for number := range 16 {
		router := member(number, "a")
		router.Cores = 0.2
		if number < 4 {
			router.Cores = 0.8
		}
		built.RecordHeartbeat(router, began)
		cores[router.CallerAddress] = router.Cores
	}
	preferred, told := map[string]int{}, map[float64]int{}
	const callers = 400
	for caller := range callers {
		name := fmt.Sprintf("10.9.%d.%d", caller/100, caller%100)
		addresses := built.Addresses("a", name, began)
		quicktest.Assert(t, addresses, quicktest.HasLen, 4)
		quicktest.Check(t, built.Addresses("a", name, began), quicktest.DeepEquals, addresses)
		preferred[slices.Min(addresses)]++
		for _, address := range addresses {
			told[cores[address]]++
		}
	}
	for address, count := range preferred {
		quicktest.Check(t, count < callers/2, quicktest.IsTrue, quicktest.Commentf("%s is preferred by %d callers", address, count))
	}
	// Each of the 4 large routers has 4 times the processor time of each of the 12 small ones.
	ratio := 3 * float64(told[0.8]) / float64(told[0.2])
	quicktest.Check(t, ratio > 3 && ratio < 5, quicktest.IsTrue, quicktest.Commentf("large routers are named %.1f times as often", ratio))
}

// Replays a zone of sixty routers that starts as a whole. Guards against one router that passes the topics on to all others, which takes
// it seconds with a fifth of a core, against a long way from the store to the last one, and against routers that wait for each other.
func TestParentsFormTree(t *testing.T) {
	const size, fanout, steps = 60, 4, 3
	now := time.Now()
	name := func(number int) clementinewind.Instance { return clementinewind.Instance(fmt.Sprintf("r%02d", number)) }
	children, depth := map[clementinewind.Instance]int{}, map[clementinewind.Instance]int{}
	for number := range size {
		own := roster.New(roster.Config{Self: roster.Member{Instance: name(number), Zone: "a"}})
		for other := range size {
			own.AddFromStore(roster.Member{Instance: name(other), Zone: "a", Incarnation: 1}, now)
			own.AddFromStore(roster.Member{Instance: "b" + name(other), Zone: "b", Incarnation: 1}, now)
		}
		parent, ok := own.StartupParent(now, "")
		quicktest.Assert(t, ok, quicktest.Equals, number > 0)
		if !ok {
			continue
		}
		quicktest.Check(t, parent.Instance < name(number), quicktest.IsTrue, quicktest.Commentf("%s below %s", name(number), parent.Instance))
		children[parent.Instance]++
		depth[name(number)] = depth[parent.Instance] + 1
		quicktest.Check(t, depth[name(number)] <= steps, quicktest.IsTrue, quicktest.Commentf("%s is %d steps away", name(number), depth[name(number)]))
		other, ok := own.StartupParent(now, parent.Instance)
		quicktest.Check(t, ok, quicktest.Equals, parent.Instance != name(0))
		quicktest.Check(t, !ok || other.Instance == name(0), quicktest.IsTrue)
	}
	for parent, count := range children {
		quicktest.Check(t, count <= fanout, quicktest.IsTrue, quicktest.Commentf("%d below %s", count, parent))
	}
}
