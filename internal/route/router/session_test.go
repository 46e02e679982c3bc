package router_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// Guards against a router that opens one session after the other while it reaches the log but not its peers, and against
// links that are never opened again after a new session.
func TestSessionAfterCut(t *testing.T) {
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		cutFrom(world, 1, true)
		time.Sleep(25 * time.Second)
		cutFrom(world, 1, false)
		time.Sleep(30 * time.Second)
		status, err := world.Operator(0).Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, status.Msg.Sessions, quicktest.HasLen, 2, quicktest.Commentf("peers of router 0"))
		// Three sessions were opened at the start. The cut costs one, and its end gives one more.
		sessions := 0
		batch, err := world.log.Read(ctx, clementinewind.LogQuery{Stream: clementinewind.ControlStream})
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, record := range batch.Records {
			if isSessionOpened(t, record) {
				sessions++
			}
		}
		quicktest.Check(t, sessions, quicktest.Equals, 4)
	})
}

func isSessionOpened(t *testing.T, record clementinewind.Record) bool {
	message := &recordv1.ControlRecord{}
	quicktest.Assert(t, proto.Unmarshal(record.Payload, message), quicktest.IsNil)
	return message.GetSessionOpened() != nil
}
