package sched_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// node is one router; messages wait in the fleet until deliver.
type node struct {
	owner *sched.Owner
	entry *sched.Entry
}

type frame struct {
	from, to clementinewind.Session
	content  *peerv1.ControlFrame
}

type fleet struct {
	nodes  map[clementinewind.Session]*node
	frames []frame
	stale  bool
	limits map[clementinewind.Organisation]fair.Limits
}

func newFleet(sessions ...clementinewind.Session) *fleet {
	fleet := &fleet{
		nodes:  make(map[clementinewind.Session]*node),
		limits: map[clementinewind.Organisation]fair.Limits{"big": {Weight: 4}, "one": {Running: 1}},
	}
	for _, session := range sessions {
		send := func(to clementinewind.Session, content *peerv1.ControlFrame) {
			fleet.frames = append(fleet.frames, frame{from: session, to: to, content: content})
		}
		node := &node{
			owner: sched.NewOwner(sched.OwnerConfig{
				Self: session, Send: send,
				Home:    func(fair.Key) clementinewind.Session { return sessions[0] },
				MaySend: func() bool { return !fleet.stale },
			}),
			entry: sched.NewEntry(sched.EntryConfig{
				Self: session, Send: send, Seed: 1,
				Limits: func(organisation clementinewind.Organisation) fair.Limits { return fleet.limits[organisation] },
			}),
		}
		node.owner.SetSessions(sessions)
		node.entry.SetOwners("chat", sessions)
		fleet.nodes[session] = node
	}
	return fleet
}

func (fleet *fleet) deliver() {
	for len(fleet.frames) > 0 {
		frame := fleet.frames[0]
		fleet.frames = fleet.frames[1:]
		node := fleet.nodes[frame.to]
		node.owner.HandleAsks(frame.from, frame.content.Asks)
		node.owner.HandleReturns(frame.from, frame.content.Returns)
		node.owner.HandleServices(frame.from, frame.content.Services)
		node.entry.HandleGrants(frame.from, frame.content.Grants)
		node.entry.HandleSpares(frame.from, frame.content.Spares)
	}
}

func (fleet *fleet) grants() int {
	count := 0
	for _, frame := range fleet.frames {
		count += len(frame.content.Grants)
	}
	return count
}

// drop loses all messages on the way.
func (fleet *fleet) drop() { fleet.frames = nil }

func upstreams(limit int) []sched.UpstreamConfig {
	return []sched.UpstreamConfig{{Upstream: "e1", Pool: "chat", Cold: limit, Max: limit}}
}

func request(organisation clementinewind.Organisation, entry clementinewind.Session) sched.Request {
	return sched.Request{Pool: "chat", Organisation: organisation, Weight: 1, Estimate: 100, Entry: entry, Attempt: 1}
}

// enqueue puts a request in the queue of an entry router and redeems its grant at once. A request whose grant has
// expired waits again, as in the router.
func (fleet *fleet) enqueue(organisation clementinewind.Organisation, session clementinewind.Session,
	placed func(slot *sched.Slot, placement sched.Placement),
) {
	request := request(organisation, session)
	_, refusal := fleet.nodes[session].entry.Enqueue(request, func(placement sched.Placement) {
		if slot, redeemed := fleet.nodes[placement.Session].owner.Redeem(placement.GrantID, request); redeemed {
			placed(slot, placement)
			return
		}
		placement.Busy()
		fleet.enqueue(organisation, session, placed)
	})
	if refusal != nil {
		panic(refusal)
	}
}

// Guards against a grant that is used twice, by another router, or for another organisation.
func TestRedeem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2)
		owner := fleet.nodes[1].owner
		owner.SetUpstreams(upstreams(1))
		owner.HandleAsks(2, []*peerv1.Ask{{Pool: "chat", Organisation: "acme", Weight: 1, Waiting: 5, Estimate: 10}})
		quicktest.Assert(t, fleet.grants(), quicktest.Equals, 1)
		fleet.drop()
		for _, wrong := range []sched.Request{request("acme", 1), request("bolt", 2)} {
			_, redeemed := owner.Redeem(1, wrong)
			quicktest.Assert(t, redeemed, quicktest.IsFalse)
		}
		owner.HandleReturns(1, []*peerv1.GrantReturn{{GrantId: 1}})
		slot, redeemed := owner.Redeem(1, request("acme", 2))
		quicktest.Assert(t, redeemed, quicktest.IsTrue)
		_, redeemed = owner.Redeem(1, request("acme", 2))
		quicktest.Assert(t, redeemed, quicktest.IsFalse)
		quicktest.Assert(t, slot.Dispatched(), quicktest.IsTrue)
		slot.Finish(admit.ResultCompleted)
		slot.Finish(admit.ResultCompleted)
		quicktest.Assert(t, fleet.grants(), quicktest.Equals, 1)
	})
}

// Guards against slots that stay idle because a grant was lost, and against a late use of such a grant.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2)
		owner := fleet.nodes[1].owner
		owner.SetUpstreams(upstreams(1))
		for _, session := range []clementinewind.Session{1, 2} {
			organisation := map[clementinewind.Session]string{1: "acme", 2: "bolt"}[session]
			owner.HandleAsks(session, []*peerv1.Ask{
				{Pool: "chat", Organisation: organisation, Weight: 1, Waiting: 5, Estimate: 10},
			})
		}
		quicktest.Assert(t, fleet.frames[0].to, quicktest.Equals, clementinewind.Session(1))
		fleet.drop()
		time.Sleep(sched.DefaultGrantLifetime)
		_, redeemed := owner.Redeem(1, request("acme", 1))
		quicktest.Assert(t, redeemed, quicktest.IsFalse)
		quicktest.Assert(t, fleet.grants(), quicktest.Equals, 1)
		quicktest.Assert(t, fleet.frames[0].to, quicktest.Equals, clementinewind.Session(2))
	})
}

// Guards against new work on an upstream that leaves or was handed over, or by an owner whose configuration is stale.
func TestNoNewWork(t *testing.T) {
	tests := map[string]func(fleet *fleet){
		"stale": func(fleet *fleet) { fleet.stale = true },
		"leaving": func(fleet *fleet) {
			configs := upstreams(2)
			configs[0].Leaving = true
			fleet.nodes[1].owner.SetUpstreams(configs)
		},
		"handed over": func(fleet *fleet) { fleet.nodes[1].owner.SetUpstreams(nil) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(1)
				owner := fleet.nodes[1].owner
				owner.SetUpstreams(upstreams(2))
				slot, refusal := owner.Admit(context.Background(), request("acme", 1))
				quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
				ask := []*peerv1.Ask{{Pool: "chat", Organisation: "acme", Weight: 1, Waiting: 5, Estimate: 10}}
				owner.HandleAsks(1, ask)
				quicktest.Assert(t, fleet.grants(), quicktest.Equals, 1)
				stop(fleet)
				fleet.drop()
				_, redeemed := owner.Redeem(1, request("acme", 1))
				quicktest.Assert(t, redeemed, quicktest.IsFalse)
				quicktest.Assert(t, slot.Dispatched(), quicktest.IsFalse)
				slot.Finish(admit.ResultUnused)
				_, refusal = owner.Admit(context.Background(), request("acme", 1))
				quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonBusy)
				quicktest.Assert(t, refusal.Outcome, quicktest.Equals, clementinewind.OutcomeNotRun)
				owner.HandleAsks(1, ask)
				owner.Tick()
				quicktest.Assert(t, fleet.grants(), quicktest.Equals, 0)
			})
		})
	}
}

// Guards against shares that do not follow the weights, over two owners and entry routers with unequal queues.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, 2)
		fleet.nodes[1].owner.SetUpstreams(upstreams(4))
		fleet.nodes[2].owner.SetUpstreams([]sched.UpstreamConfig{{Upstream: "e2", Pool: "chat", Cold: 4, Max: 4}})
		served := make(map[clementinewind.Organisation]int)
		var running []func()
		for position := range 3000 {
			organisation := []clementinewind.Organisation{"big", "acme", "flood", "flood", "flood", "big"}[position%6]
			fleet.enqueue(organisation, clementinewind.Session(1+position%2), func(slot *sched.Slot, placement sched.Placement) {
				served[organisation]++
				running = append(running, func() {
					slot.Progress(100)
					slot.Finish(admit.ResultCompleted)
					placement.Finish()
				})
			})
			fleet.deliver()
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			running[0]()
			running = running[1:]
			for _, session := range []clementinewind.Session{1, 2} {
				fleet.nodes[session].owner.Tick()
				fleet.nodes[session].entry.Tick()
			}
			fleet.deliver()
		}
		quicktest.Assert(t, served["big"] >= 390 && served["big"] <= 420, quicktest.IsTrue, quicktest.Commentf("%v", served))
		for _, organisation := range []clementinewind.Organisation{"acme", "flood"} {
			count := served[organisation]
			quicktest.Assert(t, count >= 95 && count <= 110, quicktest.IsTrue, quicktest.Commentf("%v", served))
		}
	})
}

// Guards against a request that waits for ever, or that stays in the queue after its caller has gone.
func TestAcquireEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1)
		entry := fleet.nodes[1].entry
		late := request("acme", 1)
		late.Deadline = time.Now().Add(time.Second)
		_, refusal := entry.Acquire(context.Background(), late)
		quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonDeadline)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, refusal = entry.Acquire(ctx, request("acme", 1))
		quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonCancelled)
		quicktest.Assert(t, refusal.Outcome, quicktest.Equals, clementinewind.OutcomeNotRun)
		_, refusal = entry.Acquire(context.Background(), sched.Request{Pool: "none"})
		quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonNoCapacity)
		fleet.deliver()
		fleet.nodes[1].owner.SetUpstreams(upstreams(1))
		fleet.deliver()
		// The grant of the withdrawn request has come back, and the slot is free.
		_, refusal = fleet.nodes[1].owner.Admit(context.Background(), request("acme", 1))
		quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
	})
}

// Guards against an answer that is refused or not accounted for when it goes on under a new owner.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newFleet(1).nodes[1].owner
		_, refusal := owner.Resume("e1", request("acme", 1), 50)
		quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonBusy)
		configs := upstreams(1)
		configs[0].Leaving = true
		owner.SetUpstreams(configs)
		for range 2 {
			slot, refusal := owner.Resume("e1", request("acme", 1), 50)
			quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
			quicktest.Assert(t, slot.Dispatched(), quicktest.IsTrue)
			slot.Progress(70)
			defer func() {
				slot.Finish(admit.ResultCompleted)
				quicktest.Assert(t, owner.Upstreams()[0].Limit, quicktest.Equals, 1)
			}()
		}
		quicktest.Assert(t, owner.Upstreams()[0].InFlight, quicktest.Equals, 2)
	})
}

// Guards against a slot that stays held by a request whose caller left between the grant and the forward.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1)
		fleet.nodes[1].owner.SetUpstreams(upstreams(1))
		var placements []sched.Placement
		for range 2 {
			_, refusal := fleet.nodes[1].entry.Enqueue(request("acme", 1), func(placement sched.Placement) {
				placements = append(placements, placement)
			})
			quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
			fleet.deliver()
		}
		quicktest.Assert(t, placements, quicktest.HasLen, 1)
		placements[0].Cancel()
		placements[0].Cancel()
		fleet.deliver()
		quicktest.Assert(t, placements, quicktest.HasLen, 2)
		_, redeemed := fleet.nodes[1].owner.Redeem(placements[1].GrantID, request("acme", 1))
		quicktest.Assert(t, redeemed, quicktest.IsTrue)
	})
}

// Guards against a direct forward past the limit of running requests, and past requests that wait at the owner.
func TestDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1)
		fleet.nodes[1].owner.SetUpstreams(upstreams(2))
		direct := request("one", 1)
		direct.Attempt = 0
		first, refusal := fleet.nodes[1].entry.Acquire(context.Background(), direct)
		quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
		quicktest.Assert(t, first.GrantID, quicktest.Equals, uint64(0))
		slot, refusal := fleet.nodes[1].owner.Admit(context.Background(), direct)
		quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
		done := false
		fleet.enqueue("one", 1, func(*sched.Slot, sched.Placement) { done = true })
		fleet.deliver()
		quicktest.Assert(t, done, quicktest.IsFalse)
		slot.Finish(admit.ResultCompleted)
		first.Finish()
		fleet.deliver()
		quicktest.Assert(t, done, quicktest.IsTrue)
	})
}

// Guards against a prefix that overrides the limit of its upstream, and against one that is ignored.
func TestAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1)
		owner := fleet.nodes[1].owner
		owner.SetUpstreams([]sched.UpstreamConfig{
			{Upstream: "e1", Pool: "chat", Cold: 2, Max: 2}, {Upstream: "e2", Pool: "chat", Cold: 2, Max: 2},
		})
		var got []clementinewind.Upstream
		for range 4 {
			warm := request("acme", 1)
			warm.Prefix = 7
			slot, refusal := owner.Admit(context.Background(), warm)
			quicktest.Assert(t, refusal == nil, quicktest.IsTrue)
			got = append(got, slot.Upstream())
		}
		quicktest.Assert(t, got, quicktest.DeepEquals, []clementinewind.Upstream{"e1", "e1", "e2", "e2"})
	})
}

type step struct {
	action       int
	session      clementinewind.Session
	organisation clementinewind.Organisation
}

// Guards against lost or doubled slots and stuck requests under any order of events and any loss of messages.
func TestNothingIsLost(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			action:       rapid.IntRange(0, 5).Draw(t, "action"),
			session:      clementinewind.Session(rapid.IntRange(1, 2).Draw(t, "session")),
			organisation: rapid.SampledFrom([]clementinewind.Organisation{"big", "acme", "one"}).Draw(t, "organisation"),
		}
	}), 1, 60)
	rapid.Check(t, func(rapidT *rapid.T) {
		drawn := steps.Draw(rapidT, "steps")
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = runSteps(drawn) })
		if fault != "" {
			rapidT.Fatal(fault)
		}
	})
}

// runSteps applies steps, lets the fleet settle, and returns what was lost.
func runSteps(steps []step) string {
	fleet := newFleet(1, 2)
	for session, name := range map[clementinewind.Session]clementinewind.Upstream{1: "e1", 2: "e2"} {
		fleet.nodes[session].owner.SetUpstreams([]sched.UpstreamConfig{{Upstream: name, Pool: "chat", Cold: 2, Max: 2}})
	}
	enqueued, placed := 0, 0
	var running []func()
	finish := func() {
		if len(running) > 0 {
			end := running[0]
			running = running[1:]
			end()
		}
	}
	tick := func(session clementinewind.Session) {
		fleet.nodes[session].owner.Tick()
		fleet.nodes[session].entry.Tick()
	}
	for _, step := range steps {
		switch step.action {
		case 0, 1:
			enqueued++
			fleet.enqueue(step.organisation, step.session, func(slot *sched.Slot, placement sched.Placement) {
				placed++
				running = append(running, func() {
					slot.Finish(admit.ResultCompleted)
					placement.Finish()
				})
			})
		case 2:
			fleet.deliver()
		case 3:
			finish()
		case 4:
			time.Sleep(100 * time.Millisecond)
			tick(step.session)
		case 5:
			// A grant that is lost is found by its expiry; all else is repeated on connection.
			fleet.drop()
			for _, node := range fleet.nodes {
				for peer := range fleet.nodes {
					node.owner.Connected(peer)
					node.owner.PeerConnected(peer)
					node.entry.Connected(peer)
				}
			}
		}
		if len(running) > 4 {
			return fmt.Sprintf("%d requests hold 4 slots", len(running))
		}
	}
	for range 400 {
		finish()
		time.Sleep(100 * time.Millisecond)
		tick(1)
		tick(2)
		fleet.deliver()
	}
	if placed != enqueued {
		return fmt.Sprintf("%d of %d requests placed", placed, enqueued)
	}
	for _, node := range fleet.nodes {
		for _, status := range node.owner.Upstreams() {
			if status.InFlight != 0 {
				return fmt.Sprintf("slots held at the end: %+v", status)
			}
		}
	}
	return ""
}
