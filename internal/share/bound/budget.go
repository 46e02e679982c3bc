package bound

import "sync/atomic"

// Budget limits the bytes that several readers hold together. It is safe for concurrent use.
type Budget struct {
	limit    int64
	reserved atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve returns a reservation that holds nothing yet. Its first free bytes do not count.
func (budget *Budget) Reserve(free int) *Reservation {
	return &Reservation{budget: budget, free: int64(free)}
}

// Reservation is the part of a budget that one reader holds. Only that reader may use it.
type Reservation struct {
	budget *Budget
	free   int64
	held   int64
}

// Hold reports whether the reader may hold a number of bytes. If it returns false, the budget is used up and the reservation is unchanged.
func (reservation *Reservation) Hold(bytes int) bool {
	want := max(int64(bytes)-reservation.free, 0)
	added := want - reservation.held
	if total := reservation.budget.reserved.Add(added); added > 0 && total > reservation.budget.limit {
		reservation.budget.reserved.Add(-added)
		return false
	}
	reservation.held = want
	return true
}

// Release returns what the reservation holds.
func (reservation *Reservation) Release() {
	reservation.budget.reserved.Add(-reservation.held)
	reservation.held = 0
}
