package bound

import (
	"net/netip"
	"slices"
	"time"
)

// dominance is the factor by which the memory of another owner must exceed that of the one that waits, so that two owners do not take
// turns at evicting each other.
const dominance = 2

// MakeRoom makes others release memory, so that the holder may soon keep a number of bytes. It reports false if nobody does. The holder
// then waits for Freed and calls Hold again.
//
// It answers a load of more clients than the budget can hold, most of which stop. First those lose their place whose peers have moved too
// little for stallTime, the one that waits for longest first. If there is none, the newest body of an organisation, or then an address,
// that dominates the holder's. If there is none either, the newest of those that wait for memory themselves and came later, because
// otherwise all of them could hold a part and wait for the rest.
func (reservation *Reservation) MakeRoom(bytes int, now time.Time) bool {
	budget := reservation.budget
	budget.mutex.Lock()
	reservation.wants = true
	total, large := reservation.shortageLocked(reservation.counted(bytes))
	// What evicted holders still keep is on its way.
	total, large = total-budget.evicted, large-budget.evictedLarge
	leaving := budget.evicted > 0
	var chosen []*Reservation
	for total > 0 || large > 0 {
		victim := reservation.victimLocked(large > 0, now)
		if victim == nil {
			break
		}
		if budget.evictLocked(victim) {
			total, large = total-victim.held, large-victim.largeHeld()
			chosen = append(chosen, victim)
		}
	}
	if len(chosen) > 0 {
		budget.wakeLocked()
	}
	budget.mutex.Unlock()
	for _, victim := range chosen {
		victim.claim.Evict()
	}
	return leaving || len(chosen) > 0
}

// EvictStalled evicts the holder of one of some kinds, or of any kind if none is given, whose peer has moved too little for longest, whatever
// it holds, so that its connection becomes free. It reports false if there is none.
func (budget *Budget) EvictStalled(now time.Time, kinds ...Kind) bool {
	budget.mutex.Lock()
	victim := budget.longestStalledLocked(now, func(other *Reservation) bool {
		return len(kinds) == 0 || slices.Contains(kinds, other.claim.Kind)
	})
	chosen := victim != nil && budget.evictLocked(victim)
	if chosen {
		budget.wakeLocked()
	}
	budget.mutex.Unlock()
	if chosen {
		victim.claim.Evict()
	}
	return chosen
}

// evictLocked marks a holder as evicted. It reports false if the holder does not wait for its peer any more.
func (budget *Budget) evictLocked(victim *Reservation) bool {
	if since := victim.awaiting.Load(); since <= 0 || !victim.awaiting.CompareAndSwap(since, evicted) {
		return false
	}
	budget.evicted += victim.held
	budget.evictedLarge += victim.largeHeld()
	budget.evictions++
	return true
}

// evictable reports whether a holder waits for its peer and can be evicted.
func (reservation *Reservation) evictable() bool {
	return reservation.claim.Evict != nil && reservation.awaiting.Load() > 0
}

// victimLocked returns the holder that loses its place next for the reservation, or nil. Only large ones help if largeOnly is set.
func (reservation *Reservation) victimLocked(largeOnly bool, now time.Time) *Reservation {
	budget := reservation.budget
	helps := func(other *Reservation) bool {
		return other != reservation && other.held > 0 && (!largeOnly || other.largeHeld() > 0)
	}
	if victim := budget.longestStalledLocked(now, helps); victim != nil {
		return victim
	}
	// Nothing was sent on for a body. An answer whose caller reads must not be lost after its upstream has worked for it.
	body := func(other *Reservation) bool { return other.claim.Kind == KindBody && helps(other) }
	own := reservation.claim.Owner
	ofOrganisation := func(other *Reservation) string { return other.claim.Owner.Organisation }
	if victim := newestOfDominantLocked(budget, ofOrganisation, own.Organisation, body); victim != nil {
		return victim
	}
	ofAddress := func(other *Reservation) netip.Addr { return other.claim.Owner.Address }
	if victim := newestOfDominantLocked(budget, ofAddress, own.Address, func(other *Reservation) bool {
		return body(other) && other.claim.Owner.Organisation == own.Organisation
	}); victim != nil {
		return victim
	}
	for other := budget.newest; other != nil && other != reservation; other = other.older {
		if other.wants && other.evictable() && body(other) {
			return other
		}
	}
	return nil
}

func (budget *Budget) longestStalledLocked(now time.Time, helps func(*Reservation) bool) *Reservation {
	var longest *Reservation
	latest := stamp(now) - int64(stallTime)
	for other := budget.oldest; other != nil; other = other.newer {
		if since := other.awaiting.Load(); other.evictable() && since <= latest && helps(other) {
			latest, longest = since-1, other
		}
	}
	return longest
}

// newestOfDominantLocked returns the newest evictable holder of the group with most memory, if that dominates the holder's own group.
func newestOfDominantLocked[K comparable](budget *Budget, group func(*Reservation) K, own K, helps func(*Reservation) bool) *Reservation {
	sums, newest := map[K]int64{}, map[K]*Reservation{}
	for other := budget.oldest; other != nil; other = other.newer {
		// The organisation of a head is not known yet.
		if other.Evicted() || other.claim.Kind == KindHead {
			continue
		}
		key := group(other)
		sums[key] += other.held
		if other.evictable() && helps(other) {
			newest[key] = other
		}
	}
	var dominant *Reservation
	most := dominance * max(sums[own], smallBytes)
	for key, victim := range newest {
		if key != own && sums[key] > most {
			most, dominant = sums[key], victim
		}
	}
	return dominant
}
