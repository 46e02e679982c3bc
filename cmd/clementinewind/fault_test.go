package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
)

// awaitNewOwner waits until each engine has received a request with at least the given fencing token.
func (fleet *fleet) awaitNewOwner(engines []*upstream, token clementinewind.Offset) {
	fleet.t.Helper()
	for _, engine := range engines {
		await(fleet.t, engine.name+" receives requests from its next owner", func() bool {
			for _, received := range fleet.receivedPosts(engine) {
				if received.FencingToken >= token {
					return true
				}
			}
			return false
		})
	}
}

// awaitSessionExpired waits until the session of a router has expired, and returns the offset of that record.
func (fleet *fleet) awaitSessionExpired(node *node) clementinewind.Offset {
	fleet.t.Helper()
	expired := clementinewind.Offset(-1)
	await(fleet.t, "session of "+node.name+" is expired", func() bool {
		expired = fleet.sessionExpiryOffset(node.name)
		return expired >= 0
	})
	return expired
}

// largestOwner returns the router that owns the most engines, and these engines.
func (fleet *fleet) largestOwner() (*node, []*upstream) {
	var owner *node
	var owned []*upstream
	for _, node := range fleet.nodes {
		if engines := fleet.ownedEngines(node, fleet.nodes[0]); len(engines) > len(owned) {
			owner, owned = node, engines
		}
	}
	quicktest.Assert(fleet.t, owner, quicktest.IsNotNil)
	return owner, owned
}

// Guards against a killed router that affects more than its own open requests: wrong answers, bookings that run twice,
// refusals of requests that ran, upstreams that stay without an owner, or a router that cannot restart without state.
func TestRouterKilled(t *testing.T) {
	fleet := newFleet(t)
	killed, engines := fleet.largestOwner()
	load := fleet.startLoad(1, false)
	load.awaitAnswers("answers before the kill", 50)
	killed.signal(t, syscall.SIGKILL)
	<-killed.exited
	fleet.awaitNewOwner(engines, fleet.awaitSessionExpired(killed))
	load.awaitAnswers("answers without the router", 50)
	fleet.startRouter(killed)
	fleet.awaitReady(killed)
	load.awaitAnswers("answers after the restart", 50)
	attempts := load.stop()
	fleet.checkRuns(attempts)
	checkAll(t, attempts, "only the killed router may break a connection", func(attempt attempt) bool {
		return hasTypedOutcome(attempt) || attempt.address == killed.caller
	})
}

// routerPause is longer than the freshness limit, the session expiry and the delay of the next owner together.
const routerPause = 10 * time.Second

// Guards against an owner that is paused until its session expires and then still sends new requests after the next owner
// has started. Such requests would carry a fencing token from before the expiry.
func TestRouterPaused(t *testing.T) {
	fleet := newFleet(t)
	paused, engines := fleet.largestOwner()
	load := fleet.startLoad(2, false)
	load.awaitAnswers("answers before the pause", 50)
	begun := time.Now()
	paused.pause(t)
	expired := fleet.awaitSessionExpired(paused)
	fleet.awaitNewOwner(engines, expired)
	time.Sleep(time.Until(begun.Add(routerPause)))
	paused.signal(t, syscall.SIGCONT)
	fleet.awaitReady(paused)
	load.awaitAnswers("answers after the pause", 50)
	attempts := load.stop()
	for _, engine := range engines {
		var successor *stand.Received
		for _, received := range fleet.receivedPosts(engine) {
			if received.FencingToken >= expired && successor == nil {
				successor = &received
			}
			quicktest.Check(t, successor != nil && received.FencingToken < expired, quicktest.IsFalse,
				quicktest.Commentf("%s got %+v after %+v; the session expired at %d", engine.name, received, successor, expired))
		}
	}
	fleet.checkRuns(attempts)
	checkAll(t, attempts, "a pause breaks no connection", hasTypedOutcome)
}

// Guards against a drain that breaks off a request, ends before callers have left, or does not end with exit code 0.
func TestDrain(t *testing.T) {
	fleet := newFleet(t)
	drained, _ := fleet.largestOwner()
	load := fleet.startLoad(3, true)
	load.awaitAnswers("answers before the drain", 50)
	drained.signal(t, syscall.SIGTERM)
	quicktest.Assert(t, drained.exitCode(t), quicktest.Equals, 0)
	load.awaitAnswers("answers after the drain", 50)
	attempts := load.stop()
	fleet.checkRuns(attempts)
	served := 0
	for _, attempt := range attempts {
		if attempt.address == drained.caller {
			served++
		}
	}
	quicktest.Check(t, served > 0, quicktest.IsTrue)
	checkAll(t, attempts, "a drain breaks off no request", wasAnswered)
}

// Guards against a second SIGTERM that does not end a router, or ends its requests without reporting an outcome.
func TestSecondTerminate(t *testing.T) {
	fleet := newFleet(t)
	node := fleet.nodes[0]
	caller := callerv1connect.NewCallerServiceClient(fleet.client, "http://"+node.caller)
	// The engine sends at least a quarter of MaxTokens, so that the answer outlasts every wait of the test.
	tokens := int32(4 * 2 * conditionTimeout / tokenTime)
	stream, err := caller.Generate(t.Context(), connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: modelPool, Prompt: "long", MaxTokens: tokens, DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	quicktest.Assert(t, err, quicktest.IsNil)
	defer stream.Close()
	for received := 0; received == 0; received = len(stream.Msg().Tokens) {
		quicktest.Assert(t, stream.Receive(), quicktest.IsTrue, quicktest.Commentf("%v", stream.Err()))
	}
	node.signal(t, syscall.SIGTERM)
	await(t, "router drains", func() bool { return fleet.status(node).GetState() == "Draining" })
	quicktest.Check(t, stream.Receive(), quicktest.IsTrue, quicktest.Commentf("%v", stream.Err()))
	node.signal(t, syscall.SIGTERM)
	for stream.Receive() {
		quicktest.Assert(t, stream.Msg().End, quicktest.IsFalse)
	}
	refusal := demo.RefusalOf(stream.Err())
	quicktest.Assert(t, refusal, quicktest.IsNotNil, quicktest.Commentf("%v", stream.Err()))
	quicktest.Check(t, refusal.Outcome, quicktest.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
	quicktest.Check(t, node.exitCode(t), quicktest.Equals, 0)
}

// Guards against an outage of the platform that stops model requests, lets a booking run without an idempotency claim, or
// does not end. The simulated log is in memory and would be lost by a restart, so the outage is a paused
// process or an injected fault.
func TestPlatformOutage(t *testing.T) {
	fleet := newFleet(t)
	logReachable := func(want bool) func() bool {
		return func() bool {
			for _, node := range fleet.nodes {
				if status := fleet.status(node); status == nil || status.LogReachable != want {
					return false
				}
			}
			return true
		}
	}
	load := fleet.startLoad(4, false)
	load.awaitAnswers("answers before the outage", 20)
	for _, outage := range []struct {
		name       string
		begin, end func()
	}{
		{
			"paused", func() { fleet.platform.pause(t) }, func() { fleet.platform.signal(t, syscall.SIGCONT) },
		},
		{
			"down",
			func() { fleet.postJSON(fleet.platformURL+stand.PlatformFaultsPath, stand.PlatformFaults{Down: true}) },
			func() { fleet.postJSON(fleet.platformURL+stand.PlatformFaultsPath, stand.PlatformFaults{}) },
		},
	} {
		outage.begin()
		await(t, outage.name+": all routers detect the outage", logReachable(false))
		from := time.Now()
		await(t, outage.name+": model requests are answered and bookings are refused", func() bool {
			models := load.count(func(attempt attempt) bool {
				return wasAnswered(attempt) && !attempt.booking && attempt.started.After(from)
			})
			refused := load.count(func(attempt attempt) bool {
				return attempt.outcome == callerv1.Outcome_OUTCOME_NOT_RUN && attempt.booking && attempt.started.After(from)
			})
			return models >= 50 && refused >= 10
		})
		outage.end()
		await(t, outage.name+": all routers detect the end of the outage", logReachable(true))
		load.awaitAnswers(outage.name+": answers after the outage", 20)
	}
	attempts := load.stop()
	fleet.checkRuns(attempts)
	checkAll(t, attempts, "an outage of the log breaks no connection", hasTypedOutcome)
	checkAll(t, attempts, "models do not need the log", func(attempt attempt) bool { return attempt.booking || wasAnswered(attempt) })
	printed := fleet.mustRunCommand(0, 0, "timeline", "--limit", "5000")
	for _, kind := range []string{"LogLost", "LogRegained"} {
		quicktest.Check(t, printed, quicktest.Contains, kind)
	}
}

// zoneGrace is how long a zone may still get new requests after it was taken out of service.
const zoneGrace = 3 * time.Second

// Guards against operator commands that have no effect on real routers, exit with the wrong code, or leave a zone in use.
func TestCommands(t *testing.T) {
	fleet := newFleet(t)
	load := fleet.startLoad(5, false)
	load.awaitAnswers("answers before the removal", 20)
	printed := fleet.mustRunCommand(1, 0, "zone", "out", "A", "--why", "power works", "--wait", conditionTimeout.String())
	removed := time.Now()
	quicktest.Check(t, printed, quicktest.Contains, "is in force on every live router")
	load.awaitAnswers("answers without the zone", 20)
	time.Sleep(time.Until(removed.Add(zoneGrace + time.Second)))
	load.awaitAnswers("answers after the grace", 20)
	late := 0
	for _, upstream := range fleet.upstreams {
		if upstream.zone != "A" {
			continue
		}
		for _, received := range fleet.receivedPosts(upstream) {
			if received.Time.After(removed.Add(zoneGrace)) {
				late++
			}
		}
	}
	quicktest.Check(t, late, quicktest.Equals, 0)
	quicktest.Check(t, fleet.mustRunCommand(2, 0, "upstream", "list"), quicktest.Contains, clementinewind.UpstreamLeaving.String())
	returned := time.Now()
	fleet.mustRunCommand(2, 0, "zone", "in", "A", "--why", "power works done", "--wait", conditionTimeout.String())
	for _, upstream := range fleet.upstreams {
		if upstream.zone == "A" {
			await(t, upstream.name+" receives requests again", func() bool {
				received := fleet.receivedPosts(upstream)
				return len(received) > 0 && received[len(received)-1].Time.After(returned)
			})
		}
	}
	attempts := load.stop()
	fleet.checkRuns(attempts)
	checkAll(t, attempts, "a zone leaves and returns without a failed request", wasAnswered)

	quicktest.Check(t, fleet.nodes[0].output.String(), quicktest.Contains, "OpenAccess")
	status := fleet.mustRunCommand(0, 0, "status")
	for _, want := range []string{"Router1 in zone A: Serving", "Router2", "Router3", "Patel", "Engine1", "Booking2", "log reachable"} {
		quicktest.Check(t, status, quicktest.Contains, want)
	}
	timeline := fleet.mustRunCommand(0, 0, "timeline")
	for _, want := range []string{"ZoneOut", "ZoneIn", "SettingsAccepted"} {
		quicktest.Check(t, timeline, quicktest.Contains, want)
	}
	quicktest.Check(t, fleet.mustRunCommand(0, 0, "settings", "history", "Zones"), quicktest.Contains, "power works done")
	fleet.mustRunCommand(0, 0, "check", fleet.nodes[0].config)
	fleet.mustRunCommand(0, 2, "check", "../../internal/admin/conf/testdata/faults/structure.ini")
	fleet.mustRunCommand(0, 2, "zone", "out")
	fleet.mustRunCommand(0, 3, "zone", "out", "Nowhere")
	version := fleet.status(fleet.nodes[0]).Version
	fleet.mustRunCommand(0, 0, "settings", "set", "Organisations.Patel", "Weight=3")
	fleet.mustRunCommand(1, 3, "settings", "set", "Organisations.Patel", "Weight=4", "--against", fmt.Sprint(version))
	answer := fleet.mustRunCommand(0, 0, "generate", "--organisation", "Patel", "--pool", modelPool, "a quote")
	quicktest.Check(t, answer, quicktest.Contains, stand.Answer("a quote", 0)[0])
	fleet.nodes[0].signal(t, syscall.SIGKILL)
	<-fleet.nodes[0].exited
	fleet.mustRunCommand(0, 1, "status")
	located, err := callerv1connect.NewCallerServiceClient(fleet.client, "http://"+fleet.nodes[1].caller).
		Locate(context.Background(), connect.NewRequest(&callerv1.LocateRequest{Organisation: "Patel"}))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(located.Msg.Addresses) > 0, quicktest.IsTrue)
}
