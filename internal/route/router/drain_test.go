package router_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// Guards against a router that still gives out the address of one that drains, which would cut off the callers that come
// after it has stopped. With twelve routers not all of them exchange heartbeats.
func TestDrainingAddressIsNotGivenOut(t *testing.T) {
	config := config()
	config.Routers = 12
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		drained := world.Nodes[4].Router().CallerAddress().String()
		gives := func() (count int) {
			for number := range world.Nodes {
				for _, organisation := range []clementinewind.Organisation{"Patel", "Fjordvolt"} {
					located, err := world.Caller(number).Locate(ctx, connect.NewRequest(&callerv1.LocateRequest{
						Organisation: string(organisation),
					}))
					quicktest.Assert(t, err, quicktest.IsNil)
					if slices.Contains(located.Msg.Addresses, drained) {
						count++
					}
				}
			}
			return count
		}
		quicktest.Assert(t, gives() > 0, quicktest.IsTrue, quicktest.Commentf("the drained router must be in use before"))
		world.Nodes[4].Router().Drain()
		time.Sleep(100 * time.Millisecond)
		quicktest.Check(t, gives(), quicktest.Equals, 0)
	})
}

// Guards against calls that are refused because the claims streams of a draining router move while their claims are on the
// way to the log. A slow log makes that happen to many of them.
func TestClaimsSurviveDrain(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		time.Sleep(5 * time.Second)
		world.log.SetFaults(stand.LogFaults{Delay: 100 * time.Millisecond})
		load := world.startLoad(ctx, 24, 1)
		time.Sleep(3 * time.Second)
		for number := range 2 {
			quicktest.Assert(t, world.DrainRouter(number), quicktest.IsNil)
			quicktest.Assert(t, world.StartRouter(number), quicktest.IsNil)
			quicktest.Assert(t, world.AwaitReady(ctx), quicktest.IsNil)
		}
		attempts := load.stop()
		world.check(t, attempts)
		quicktest.Check(t, failures(attempts), quicktest.HasLen, 0)
	})
}
