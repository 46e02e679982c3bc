package place_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/share/place"
)

func ring(members []int) *place.Rendezvous[int] {
	return place.New(place.Config[int]{
		Members: members,
		ID:      func(member int) uint64 { return uint64(member) },
		Zone:    func(member int) string { return fmt.Sprint(member % 3) },
	})
}

func draw(t *rapid.T) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), 2, 60, rapid.ID).Draw(t, "members")
}

// Guards against keys that move between members that stay, and against an assignment that depends on the order in which
// members are named.
func TestLittleMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := draw(t)
		gone := members[0]
		before, after := ring(members), ring(append([]int{}, members[1:]...))
		slices.Reverse(members)
		reversed := ring(members)
		for i := range 200 {
			key := fmt.Sprint("Upstream", i)
			old, _ := before.Owner(key)
			if same, _ := reversed.Owner(key); same != old {
				t.Fatalf("%s moved from %d to %d by order alone", key, old, same)
			}
			if owner, _ := after.Owner(key); old != gone && owner != old {
				t.Fatalf("%s moved from %d to %d when %d left", key, old, owner, gone)
			}
			if top := before.Top(key, 2); top[0] != old {
				t.Fatalf("top of %s is %v, owner is %d", key, top, old)
			} else if owner, _ := after.Owner(key); old == gone && owner != top[1] {
				t.Fatalf("%s moved to %d, second best is %d", key, owner, top[1])
			}
		}
	})
}

// Guards against members that get far more or fewer keys than others. With 1,300 keys on 350 members the count of a
// member is near a Poisson distribution with mean 3.7, so 14 or more are improbable and the variance is near the mean.
func TestBalance(t *testing.T) {
	for _, size := range []struct{ keys, members, highest int }{{13, 9, 6}, {1300, 9, 190}, {1300, 350, 14}, {29_000, 350, 125}} {
		members := make([]int, size.members)
		for i := range members {
			members[i] = i * 7
		}
		ring, counts := ring(members), map[int]int{}
		for i := range size.keys {
			owner, _ := ring.Owner(fmt.Sprintf("Quotes.Engine%d", i))
			counts[owner]++
		}
		mean, variance, highest := float64(size.keys)/float64(size.members), 0.0, 0
		for _, member := range members {
			variance += math.Pow(float64(counts[member])-mean, 2) / float64(size.members)
			highest = max(highest, counts[member])
		}
		t.Logf("%d keys on %d members: mean %.1f, highest %d, variance over mean %.2f", size.keys, size.members, mean, highest, variance/mean)
		quicktest.Assert(t, highest <= size.highest, quicktest.IsTrue, quicktest.Commentf("highest %d", highest))
		quicktest.Assert(t, variance/mean < 2.5, quicktest.IsTrue)
	}
}

// Guards against copies that all stand in the zone that fails.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := draw(t)
		count := rapid.IntRange(0, 8).Draw(t, "count")
		spread := ring(members).TopAcrossZones("key", count)
		if len(spread) != min(count, len(members)) {
			t.Fatalf("%d members of %d", len(spread), count)
		}
		used, available := map[int]int{}, map[int]int{}
		for _, member := range members {
			available[member%3]++
		}
		for _, member := range spread {
			used[member%3]++
		}
		for zone, number := range used {
			for other, size := range available {
				if number > used[other]+1 && size > used[other] {
					t.Fatalf("zone %d has %d members and zone %d has %d of %d", zone, number, other, used[other], size)
				}
			}
		}
	})
	_, ok := ring(nil).Owner("key")
	quicktest.Assert(t, ok, quicktest.IsFalse)
}
