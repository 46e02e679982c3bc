package gossip_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/store/feed"
)

// peerRequests returns the number of requests that a router believes the others to run.
func (member *meshMember) peerRequests() int {
	ticket, _ := member.board.Place(board.Request{Service: "s", Goal: time.Hour, Limit: pick.LatencyLimit(time.Hour)}, member.mesh.now)
	defer ticket.End(board.ResultAbandoned, member.mesh.now)
	return ticket.RemoteRunning
}

// running returns the routers that were not stopped.
func (mesh *mesh) running() []*meshMember {
	return slices.DeleteFunc(slices.Clone(mesh.routers), func(member *meshMember) bool { return member.stopped })
}

// checkConverged checks that each running router counts the one request of every other running router once, and considers just
// those routers alive.
func (mesh *mesh) checkConverged(t *testing.T) {
	t.Helper()
	running := mesh.running()
	for _, member := range running {
		quicktest.Check(t, member.peerRequests(), quicktest.Equals, len(running)-1, quicktest.Commentf("%s of %s", member.name, member.zone))
		quicktest.Check(t, member.roster.Alive(mesh.now), quicktest.HasLen, len(running), quicktest.Commentf("%s", member.name))
	}
}

// stop kills the routers with these numbers.
func (mesh *mesh) stop(numbers ...int) {
	for _, number := range numbers {
		mesh.routers[number].stopped = true
	}
}

// newLoadedMesh returns a large fleet in three zones with one upstream, at which each router runs one request. The routers 0 to 2
// are the zone heads, 3 to 5 the standbys.
func newLoadedMesh(t *testing.T, routers int) *mesh {
	t.Helper()
	fleet := newMesh(routers, 3, 1)
	for _, member := range fleet.routers {
		member.place(t, fmt.Sprint(member.name))
	}
	fleet.run(2 * time.Second)
	fleet.checkConverged(t)
	return fleet
}

// Guards against load that is counted twice or not at all, and against traffic per router that grows with the fleet.
func TestLargeFleet(t *testing.T) {
	const datagramsPerSecond = 25
	for _, routers := range []int{24, 90, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := newLoadedMesh(t, routers)
			for _, member := range fleet.routers {
				member.sent, member.received = 0, 0
			}
			fleet.run(2 * time.Second)
			fleet.checkConverged(t)
			for _, member := range fleet.routers[6:] {
				quicktest.Check(t, member.sent+member.received <= 2*datagramsPerSecond, quicktest.IsTrue,
					quicktest.Commentf("%s sent %d and received %d in 2 s", member.name, member.sent, member.received))
			}
		})
	}
}

// Guards against a fleet that keeps stale state or stays partitioned after zone heads fail: alone, with their standbys, in all zones
// at once, with most of a zone, or one after the other.
func TestHeadFailures(t *testing.T) {
	tests := map[string][][]int{
		"a head":                        {{0}},
		"a standby":                     {{3}},
		"a head and its standby":        {{0, 3}},
		"all heads":                     {{0, 1, 2}},
		"all heads and standbys":        {{0, 1, 2, 3, 4, 5}},
		"three heads of a zone in turn": {{0}, {3}, {6}},
		"most of a zone":                {{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33}},
		"a whole zone":                  {{0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42, 45, 48, 51, 54, 57}},
		"all heads, then all standbys":  {{0, 1, 2}, {3, 4, 5}},
	}
	for name, failures := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newLoadedMesh(t, 60)
			for _, failed := range failures {
				fleet.stop(failed...)
				fleet.run(time.Second)
			}
			// Enough for the failed routers to be noticed and for the next heads to take over.
			fleet.run(4 * time.Second)
			fleet.checkConverged(t)
		})
	}
}

// Guards against a failover that takes longer than the last digest of a zone may be used.
func TestFailoverBeforeDigestsExpire(t *testing.T) {
	fleet := newLoadedMesh(t, 60)
	fleet.stop(0)
	fleet.run(time.Second)
	sender := fleet.routers[9]
	sender.place(t, "new")
	fleet.run(600 * time.Millisecond)
	for _, member := range fleet.running() {
		if member != sender {
			quicktest.Check(t, member.peerRequests() >= len(fleet.running()), quicktest.IsTrue, quicktest.Commentf("%s: %d", member.name, member.peerRequests()))
		}
	}
}

// Guards against a restarted head that has no state yet and replaces the totals of its zone by its own load.
func TestRestartedHead(t *testing.T) {
	fleet := newLoadedMesh(t, 60)
	fleet.stop(0)
	fleet.run(3 * time.Second)
	restarted := fleet.add(0, 3, 1, 2)
	restarted.place(t, "restarted")
	for _, other := range fleet.routers {
		restarted.roster.AddFromStore(other.roster.Self(), fleet.now)
	}
	for range 15 {
		fleet.step()
		for _, member := range fleet.running() {
			if member != restarted {
				quicktest.Check(t, member.peerRequests() >= len(fleet.running())-2, quicktest.IsTrue, quicktest.Commentf("%s: %d", member.name, member.peerRequests()))
			}
		}
	}
	fleet.checkConverged(t)
}

// Guards against stale state after one-way partitions: a router that its head does not reach must get digests from others, a head
// that reaches nobody must be replaced, and both must recover.
func TestOneWayPartitions(t *testing.T) {
	tests := map[string]func(from, to *meshMember) bool{
		"a head does not reach one router": func(from, to *meshMember) bool { return from.name == "router-0" && to.name == "router-9" },
		"a head reaches nobody":            func(from, _ *meshMember) bool { return from.name == "router-0" },
	}
	for name, drops := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newLoadedMesh(t, 60)
			fleet.drops = drops
			fleet.run(4 * time.Second)
			member := fleet.routers[9]
			quicktest.Check(t, member.peerRequests() >= 58, quicktest.IsTrue, quicktest.Commentf("%d", member.peerRequests()))
			fleet.drops = nil
			fleet.run(8 * time.Second)
			fleet.checkConverged(t)
		})
	}
}

// A partitioned zone and the rest of the fleet must go on separately, and find each other again.
func TestZonePartition(t *testing.T) {
	fleet := newLoadedMesh(t, 60)
	fleet.drops = func(from, to *meshMember) bool { return (from.zone == "zone-1") != (to.zone == "zone-1") }
	fleet.run(5 * time.Second)
	for _, member := range fleet.routers {
		want := 39
		if member.zone == "zone-1" {
			want = 19
		}
		quicktest.Check(t, member.peerRequests(), quicktest.Equals, want, quicktest.Commentf("%s", member.name))
	}
	fleet.drops = nil
	fleet.run(3 * time.Second)
	fleet.checkConverged(t)
}

// Guards against routers that count as down because of lost datagrams. One of 40 is lost, as on the lossy links of users.
func TestLostDatagrams(t *testing.T) {
	fleet := newLoadedMesh(t, 60)
	count := 0
	fleet.drops = func(_, _ *meshMember) bool { count++; return count%40 == 0 }
	for range 40 {
		fleet.step()
		for _, member := range fleet.routers {
			quicktest.Check(t, member.roster.Alive(fleet.now), quicktest.HasLen, 60, quicktest.Commentf("%s", member.name))
		}
	}
}

// Guards against a fleet that starts at once and never converges: each router only finds those in the store that registered before.
func TestSimultaneousStart(t *testing.T) {
	fleet := &mesh{now: meshStart, byAddress: map[netip.AddrPort]*meshMember{}}
	for number := range 60 {
		added := fleet.add(number, 3, 1, 1)
		added.place(t, fmt.Sprint(number))
		for _, earlier := range fleet.routers {
			added.roster.AddFromStore(earlier.roster.Self(), fleet.now)
		}
	}
	fleet.run(6 * time.Second)
	fleet.checkConverged(t)
}

// Guards against routers of other zones that learn too late of newer records of the store, or that a router is leaving.
func TestChangesReachAllZones(t *testing.T) {
	fleet := newLoadedMesh(t, 60)
	fleet.routers[9].offsets = gossip.Offsets{Operator: 7}
	leaving := fleet.routers[12]
	leaving.roster.UpdateSelf(true, true, true, 0)
	fleet.run(800 * time.Millisecond)
	for _, member := range fleet.routers {
		if member != fleet.routers[9] {
			quicktest.Check(t, member.aheadOffsets.Operator, quicktest.Equals, feed.Position(7), quicktest.Commentf("%s", member.name))
		}
		for _, other := range member.roster.Alive(fleet.now) {
			if other.Instance == leaving.name {
				quicktest.Check(t, other.Leaving, quicktest.IsTrue, quicktest.Commentf("%s", member.name))
			}
		}
	}
}

// A fleet that shrinks below the size of a full mesh, and one that grows beyond it, must converge.
func TestCrossingFullMeshLimit(t *testing.T) {
	fleet := newLoadedMesh(t, 20)
	fleet.stop(0, 3, 6, 9, 12, 15)
	fleet.run(70 * time.Second)
	fleet.checkConverged(t)
	for number := 20; number < 30; number++ {
		added := fleet.add(number, 3, 1, 1)
		added.place(t, fmt.Sprint(number))
		for _, earlier := range fleet.routers {
			added.roster.AddFromStore(earlier.roster.Self(), fleet.now)
		}
	}
	fleet.run(6 * time.Second)
	fleet.checkConverged(t)
}

// Guards against routers that do not learn of a poisoned prompt part in time: each crash is seen by another router, one router starts
// late, one was cut off, and every tenth datagram is lost.
func TestPoisonedPartIsKnownEverywhere(t *testing.T) {
	const contact = 3 * time.Second
	for _, routers := range []int{6, 60, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := newMesh(routers, 3, 1)
			cutOff := fleet.routers[routers-1]
			isCutOff := true
			datagrams := 0
			fleet.drops = func(from, to *meshMember) bool {
				datagrams++
				return datagrams%10 == 0 || (isCutOff && (from == cutOff || to == cutOff))
			}
			fleet.run(2 * time.Second)
			parts := []prompt.PartHash{1, 2}
			for upstream := range 5 {
				at := fleet.now
				fleet.routers[upstream].poison.RecordCrash(parts, poison.Suspicion{Crash: poison.CrashID(upstream), At: at, Answering: true}, at)
				fleet.run(600 * time.Millisecond)
				fleet.routers[upstream].poison.RecordAnswer(parts[:1], fleet.now)
			}
			fleet.run(contact)
			late := fleet.add(3, 3, 1, 2)
			for _, other := range fleet.routers {
				late.roster.AddFromStore(other.roster.Self(), fleet.now)
			}
			isCutOff = false
			fleet.run(contact)
			for _, member := range fleet.running() {
				_, rejected := member.poison.Check(parts[1:], fleet.now)
				quicktest.Check(t, rejected, quicktest.IsTrue, quicktest.Commentf("%s, poisoned part", member.name))
				_, rejected = member.poison.Check(parts[:1], fleet.now)
				quicktest.Check(t, rejected, quicktest.IsFalse, quicktest.Commentf("%s, sound part", member.name))
			}
		})
	}
}

// reportAll makes every router hear a new report from each of the upstreams.
func (mesh *mesh) reportAll(upstreams int) {
	for _, member := range mesh.running() {
		var facts []board.Fact
		for number := range upstreams {
			facts = append(facts, board.Fact{
				Upstream: usage.Hash(clementinewind.Upstream(fmt.Sprintf("u%d", number))), At: mesh.now, Report: board.Report{Running: 300, Waiting: 200, Pace: 2.5},
			})
		}
		member.board.AddFacts(facts, true, mesh.now)
	}
}

// Guards against reports that stay with the router that heard them, and against traffic for them that grows with the fleet: at most 2 KB a
// second for each router on average.
func TestReportsReachAllZones(t *testing.T) {
	for _, routers := range []int{6, 60} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			const upstreams, seconds = 140, 4
			bytesPerRouter := func(report bool) int {
				fleet := newMesh(routers, 3, upstreams)
				fleet.run(2 * time.Second)
				before := 0
				for _, member := range fleet.routers {
					before += member.bytes
				}
				for range seconds * int(time.Second/meshStep) {
					if report {
						fleet.reportAll(upstreams)
					}
					fleet.step()
				}
				sum := -before
				for _, member := range fleet.routers {
					sum += member.bytes
				}
				// Each byte is counted where it is sent and where it arrives.
				return sum / 2 / routers / seconds
			}
			extra := bytesPerRouter(true) - bytesPerRouter(false)
			quicktest.Check(t, extra <= 2000, quicktest.IsTrue, quicktest.Commentf("%d bytes a second", extra))

			fleet := newMesh(routers, 3, 1)
			fleet.run(2 * time.Second)
			first := fleet.routers[routers-1]
			first.board.AddFacts([]board.Fact{{Upstream: usage.Hash(clementinewind.Upstream("u0")), At: fleet.now, Report: board.Report{Pace: 2}}}, true, fleet.now)
			fleet.run(600 * time.Millisecond)
			for _, member := range fleet.routers {
				ticket, _ := member.board.Place(board.Request{Service: "s", Goal: time.Hour, Limit: pick.LatencyLimit(time.Hour)}, fleet.now)
				quicktest.Check(t, ticket.ReportAge > 0, quicktest.IsTrue, quicktest.Commentf("%s", member.name))
				ticket.End(board.ResultAbandoned, fleet.now)
			}
		})
	}
}
