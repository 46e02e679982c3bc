package gossip_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/load/board"
)

// elsewhere returns the work that a router believes the others to have.
func (member *meshMember) elsewhere() int {
	ticket, _ := member.board.Place(board.Request{Service: "s", Goal: time.Hour, MaxLatency: time.Hour}, member.mesh.now)
	defer ticket.End(board.ResultAbandoned, member.mesh.now)
	return ticket.RemoteRunning
}

// running returns the routers that were not stopped.
func (mesh *mesh) running() []*meshMember {
	return slices.DeleteFunc(slices.Clone(mesh.order), func(member *meshMember) bool { return member.stopped })
}

// check checks that each running router counts the one request of every other running router once, and hears just those.
func (mesh *mesh) check(t *testing.T) {
	t.Helper()
	running := mesh.running()
	for _, member := range running {
		quicktest.Check(t, member.elsewhere(), quicktest.Equals, len(running)-1, quicktest.Commentf("%s of %s", member.name, member.zone))
		quicktest.Check(t, member.roster.Alive(mesh.now), quicktest.HasLen, len(running), quicktest.Commentf("%s", member.name))
	}
}

// stop kills the routers with these numbers.
func (mesh *mesh) stop(numbers ...int) {
	for _, number := range numbers {
		mesh.order[number].stopped = true
	}
}

// newLoaded returns a large fleet in three zones with one upstream, at which each router has one request. The routers 0 to 2 are
// the heads of their zones, 3 to 5 the deputies.
func newLoaded(t *testing.T, routers int) *mesh {
	t.Helper()
	fleet := newMesh(routers, 3, 1)
	for _, member := range fleet.order {
		member.place(t, fmt.Sprint(member.name))
	}
	fleet.run(2 * time.Second)
	fleet.check(t)
	return fleet
}

// Guards against work that is counted twice or not at all, and against a cost that grows with the fleet.
func TestLargeFleet(t *testing.T) {
	const bound = 25
	for _, routers := range []int{24, 90, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := newLoaded(t, routers)
			for _, member := range fleet.order {
				member.sent, member.received = 0, 0
			}
			fleet.run(2 * time.Second)
			fleet.check(t)
			for _, member := range fleet.order[6:] {
				quicktest.Check(t, member.sent+member.received <= 2*bound, quicktest.IsTrue,
					quicktest.Commentf("%s sent %d and received %d in 2 s", member.name, member.sent, member.received))
			}
		})
	}
}

// Guards against a fleet that goes on with old state, or falls apart, when heads are lost: alone, with their deputies, in all zones
// at once, together with most of a zone, and one after the other.
func TestHeadsAreLost(t *testing.T) {
	tests := map[string][][]int{
		"a head":                     {{0}},
		"a deputy":                   {{3}},
		"a head and its deputy":      {{0, 3}},
		"all heads":                  {{0, 1, 2}},
		"all heads and deputies":     {{0, 1, 2, 3, 4, 5}},
		"three in a row":             {{0}, {3}, {6}},
		"most of a zone":             {{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33}},
		"a whole zone":               {{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42, 45, 48, 51, 54, 57}},
		"heads again before the end": {{0, 1, 2}, {3, 4, 5}},
	}
	for name, losses := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newLoaded(t, 60)
			for _, lost := range losses {
				fleet.stop(lost...)
				fleet.run(time.Second)
			}
			// The time until the silence of a router counts, and for the next heads to act.
			fleet.run(4 * time.Second)
			fleet.check(t)
		})
	}
}

// Guards against a gap that is longer than the digests of a zone are good for.
func TestHeadIsReplacedInTime(t *testing.T) {
	fleet := newLoaded(t, 60)
	fleet.stop(0)
	fleet.run(time.Second)
	busy := fleet.order[9]
	busy.place(t, "new")
	fleet.run(600 * time.Millisecond)
	for _, member := range fleet.running() {
		if member != busy {
			quicktest.Check(t, member.elsewhere() >= len(fleet.running()), quicktest.IsTrue, quicktest.Commentf("%s: %d", member.name, member.elsewhere()))
		}
	}
}

// Guards against a head that is restarted without state and replaces the sums of its zone by its own.
func TestHeadIsRestarted(t *testing.T) {
	fleet := newLoaded(t, 60)
	fleet.stop(0)
	fleet.run(3 * time.Second)
	restarted := fleet.add(0, 3, 1, 2)
	restarted.place(t, "restarted")
	for _, other := range fleet.order {
		restarted.roster.AddFromStore(other.roster.Self(), fleet.now)
	}
	for range 15 {
		fleet.step()
		for _, member := range fleet.running() {
			if member != restarted {
				quicktest.Check(t, member.elsewhere() >= len(fleet.running())-2, quicktest.IsTrue, quicktest.Commentf("%s: %d", member.name, member.elsewhere()))
			}
		}
	}
	fleet.check(t)
}

// Guards against a router that is cut off in one direction only: one whose head does not reach it asks others, and one that does
// not reach its head falls silent, and both return.
func TestOneWayCuts(t *testing.T) {
	tests := map[string]func(from, to *meshMember) bool{
		"the head does not reach it":  func(from, to *meshMember) bool { return from.name == "router-0" && to.name == "router-9" },
		"nobody is reached by a head": func(from, _ *meshMember) bool { return from.name == "router-0" },
	}
	for name, lost := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newLoaded(t, 60)
			fleet.lost = lost
			fleet.run(4 * time.Second)
			member := fleet.order[9]
			quicktest.Check(t, member.elsewhere() >= 58, quicktest.IsTrue, quicktest.Commentf("%d", member.elsewhere()))
			fleet.lost = nil
			fleet.run(8 * time.Second)
			fleet.check(t)
		})
	}
}

// Guards against a zone that is cut off: both parts go on, and find each other again.
func TestZoneIsCutOff(t *testing.T) {
	fleet := newLoaded(t, 60)
	fleet.lost = func(from, to *meshMember) bool { return (from.zone == "zone-1") != (to.zone == "zone-1") }
	fleet.run(5 * time.Second)
	for _, member := range fleet.order {
		want := 39
		if member.zone == "zone-1" {
			want = 19
		}
		quicktest.Check(t, member.elsewhere(), quicktest.Equals, want, quicktest.Commentf("%s", member.name))
	}
	fleet.lost = nil
	fleet.run(3 * time.Second)
	fleet.check(t)
}

// Guards against lost datagrams that make routers count as gone, at the rate of the users' lossy links.
func TestLostDatagrams(t *testing.T) {
	fleet := newLoaded(t, 60)
	count := 0
	fleet.lost = func(_, _ *meshMember) bool { count++; return count%40 == 0 }
	for range 40 {
		fleet.step()
		for _, member := range fleet.order {
			quicktest.Check(t, member.roster.Alive(fleet.now), quicktest.HasLen, 60, quicktest.Commentf("%s", member.name))
		}
	}
}

// Guards against a fleet that starts at once, where each router finds only those in the store that wrote before it read.
func TestStartTogether(t *testing.T) {
	fleet := &mesh{now: meshStart, members: map[netip.AddrPort]*meshMember{}}
	for number := range 60 {
		added := fleet.add(number, 3, 1, 1)
		added.place(t, fmt.Sprint(number))
		for _, earlier := range fleet.order {
			added.roster.AddFromStore(earlier.roster.Self(), fleet.now)
		}
	}
	fleet.run(6 * time.Second)
	fleet.check(t)
}

// Guards against newer records of the store that the routers of other zones do not hear of, and a router that leaves and is told
// to callers for long.
func TestNewsTravel(t *testing.T) {
	fleet := newLoaded(t, 60)
	fleet.order[9].offsets = gossip.Offsets{Operator: 7}
	leaving := fleet.order[12]
	leaving.roster.UpdateSelf(true, true, true, 0)
	fleet.run(800 * time.Millisecond)
	for _, member := range fleet.order {
		if member != fleet.order[9] {
			quicktest.Check(t, member.ahead.Operator, quicktest.Equals, int64(7), quicktest.Commentf("%s", member.name))
		}
		for _, other := range member.roster.Alive(fleet.now) {
			if other.Instance == leaving.name {
				quicktest.Check(t, other.Leaving, quicktest.IsTrue, quicktest.Commentf("%s", member.name))
			}
		}
	}
}

// A fleet that falls below the size of a full mesh, and one that grows beyond it, go on.
func TestSizeOfTheMesh(t *testing.T) {
	fleet := newLoaded(t, 20)
	fleet.stop(0, 3, 6, 9, 12, 15)
	fleet.run(70 * time.Second)
	fleet.check(t)
	for number := 20; number < 30; number++ {
		added := fleet.add(number, 3, 1, 1)
		added.place(t, fmt.Sprint(number))
		for _, earlier := range fleet.order {
			added.roster.AddFromStore(earlier.roster.Self(), fleet.now)
		}
	}
	fleet.run(6 * time.Second)
	fleet.check(t)
}
