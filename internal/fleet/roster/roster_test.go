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

var start = time.Unix(1000, 0)

func member(number int, zone clementinewind.Zone) roster.Member {
	return roster.Member{
		Instance: clementinewind.Instance(fmt.Sprintf("router-%d", number)), Zone: zone, Incarnation: 1,
		CallerAddress: fmt.Sprintf("10.0.0.%d:80", number), PeerAddress: fmt.Sprintf("10.0.0.%d:70", number),
		Ready: true, StoreReachable: true,
	}
}

// newFleet returns the roster of router 0 of zone a, with two routers in each of the zones a, b and c.
func newFleet() *roster.Roster {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		if number > 0 {
			built.RecordHeartbeat(member(number, zone), start)
		}
	}
	return built
}

// addressesForCallers returns all addresses that 200 callers of a zone get.
func addressesForCallers(built *roster.Roster, zone clementinewind.Zone, now time.Time) []string {
	var addresses []string
	for caller := range 200 {
		addresses = append(addresses, built.Addresses(zone, fmt.Sprintf("10.9.0.%d", caller), now)...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func TestAddresses(t *testing.T) {
	built := newFleet()
	quicktest.Check(t, built.Addresses("b", "caller", start), quicktest.DeepEquals, []string{"10.0.0.2:80", "10.0.0.3:80"})
	// Callers of a zone with a single serving router get addresses of all zones.
	leaving := member(2, "b")
	leaving.Leaving = true
	built.RecordHeartbeat(leaving, start)
	addresses := addressesForCallers(built, "b", start)
	quicktest.Check(t, addresses, quicktest.HasLen, 5)
	quicktest.Check(t, addresses, quicktest.Not(quicktest.Contains), "10.0.0.2:80")
}

// Guards against sending callers to a router that was killed.
func TestSilentRouterIsLeftOut(t *testing.T) {
	built := newFleet()
	later := start.Add(3 * time.Second)
	for _, number := range []int{1, 3, 4, 5} {
		built.RecordHeartbeat(member(number, "x"), later)
	}
	quicktest.Check(t, addressesForCallers(built, "b", later), quicktest.Not(quicktest.Contains), "10.0.0.2:80")
	quicktest.Check(t, built.Sweep(later, start), quicktest.HasLen, 1)
	quicktest.Check(t, built.Count(), quicktest.Equals, 6)
}

// Guards against a router that is cut off from the others and sends all callers to itself.
func TestIsolatedRouterReturnsOtherAddresses(t *testing.T) {
	quicktest.Check(t, newFleet().Addresses("b", "caller", start.Add(10*time.Second)), quicktest.HasLen, 2)
}

// Guards against registrations in the store that outlive their processes.
func TestRegisteredButNeverHeard(t *testing.T) {
	built := roster.New(roster.Config{Self: member(0, "a")})
	for number := range 4 {
		built.AddFromStore(member(number, "a"), start)
	}
	quicktest.Check(t, built.Addresses("a", "caller", start), quicktest.HasLen, 4)
	quicktest.Check(t, built.Addresses("a", "caller", start.Add(3*time.Second)), quicktest.HasLen, 1)
}

// Guards against a late heartbeat of an earlier process of the same router.
func TestHeartbeatOfOlderIncarnationIsIgnored(t *testing.T) {
	built := newFleet()
	restarted := member(2, "b")
	restarted.Incarnation = 2
	built.RecordHeartbeat(restarted, start)
	old := member(2, "b")
	old.Leaving = true
	built.RecordHeartbeat(old, start)
	quicktest.Check(t, built.Addresses("b", "caller", start), quicktest.HasLen, 2)
}

func TestStoreReader(t *testing.T) {
	built := newFleet()
	// The router itself is the first of its zone, and reads the store.
	_, other := built.StoreReader(start, "")
	quicktest.Check(t, other, quicktest.IsFalse)
	built.UpdateSelf(true, false, false, 0)
	reader, other := built.StoreReader(start, "")
	quicktest.Check(t, other, quicktest.IsTrue)
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-1"))
	// A router that did not respond is excluded and skipped.
	reader, _ = built.StoreReader(start, "router-1")
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-2"))
	// A router that does not reach the store cannot be the reader; one of another zone is used.
	unreachable := member(1, "a")
	unreachable.StoreReachable = false
	built.RecordHeartbeat(unreachable, start)
	reader, _ = built.StoreReader(start, "")
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-2"))
	_, other = built.StoreReader(start.Add(time.Minute), "")
	quicktest.Check(t, other, quicktest.IsFalse)
}

// Guards against a zone that learns of changes late because it reads from a router that is overloaded by callers.
func TestOverloadedStoreReaderIsAvoided(t *testing.T) {
	built := newFleet()
	built.UpdateSelf(true, false, true, roster.OverloadedRPSPerCore)
	reader, other := built.StoreReader(start, "")
	quicktest.Check(t, other, quicktest.IsTrue)
	quicktest.Check(t, reader.Instance, quicktest.Equals, clementinewind.Instance("router-1"))
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		overloaded := member(number, zone)
		overloaded.Load = roster.OverloadedRPSPerCore
		built.RecordHeartbeat(overloaded, start)
	}
	// Later than maxSnapshotAge, so that a new snapshot is taken.
	_, other = built.StoreReader(start.Add(50*time.Millisecond), "")
	quicktest.Check(t, other, quicktest.IsFalse)
}

func TestKeyHasOneOwner(t *testing.T) {
	owners := 0
	for number, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
		built := roster.New(roster.Config{Self: member(number, zone)})
		for other, zone := range []clementinewind.Zone{"a", "a", "b", "b", "c", "c"} {
			built.RecordHeartbeat(member(other, zone), start)
		}
		if built.Owns("upstream", start) {
			owners++
		}
	}
	quicktest.Check(t, owners, quicktest.Equals, 1)
}

// Guards against callers of a few organisations that all connect to the same routers: hot routers are left out until their load
// falls.
func TestHotRouterIsLeftOut(t *testing.T) {
	built := newFleet()
	hot := member(2, "b")
	hot.Load = 1000
	built.RecordHeartbeat(hot, start)
	// The zone as a whole is hot, so that its callers go to all zones, but not to the hot router.
	addresses := addressesForCallers(built, "b", start)
	quicktest.Check(t, addresses, quicktest.HasLen, 5)
	quicktest.Check(t, addresses, quicktest.Not(quicktest.Contains), "10.0.0.2:80")
	quicktest.Check(t, built.ExcessFraction(start), quicktest.Equals, 0.0)
	built.UpdateSelf(true, false, true, 3000)
	quicktest.Check(t, built.ExcessFraction(start) > 0.5, quicktest.IsTrue)
	// A low load never makes a router hot.
	idle := newFleet()
	hot.Load = 50
	idle.RecordHeartbeat(hot, start)
	quicktest.Check(t, idle.Addresses("b", "caller", start), quicktest.HasLen, 2)
}

// Guards against a hot spot when the callers of an organisation all prefer the same router of those they know. They get the
// addresses of different routers, in proportion to the routers' CPU, and each caller always gets the same ones.
func TestCallersAreSpreadByCPU(t *testing.T) {
	built := roster.New(roster.Config{Self: member(0, "b")})
	cores := map[string]float64{}
	for number := range 16 {
		router := member(number, "a")
		router.Cores = 0.2
		if number < 4 {
			router.Cores = 0.8
		}
		built.RecordHeartbeat(router, start)
		cores[router.CallerAddress] = router.Cores
	}
	preferred, returned := map[string]int{}, map[float64]int{}
	const callers = 400
	for caller := range callers {
		name := fmt.Sprintf("10.9.%d.%d", caller/100, caller%100)
		addresses := built.Addresses("a", name, start)
		quicktest.Assert(t, addresses, quicktest.HasLen, 4)
		quicktest.Check(t, built.Addresses("a", name, start), quicktest.DeepEquals, addresses)
		preferred[slices.Min(addresses)]++
		for _, address := range addresses {
			returned[cores[address]]++
		}
	}
	for address, count := range preferred {
		quicktest.Check(t, count < callers/2, quicktest.IsTrue, quicktest.Commentf("%s is preferred by %d callers", address, count))
	}
	// Each of the 4 large routers has 4 times the CPU of each of the 12 small ones.
	ratio := 3 * float64(returned[0.8]) / float64(returned[0.2])
	quicktest.Check(t, ratio > 3 && ratio < 5, quicktest.IsTrue, quicktest.Commentf("addresses of large routers are returned %.1f times as often", ratio))
}

// A zone of sixty routers starts at once. Guards against one router that serves the topics to all others, which takes it seconds with
// a fifth of a core, against many hops from the store to the last router, and against routers that wait for each other.
func TestStartupParentsFormTree(t *testing.T) {
	const size, fanout, maxHops = 60, 4, 3
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
		quicktest.Check(t, depth[name(number)] <= maxHops, quicktest.IsTrue, quicktest.Commentf("%s is %d hops away", name(number), depth[name(number)]))
		other, ok := own.StartupParent(now, parent.Instance)
		quicktest.Check(t, ok, quicktest.Equals, parent.Instance != name(0))
		quicktest.Check(t, !ok || other.Instance == name(0), quicktest.IsTrue)
	}
	for parent, count := range children {
		quicktest.Check(t, count <= fanout, quicktest.IsTrue, quicktest.Commentf("%d below %s", count, parent))
	}
}

// loseRouters returns the roster of router 0 ten seconds after it last heard the others, except those that it still hears.
func loseRouters(heard ...roster.Member) (*roster.Roster, time.Time) {
	built, now := newFleet(), start.Add(10*time.Second)
	for _, other := range heard {
		built.RecordHeartbeat(other, now)
	}
	return built, now
}

// Most routers are lost at once. Guards against sending callers to them for a minute, because the router takes itself for cut off: a router
// that hears another zone, or one that reaches the store, is not.
func TestLostRoutersAreLeftOut(t *testing.T) {
	unreachable := member(2, "b")
	unreachable.StoreReachable = false
	for name, heard := range map[string]roster.Member{"another zone": unreachable, "a router that reaches the store": member(1, "a")} {
		t.Run(name, func(t *testing.T) {
			built, now := loseRouters(heard)
			for _, zone := range []clementinewind.Zone{"a", "b", "c"} {
				quicktest.Check(t, addressesForCallers(built, zone, now), quicktest.DeepEquals, []string{"10.0.0.0:80", heard.CallerAddress})
			}
		})
	}
}

// Guards against a cut-off zone whose routers send all callers to each other.
func TestIsolatedZoneReturnsOtherAddresses(t *testing.T) {
	neighbour := member(1, "a")
	neighbour.StoreReachable = false
	built, now := loseRouters(neighbour)
	built.UpdateSelf(true, false, false, 0)
	quicktest.Check(t, built.Addresses("b", "caller", now), quicktest.DeepEquals, []string{"10.0.0.2:80", "10.0.0.3:80"})
}

// A router that is alone looks others up in the store, where registrations outlive their processes. Guards against callers that are sent to
// a lost router again once it was forgotten.
func TestForgottenRouterIsNotRevived(t *testing.T) {
	built := newFleet()
	lost := member(2, "b")
	built.UpdateSelf(true, false, true, 0)
	later := start.Add(2 * time.Minute)
	built.Sweep(later, start)
	quicktest.Assert(t, built.Count(), quicktest.Equals, 1)
	built.RecordStoreReached(later)
	built.AddFromStore(lost, later)
	quicktest.Check(t, built.Addresses("b", "caller", later), quicktest.DeepEquals, []string{"10.0.0.0:80"})
	// It gets heartbeats all the same, and is used once it is heard.
	quicktest.Check(t, built.Peers(), quicktest.HasLen, 1)
	built.RecordHeartbeat(lost, later)
	quicktest.Check(t, built.Addresses("b", "caller", later), quicktest.HasLen, 2)
	// A new process of the router counts as alive, as at the start.
	restarted := member(3, "b")
	restarted.Incarnation = 2
	built.AddFromStore(restarted, later)
	quicktest.Check(t, built.Addresses("b", "caller", later), quicktest.DeepEquals, []string{"10.0.0.2:80", "10.0.0.3:80"})
}
