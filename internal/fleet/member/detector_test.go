package member_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// viewOf returns a view with sessions 0 to count-1.
func viewOf(count int) state.View {
	view := state.View{Version: clementinewind.Offset(count), MembershipOffset: clementinewind.Offset(count) - 1}
	for id := range count {
		view.Sessions = append(view.Sessions, state.Session{ID: clementinewind.Session(id), Instance: clementinewind.Instance(name(id))})
	}
	return view
}

// Guards against neighbours of which one does not hear the other, and against word that needs many steps to reach all.
func TestNeighbours(t *testing.T) {
	for _, test := range []struct{ routers, neighbours, steps int }{{1, 0, 0}, {3, 2, 1}, {9, 8, 1}, {10, 4, 2}, {60, 6, 4}, {350, 8, 6}} {
		t.Run(fmt.Sprint(test.routers), func(t *testing.T) {
			sessions := make([]clementinewind.Session, test.routers)
			for i := range sessions {
				sessions[i] = clementinewind.Session(i * 3)
			}
			reached, front, steps := map[clementinewind.Session]bool{0: true}, []clementinewind.Session{0}, 0
			for ; len(reached) < test.routers; steps++ {
				var next []clementinewind.Session
				for _, session := range front {
					for _, neighbour := range member.Neighbours(sessions, session) {
						quicktest.Assert(t, slices.Contains(member.Neighbours(sessions, neighbour), session), quicktest.IsTrue)
						if !reached[neighbour] {
							reached[neighbour] = true
							next = append(next, neighbour)
						}
					}
				}
				front = next
			}
			quicktest.Assert(t, member.Neighbours(sessions, 0), quicktest.HasLen, test.neighbours)
			quicktest.Assert(t, steps, quicktest.Equals, test.steps)
		})
	}
}

// Guards against a session that stays listed for good because its last heartbeat arrived after the record of its end.
func TestLateHeartbeatOfEndedSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector := member.New(member.Config{Keeper: lease.New(lease.Config{})})
		detector.SetSession(0)
		detector.Observe(viewOf(3))
		pass := func() {
			for range 10 {
				time.Sleep(member.Interval)
				detector.Forget()
			}
		}
		pass()
		ended := viewOf(2)
		ended.Version, ended.MembershipOffset = 4, 3
		detector.Observe(ended)
		quicktest.Assert(t, detector.Peers(), quicktest.HasLen, 1)
		detector.Receive(&peerv1.Heartbeat{Session: 2, Sequence: 10, FreshAgeMillis: -1})
		quicktest.Assert(t, detector.Peers(), quicktest.HasLen, 2)
		pass()
		quicktest.Check(t, detector.Peers(), quicktest.HasLen, 1)
	})
}

// Guards against states that are not told apart, and against a router that suspects its peers after a pause of its own.
func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector := member.New(member.Config{Keeper: lease.New(lease.Config{})})
		detector.SetSession(0)
		view := viewOf(4)
		detector.Observe(view)
		sequence := uint64(0)
		// round lets a second pass in which peers 1 and 2 answer, and returns the states of the peers.
		round := func(draining bool, answer ...clementinewind.Session) []member.State {
			time.Sleep(member.Interval)
			sequence++
			for _, peer := range []clementinewind.Session{1, 2, 3} {
				heartbeat := detector.Heartbeat(peer)
				if heartbeat != nil && slices.Contains(answer, peer) {
					detector.Receive(&peerv1.Heartbeat{
						Session: int64(peer), Sequence: sequence, Echo: heartbeat.GetSequence(), FreshAgeMillis: -1,
						Draining: draining && peer == 2,
					})
				}
			}
			var states []member.State
			for _, peer := range detector.Peers() {
				states = append(states, peer.State)
			}
			return states
		}
		const alive, slow, suspected, leaving, gone = member.StateAlive, member.StateSlow, member.StateSuspected, member.StateLeaving, member.StateGone
		quicktest.Assert(t, round(false, 1, 2, 3), quicktest.DeepEquals, []member.State{alive, alive, alive})
		quicktest.Assert(t, round(false, 1, 2), quicktest.DeepEquals, []member.State{alive, alive, alive})
		quicktest.Assert(t, round(false, 1, 2), quicktest.DeepEquals, []member.State{alive, alive, slow})
		round(false, 1, 2)
		quicktest.Assert(t, round(true, 1, 2), quicktest.DeepEquals, []member.State{alive, leaving, suspected})
		time.Sleep(time.Minute)
		quicktest.Assert(t, round(true, 2), quicktest.DeepEquals, []member.State{alive, leaving, alive})

		view.Version, view.Sessions = 6, view.Sessions[:2]
		view.Ended = []state.EndedSession{{Session: state.Session{ID: 2}, Offset: 4, Closed: true}, {Session: state.Session{ID: 3}, Offset: 5}}
		detector.Observe(view)
		quicktest.Assert(t, round(false, 1, 2), quicktest.DeepEquals, []member.State{alive, leaving, gone})
		quicktest.Assert(t, detector.Missing(1), quicktest.DeepEquals, []clementinewind.Session{1})
		for range 4 {
			round(false, 1)
		}
		quicktest.Assert(t, round(false, 1), quicktest.DeepEquals, []member.State{alive, gone, gone})
	})
}

// Guards against a proof of freshness, or a statement of loss, that seems younger than it is because its heartbeat was
// delayed or repeated.
func TestDelayedHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := lease.New(lease.Config{})
		detector := member.New(member.Config{Keeper: keeper})
		detector.SetSession(0)
		detector.Observe(viewOf(3))
		fresh := func(sequence, echo uint64) *peerv1.Heartbeat {
			return &peerv1.Heartbeat{Session: 1, Sequence: sequence, Echo: echo, Offset: 3, FreshAgeMillis: 100}
		}
		detector.Receive(fresh(1, 0))
		quicktest.Assert(t, keeper.MayServe(), quicktest.IsFalse)
		echo := detector.Heartbeat(1).GetSequence()
		time.Sleep(1800 * time.Millisecond)
		detector.Receive(fresh(2, echo))
		quicktest.Assert(t, keeper.MayServe(), quicktest.IsTrue)
		time.Sleep(100 * time.Millisecond)
		detector.Receive(fresh(2, detector.Heartbeat(1).GetSequence()))
		quicktest.Assert(t, keeper.MayServe(), quicktest.IsFalse)
		lost := []*peerv1.LogLost{{Session: 1}, {Session: 2, AgeMillis: 2100}}
		echo = detector.Heartbeat(1).GetSequence()
		reply := detector.Receive(&peerv1.Heartbeat{Session: 1, Sequence: 3, Echo: echo, Offset: 3, FreshAgeMillis: -1, LogLost: lost[1:]})
		quicktest.Assert(t, reply || keeper.MayServe(), quicktest.IsFalse)
		reply = detector.Receive(&peerv1.Heartbeat{Session: 1, Sequence: 4, Echo: echo, Offset: 3, FreshAgeMillis: -1, LogLost: lost})
		quicktest.Assert(t, reply && keeper.MayServe(), quicktest.IsTrue)
	})
}
