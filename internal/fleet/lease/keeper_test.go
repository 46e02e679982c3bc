package lease_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

func settings(t *testing.T, upstreams int) tree.Tree {
	t.Helper()
	changes := []tree.Change{{Section: "Zones.A"}, {Section: "Pools.Q"}}
	for i := range upstreams {
		section := fmt.Sprintf("Pools.Q.E%d", i)
		changes = append(changes, tree.Change{Section: section, Key: "Address", Value: "10.0.0.1:1"}, tree.Change{Section: section, Key: "Zone", Value: "A"})
	}
	settings, err := tree.Tree{}.WithChanges(changes)
	quicktest.Assert(t, err, quicktest.IsNil)
	return settings
}

func sessions(ids ...clementinewind.Session) []state.Session {
	var found []state.Session
	for _, id := range ids {
		found = append(found, state.Session{ID: id})
	}
	return found
}

// Guards against a new owner that sends while the previous one may still send, and against one that never sends. This
// router is session 1 of five; session 0 ends.
func TestHandoverWait(t *testing.T) {
	const limit, step = 16 * time.Second, 50 * time.Millisecond
	ended := state.EndedSession{Session: state.Session{ID: 0}, Offset: 10}
	closed, replaced := ended, ended
	closed.Closed, replaced.Replaced = true, true
	tests := map[string]struct {
		end state.EndedSession
		// restored means that the new view comes from a snapshot and lacks the ended sessions.
		restored bool
		// applied sessions report the new version after the delay.
		applied []clementinewind.Session
		delay   time.Duration
		// want is the time until this router may send, or -1 if that takes longer than limit.
		want time.Duration
	}{
		"closed":                           {end: closed, want: 0},
		"expired, most applied":            {end: ended, applied: []clementinewind.Session{2, 3}, want: lease.HandoverWait},
		"expired, most applied later":      {end: ended, applied: []clementinewind.Session{2, 3}, delay: time.Second, want: time.Second + lease.HandoverWait},
		"expired, previous owner applied":  {end: ended, applied: []clementinewind.Session{0}, delay: time.Second, want: time.Second + lease.Margin},
		"expired, too few applied":         {end: ended, applied: []clementinewind.Session{2}, want: 10*time.Second + lease.HandoverWait},
		"replaced":                         {end: replaced, applied: []clementinewind.Session{2}, want: lease.HandoverWait},
		"restored, most applied":           {end: ended, restored: true, applied: []clementinewind.Session{2, 3}, want: lease.HandoverWait},
		"restored, too few of those after": {end: ended, restored: true, applied: []clementinewind.Session{0, 2}, want: -1},
		"restored, too few applied":        {end: ended, restored: true, applied: []clementinewind.Session{0}, want: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keeper := lease.New(lease.Config{})
				view := state.View{Tree: settings(t, 100), Version: 10, MembershipOffset: 9, Sessions: sessions(0, 1, 2, 3, 4)}
				keeper.Observe(view)
				keeper.SetSession(1)
				for _, session := range view.Sessions {
					keeper.Hear(lease.Report{Session: session.ID, Offset: 10})
				}
				time.Sleep(time.Minute)
				fresh := func() {
					keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: view.Version})
				}
				fresh()
				var gained []clementinewind.Upstream
				for _, upstream := range view.Tree.AllUpstreams() {
					owner, _ := keeper.Owner(upstream.Name)
					quicktest.Assert(t, keeper.MaySend(upstream.Name) == nil, quicktest.Equals, owner == 1)
					if owner == 0 {
						gained = append(gained, upstream.Name)
					}
				}
				view.Version, view.MembershipOffset, view.Sessions = 11, 10, sessions(1, 2, 3, 4)
				if view.Ended = []state.EndedSession{test.end}; test.restored {
					view.Ended, view.EndedSince = nil, 11
				}
				keeper.Observe(view)
				waited := time.Duration(-1)
				for at := time.Duration(0); at < limit && waited < 0; at += step {
					fresh()
					for _, session := range test.applied {
						if at == test.delay {
							keeper.Hear(lease.Report{Session: session, Offset: 11})
						}
					}
					for _, upstream := range gained {
						if owner, _ := keeper.Owner(upstream); owner != 1 {
							continue
						}
						if fence, err := keeper.Permit(upstream); err == nil {
							quicktest.Assert(t, fence, quicktest.Equals, clementinewind.Offset(10))
							waited = at
						}
					}
					time.Sleep(step)
				}
				quicktest.Assert(t, waited, quicktest.Equals, test.want)
			})
		})
	}
}

// Guards against a router that sends soon after its first view although the unknown owners before that view may still send.
func TestFirstView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := lease.New(lease.Config{})
		view := state.View{Tree: settings(t, 20), Version: 10, MembershipOffset: 9, Sessions: sessions(0, 1, 2, 3, 4)}
		keeper.Observe(view)
		keeper.SetSession(1)
		for range 20 {
			time.Sleep(time.Second)
			keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: 10})
			for _, upstream := range view.Tree.AllUpstreams() {
				quicktest.Assert(t, keeper.MaySend(upstream.Name), quicktest.IsNotNil)
			}
		}
	})
}

// Guards against a refusal with a wrong reason, and against a proof that counts before the replica has reached its tail
// or after Validity.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := lease.New(lease.Config{})
		view := state.View{Tree: settings(t, 1), Version: 4, MembershipOffset: 3, Sessions: sessions(3)}
		reason := func() clementinewind.Reason {
			var refusal *clementinewind.Refusal
			if err := keeper.MaySend("Q.E0"); !errors.As(err, &refusal) {
				return clementinewind.ReasonNone
			}
			quicktest.Assert(t, refusal.Outcome, quicktest.Equals, clementinewind.OutcomeNotRun)
			return refusal.Reason
		}
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonStale)
		keeper.Observe(view)
		keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: 5})
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonStale)
		view.Version = 5
		keeper.Observe(view)
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonBusy)
		keeper.SetSession(3)
		time.Sleep(lease.Validity)
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonStale)
		time.Sleep(lease.Margin)
		keeper.ReadSucceeded(plog.Freshness{Sent: time.Now(), Tail: 5})
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonNone)
		out, err := view.Tree.WithChanges([]tree.Change{{Section: "Zones.A", Key: "InService", Value: "false"}})
		quicktest.Assert(t, err, quicktest.IsNil)
		view.Tree, view.Version = out, 6
		keeper.Observe(view)
		quicktest.Assert(t, reason(), quicktest.Equals, clementinewind.ReasonNoCapacity)
		quicktest.Assert(t, keeper.Fence(), quicktest.Equals, clementinewind.Offset(3))
	})
}
