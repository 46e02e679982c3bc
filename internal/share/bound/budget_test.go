package bound_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/bound"
)

const (
	mebibyte = 1 << 20
	// limit is a budget of which large holders can use 6 MiB.
	limit = 8 * mebibyte
)

// client is a holder that records its eviction.
type client struct {
	*bound.Reservation
	evicted bool
}

func newClient(budget *bound.Budget, owner bound.Owner, bytes int, now time.Time) *client {
	client := &client{}
	client.Reservation = budget.Claim(bound.Claim{Kind: bound.KindBody, Owner: owner, Evict: func() { client.evicted = true }})
	client.Await(now)
	client.Hold(bytes)
	return client
}

// The load is six clients whose bodies of 1 MiB fill the part for large ones, and one more. Guards against the wrong one losing its place.
func TestMakeRoom(t *testing.T) {
	now := time.Now()
	crowd := func(organisation, address string) bound.Owner {
		return bound.Owner{Organisation: organisation, Address: netip.MustParseAddr("10.0.0." + address)}
	}
	tests := map[string]struct {
		owners [2]bound.Owner
		// stalled are the clients whose peers stopped, the first one first; wanting are those that wait for memory.
		stalled, wanting []int
		bytes            int
		evicted          []int
		// others are the clients that do not hold a body.
		others map[int]bound.Kind
	}{
		"the longest stalled first":           {[2]bound.Owner{}, []int{3, 1}, nil, mebibyte, []int{3}, nil},
		"as many as needed":                   {[2]bound.Owner{}, []int{3, 1, 0}, nil, 2 * mebibyte, []int{1, 3}, nil},
		"nobody who keeps the rate":           {[2]bound.Owner{}, nil, nil, mebibyte, nil, nil},
		"the newest of the organisation":      {[2]bound.Owner{crowd("a", "1"), crowd("b", "1")}, nil, nil, mebibyte, []int{5}, nil},
		"the newest of the address":           {[2]bound.Owner{crowd("a", "1"), crowd("a", "2")}, nil, nil, mebibyte, []int{5}, nil},
		"a small holder uses its own part":    {[2]bound.Owner{}, []int{3}, nil, 1 << 10, nil, nil},
		"nobody older than the one who waits": {[2]bound.Owner{}, nil, []int{2, 4}, mebibyte, nil, nil},
		"no answer that its caller reads": {
			[2]bound.Owner{crowd("a", "1"), crowd("b", "1")}, nil, nil, mebibyte, []int{4}, map[int]bound.Kind{5: bound.KindAnswer},
		},
		"no head that arrives": {
			[2]bound.Owner{crowd("a", "1"), crowd("b", "1")},
			nil, nil, mebibyte,
			[]int{1},
			map[int]bound.Kind{2: bound.KindHead, 3: bound.KindHead, 4: bound.KindHead, 5: bound.KindHead},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := bound.NewBudget(limit)
			var clients []*client
			for number := range 6 {
				owner, kind := test.owners[0], bound.KindBody
				if other, ok := test.others[number]; ok {
					kind = other
				}
				if kind == bound.KindHead {
					owner.Organisation = ""
				}
				client := newClient(budget, owner, mebibyte, now)
				client.SetKind(kind)
				clients = append(clients, client)
			}
			later := now.Add(2 * time.Second)
			for _, client := range clients {
				client.Refresh(later)
			}
			for order, number := range test.stalled {
				clients[number].Settle()
				clients[number].Await(now.Add(time.Duration(order) * time.Millisecond))
			}
			for _, number := range test.wanting {
				clients[number].MakeRoom(2*mebibyte, now)
			}
			asks := newClient(budget, test.owners[1], 0, later)
			fits := asks.Hold(test.bytes)
			quicktest.Check(t, fits, quicktest.Equals, test.bytes < mebibyte)
			if !fits {
				quicktest.Check(t, asks.MakeRoom(test.bytes, later), quicktest.Equals, len(test.evicted) > 0)
				// What was evicted is on its way.
				quicktest.Check(t, asks.MakeRoom(test.bytes, later), quicktest.Equals, len(test.evicted) > 0)
			}
			var evicted []int
			for number, client := range clients {
				quicktest.Check(t, client.Settle(), quicktest.Equals, !client.evicted)
				if client.evicted {
					evicted = append(evicted, number)
					client.Release()
				}
			}
			quicktest.Check(t, evicted, quicktest.DeepEquals, test.evicted)
			quicktest.Check(t, asks.Hold(test.bytes), quicktest.Equals, fits || len(test.evicted) > 0)
			for _, client := range append(clients, asks) {
				client.Release()
			}
			quicktest.Check(t, budget.State().Held, quicktest.Equals, [bound.KindCount]int64{})
		})
	}
}

// Guards against holders that each have a part, wait for the rest, and are all refused.
func TestOldestOfWaitingHoldersGoesOn(t *testing.T) {
	budget, now := bound.NewBudget(limit), time.Now()
	older, newer := newClient(budget, bound.Owner{}, 3*mebibyte, now), newClient(budget, bound.Owner{}, 3*mebibyte, now)
	quicktest.Check(t, newer.MakeRoom(4*mebibyte, now), quicktest.IsFalse)
	quicktest.Check(t, older.MakeRoom(4*mebibyte, now), quicktest.IsTrue)
	quicktest.Check(t, newer.evicted && !older.evicted, quicktest.IsTrue)
	newer.Release()
	quicktest.Check(t, older.Hold(4*mebibyte), quicktest.IsTrue)
}

// Guards against connections that hold no memory and are never closed, and against one that is closed although its peer keeps moving.
func TestEvictStalled(t *testing.T) {
	budget, now := bound.NewBudget(limit), time.Now()
	stops, moves, answered := newClient(budget, bound.Owner{}, 0, now), newClient(budget, bound.Owner{}, 0, now), newClient(budget, bound.Owner{}, 0, now)
	answered.Settle()
	later := now.Add(2 * time.Second)
	moves.Moved(1<<20, later)
	quicktest.Check(t, budget.EvictStalled(later, bound.KindAnswer), quicktest.IsFalse)
	quicktest.Check(t, budget.EvictStalled(later, bound.KindBody), quicktest.IsTrue)
	quicktest.Check(t, budget.EvictStalled(later), quicktest.IsFalse)
	quicktest.Check(t, stops.evicted && !moves.evicted && !answered.evicted, quicktest.IsTrue)
}

// Guards against an upstream that reads nothing and holds the memory for all requests, and one that is never sent a large body.
func TestKeyed(t *testing.T) {
	keyed := bound.NewKeyed[string](10)
	quicktest.Check(t, keyed.Add("slow", 20), quicktest.IsTrue)
	quicktest.Check(t, keyed.Add("slow", 1), quicktest.IsFalse)
	quicktest.Check(t, keyed.Add("other", 5), quicktest.IsTrue)
	keyed.Remove("slow", 20)
	quicktest.Check(t, keyed.Add("slow", 1), quicktest.IsTrue)
}
