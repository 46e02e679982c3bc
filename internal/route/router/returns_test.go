package router_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// Guards against an ask that its owner drops because it comes in one frame with the return of an earlier grant. Requests
// then wait until their deadline, although slots are free.
func TestAskStandsAfterReturnInSameFrame(t *testing.T) {
	// asker is a session that no router has; what is sent to it is dropped, and its grants expire.
	const asker = clementinewind.Session(1 << 40)
	settings := config()
	settings.Routers = 1
	run(t, settings, func(t *testing.T, ctx context.Context, world *world) {
		time.Sleep(5 * time.Second)
		owner := world.Nodes[0].Router()
		held := func() int32 {
			listed, err := world.Operator(0).ListUpstreams(ctx, connect.NewRequest(&operatorv1.ListUpstreamsRequest{}))
			quicktest.Assert(t, err, quicktest.IsNil)
			running := int32(0)
			for _, upstream := range listed.Msg.Upstreams {
				running += upstream.Running
			}
			return running
		}
		ask := []*peerv1.Ask{{Pool: demo.ModelPool, Organisation: "Patel", Weight: 1, Waiting: 1, Estimate: 10}}
		quicktest.Assert(t, held(), quicktest.Equals, int32(0))
		owner.HandleControl(asker, &peerv1.ControlFrame{Asks: ask})
		quicktest.Assert(t, held() > 0, quicktest.IsTrue)
		owner.HandleControl(asker, &peerv1.ControlFrame{Returns: []*peerv1.GrantReturn{{GrantId: 1}}, Asks: ask})
		// The grants have expired by then, so that only an ask that stands leads to others.
		time.Sleep(time.Second)
		later := int32(0)
		for range 100 {
			later = max(later, held())
			time.Sleep(50 * time.Millisecond)
		}
		quicktest.Assert(t, later > 0, quicktest.IsTrue)
	})
}
