package router_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// faultTest is a fault that acts while a load runs.
type faultTest struct {
	name string
	// inject brings the fault about, and heal, if it is set, ends it after faultHold.
	inject func(t *testing.T, ctx context.Context, world *world)
	heal   func(t *testing.T, ctx context.Context, world *world)
	// lossless says that no request may fail.
	lossless bool
	// resource is what the fault acts on. Two faults on the same resource make no pair, as the second one would end the
	// first.
	resource string
	// alone is set for a fault that waits for the whole fleet and so cannot act together with another one.
	alone bool
}

// setUpstream takes the first engine out of service or returns it.
func (world *world) setUpstream(ctx context.Context, t *testing.T, inService bool) {
	response, err := world.Operator(0).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
		Changes: []*operatorv1.Change{{
			Section: "Pools." + demo.ModelPool + "." + demo.EngineName(0), Key: "InService", Value: strconv.FormatBool(inService),
		}},
		Who: "Test", Wait: true,
	}))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, response.Msg.Accepted, quicktest.IsTrue, quicktest.Commentf("%s", response.Msg.Conflict))
}

func address(world *world, number int) string {
	host, _ := splitHost(world.Nodes[number].Router().CallerAddress().String())
	return host
}

func splitHost(hostport string) (string, string) {
	for i := len(hostport) - 1; i >= 0; i-- {
		if hostport[i] == ':' {
			return hostport[:i], hostport[i+1:]
		}
	}
	return hostport, ""
}

func cutFrom(world *world, from int, cut bool) {
	for to := range world.Nodes {
		if to != from {
			world.network.SetFaults(address(world, from), address(world, to), stand.LinkFaults{Cut: cut})
		}
	}
}

func faultTests() []faultTest {
	return []faultTest{
		{
			name:     "no fault",
			inject:   func(*testing.T, context.Context, *world) {},
			lossless: true,
			alone:    true,
		},
		{
			name: "zone leaves and returns",
			inject: func(t *testing.T, ctx context.Context, world *world) {
				quicktest.Assert(t, world.SetZone(ctx, demo.ZoneName(0), false), quicktest.IsNil)
				world.removed = time.Now()
			},
			heal: func(t *testing.T, ctx context.Context, world *world) {
				world.checkZone(t)
				quicktest.Assert(t, world.SetZone(ctx, demo.ZoneName(0), true), quicktest.IsNil)
			},
			lossless: true,
			alone:    true,
		},
		{
			name: "upstream leaves and returns",
			inject: func(t *testing.T, ctx context.Context, world *world) {
				world.setUpstream(ctx, t, false)
				world.removed = time.Now()
			},
			heal: func(t *testing.T, ctx context.Context, world *world) {
				late := world.Engines[0].ReceivedAfter(world.removed.Add(3 * time.Second))
				quicktest.Check(t, late, quicktest.HasLen, 0)
				quicktest.Check(t, len(world.Engines[1].ReceivedAfter(world.removed)) > 0, quicktest.IsTrue)
				world.setUpstream(ctx, t, true)
			},
			lossless: true,
			alone:    true,
		},
		{
			name: "log down",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.log.SetFaults(stand.LogFaults{Down: true})
			},
			heal:     func(_ *testing.T, _ context.Context, world *world) { world.log.SetFaults(stand.LogFaults{}) },
			resource: platformLog,
		},
		{
			name: "log slow",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.log.SetFaults(stand.LogFaults{Delay: 300 * time.Millisecond})
			},
			heal:     func(_ *testing.T, _ context.Context, world *world) { world.log.SetFaults(stand.LogFaults{}) },
			resource: platformLog,
		},
		{
			name: "log replies lost",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.log.SetFaults(stand.LogFaults{LoseReplies: true})
			},
			heal:     func(_ *testing.T, _ context.Context, world *world) { world.log.SetFaults(stand.LogFaults{}) },
			resource: platformLog,
		},
		{
			name: "router stopped and restarted without state",
			inject: func(t *testing.T, _ context.Context, world *world) {
				quicktest.Assert(t, world.StopRouter(1), quicktest.IsNil)
			},
			heal: func(t *testing.T, _ context.Context, world *world) {
				quicktest.Assert(t, world.StartRouter(1), quicktest.IsNil)
			},
			resource: "router 1",
		},
		{
			name:     "router cut off from the others",
			inject:   func(_ *testing.T, _ context.Context, world *world) { cutFrom(world, 1, true); cutTo(world, 1, true) },
			heal:     func(_ *testing.T, _ context.Context, world *world) { cutFrom(world, 1, false); cutTo(world, 1, false) },
			resource: link,
		},
		{
			name:     "router cut off in one direction",
			inject:   func(_ *testing.T, _ context.Context, world *world) { cutFrom(world, 1, true) },
			heal:     func(_ *testing.T, _ context.Context, world *world) { cutFrom(world, 1, false) },
			resource: link,
		},
		{
			name: "connections between routers go silent",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.network.Silence(address(world, 0), address(world, 1))
			},
		},
		{
			name: "connections between routers are reset",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.network.Reset(address(world, 0), address(world, 1))
			},
		},
		{
			name: "engines turn cold without warning",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				for _, engine := range world.Engines {
					engine.TurnCold()
				}
			},
		},
		{
			name: "engine restarts",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.Engines[0].Restart()
			},
		},
		{
			name: "router stands still for 10 s",
			inject: func(_ *testing.T, _ context.Context, world *world) {
				world.freeze(1, 10*time.Second)
			},
		},
		{
			name: "all routers restarted at once without state",
			inject: func(t *testing.T, _ context.Context, world *world) {
				var wait sync.WaitGroup
				for number := range world.Nodes {
					wait.Go(func() { quicktest.Check(t, world.StopRouter(number), quicktest.IsNil) })
				}
				wait.Wait()
				for number := range world.Nodes {
					quicktest.Assert(t, world.StartRouter(number), quicktest.IsNil)
				}
			},
			resource: allRouters,
		},
		{
			name: "routers replaced in turn",
			inject: func(t *testing.T, ctx context.Context, world *world) {
				for number := range world.Nodes {
					quicktest.Assert(t, world.DrainRouter(number), quicktest.IsNil)
					quicktest.Assert(t, world.StartRouter(number), quicktest.IsNil)
					quicktest.Assert(t, world.AwaitReady(ctx), quicktest.IsNil)
				}
			},
			lossless: true,
			alone:    true,
		},
	}
}

const (
	// faultHold is longer than a silent engine stream or a silent router is waited for, 12 s at most.
	faultHold = 15 * time.Second
	// faultRecovery is the time after which no request may fail any more.
	faultRecovery = 20 * time.Second
)

const (
	allRouters  = "all routers"
	platformLog = "log"
	link        = "link"
)

// zoneGrace is how long after its removal a zone may still get new work.
const zoneGrace = 3 * time.Second

// checkZone checks that the first zone has got no new work since it was removed.
func (world *world) checkZone(t *testing.T) {
	t.Helper()
	late := world.ReceivedInZone(0, world.removed.Add(zoneGrace))
	quicktest.Check(t, late, quicktest.HasLen, 0)
}

// freeze holds all connections of a router, and its access to the log, for a time, as a paused process does.
func (world *world) freeze(number int, duration time.Duration) {
	view := world.views[world.Nodes[number].Name]
	view.SetPaused(true)
	time.AfterFunc(duration, func() { view.SetPaused(false) })
	world.network.Freeze(address(world, number), duration)
}

func cutTo(world *world, to int, cut bool) {
	for from := range world.Nodes {
		if to != from {
			world.network.SetFaults(address(world, from), address(world, to), stand.LinkFaults{Cut: cut})
		}
	}
}

// Guards against a fault that makes an outcome untrue, runs a booking twice, or passes a short or wrong answer as whole.
func TestFaults(t *testing.T) {
	for _, test := range faultTests() {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
				load := world.startLoad(ctx, 4, 1)
				time.Sleep(3 * time.Second)
				test.inject(t, ctx, world)
				time.Sleep(faultHold)
				if test.heal != nil {
					test.heal(t, ctx, world)
				}
				time.Sleep(faultRecovery)
				healed := time.Now()
				time.Sleep(3 * time.Second)
				attempts := load.stop()
				counts := world.check(t, attempts)
				if test.lossless {
					quicktest.Check(t, failures(attempts), quicktest.HasLen, 0)
				}
				quicktest.Check(t, counts.answered > 0, quicktest.IsTrue)
				after := startedAfter(attempts, healed)
				quicktest.Check(t, len(after) > 0, quicktest.IsTrue)
				quicktest.Check(t, failures(after), quicktest.HasLen, 0, quicktest.Commentf("%v after the fault", faultRecovery))
			})
		})
	}
}
