package router_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// Guards against a router that serves one organisation to the callers of another, or its settings to anyone, once tokens
// are configured.
func TestTokens(t *testing.T) {
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		operator, patel := auth.NewToken(), auth.NewToken()
		set := func(section, key, value string) *operatorv1.Change {
			return &operatorv1.Change{Section: section, Key: key, Value: value}
		}
		changed, err := world.Operator(0).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
			Changes: []*operatorv1.Change{
				set("Tokens."+operator.ID, "Hash", operator.Hash().String()),
				set("Tokens."+operator.ID, "Operator", "Kari"),
				set("Tokens."+patel.ID, "Hash", patel.Hash().String()),
				set("Tokens."+patel.ID, "Organisation", "Patel"),
			},
			Who: "Kari", Wait: true,
		}))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, changed.Msg.Accepted, quicktest.IsTrue, quicktest.Commentf(changed.Msg.Conflict))
		call := func(token auth.Token, organisation string) error {
			request := connect.NewRequest(&callerv1.CallRequest{
				Organisation: organisation, Pool: demo.ServicePool, Path: "/book", Body: []byte(organisation),
				IdempotencyKey: "key", KeyIssuedMillis: time.Now().UnixMilli(),
			})
			request.Header().Set("Authorization", "Bearer "+token.Reveal())
			_, err := world.Caller(1).Call(ctx, request)
			return err
		}
		quicktest.Check(t, call(patel, "Patel"), quicktest.IsNil)
		quicktest.Check(t, connect.CodeOf(call(patel, "Fjordvolt")), quicktest.Equals, connect.CodePermissionDenied)
		quicktest.Check(t, connect.CodeOf(call(auth.NewToken(), "Patel")), quicktest.Equals, connect.CodeUnauthenticated)
		_, err = world.Operator(1).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{}))
		quicktest.Check(t, connect.CodeOf(err), quicktest.Equals, connect.CodeUnauthenticated)
	})
}
