package sched

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// Guards against owners that all round the slots of an organisation in the same direction, because they were built before
// their routers had a session.
func TestSetSelf(t *testing.T) {
	offsets := map[float64]bool{}
	for session := range clementinewind.Session(3) {
		owner := NewOwner(OwnerConfig{
			Self: clementinewind.NoSession,
			Send: func(clementinewind.Session, *peerv1.ControlFrame) {},
			Home: func(fair.Key) clementinewind.Session { return 0 },
		})
		owner.HandleAsks(1, []*peerv1.Ask{{Pool: "Quotes", Organisation: "Patel", Weight: 1, Waiting: 1}})
		owner.SetSelf(session)
		offsets[owner.pools["Quotes"].demands["Patel"].offset] = true
	}
	quicktest.Assert(t, offsets, quicktest.HasLen, 3)
}
