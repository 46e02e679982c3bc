package bound

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBytes is the size up to which a holder is small. It is above requests with large prompts, which are 17 KB.
	smallBytes = 64 << 10
	// smallDivisor divides the budget; the quotient is the part that only small holders can use.
	smallDivisor = 4
	// stallTime is the time within which a peer must move minMovedBytes. It is far above a round trip with a lost packet.
	stallTime     = time.Second
	minMovedBytes = 16 << 10
)

// Kind is what a holder keeps in memory.
type Kind int

//go:generate stringer -type Kind -trimprefix Kind -output kind_string.go

const (
	// KindAnswer is an answer that is not a stream.
	KindAnswer Kind = iota
	// KindHead is the head of a request, from its first byte to the end of the request.
	KindHead
	// KindBody is a request body that has not fully arrived.
	KindBody
	// KindUpload is a request body that has arrived and is sent to an upstream, perhaps more than once.
	KindUpload
	// KindStream is an event of a stream that has not fully arrived, or that its caller has not read.
	KindStream
	// KindCount is the number of kinds.
	KindCount
)

// Owner is on whose behalf memory is held. Either part may be empty.
type Owner struct {
	Organisation string
	Address      netip.Addr
}

// Claim describes a holder of memory.
type Claim struct {
	Kind  Kind
	Owner Owner
	// Free is the number of bytes that do not count.
	Free int
	// Evict makes the holder release its memory soon. It is called once at most, while the holder waits for its peer. A holder without it
	// keeps its memory.
	Evict func()
}

// Budget limits the bytes that several holders keep in memory together. It is safe for concurrent use.
type Budget struct {
	limit, largeLimit int64

	mutex sync.Mutex
	// held is the number of bytes in use; large, evicted and evictedLarge are the parts of large holders, of holders that must release
	// their memory, and of those that are both.
	held, large, evicted, evictedLarge int64
	byKind                             [KindCount]int64
	// oldest and newest are the ends of the list of holders.
	oldest, newest *Reservation
	// freed is closed when memory is released or a holder must release its memory; it is nil while nobody waits for that.
	freed                chan struct{}
	evictions, shortages int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, largeLimit: limit - limit/smallDivisor}
}

// Reserve returns a reservation that holds nothing yet. Its first free bytes do not count.
func (budget *Budget) Reserve(free int) *Reservation { return budget.Claim(Claim{Free: free}) }

// Claim returns a reservation that holds nothing yet. It must be released.
func (budget *Budget) Claim(claim Claim) *Reservation {
	reservation := &Reservation{budget: budget, claim: claim}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if reservation.older = budget.newest; reservation.older != nil {
		reservation.older.newer = reservation
	} else {
		budget.oldest = reservation
	}
	budget.newest = reservation
	return reservation
}

// Freed returns a channel that is closed when memory is released or a holder is evicted.
func (budget *Budget) Freed() <-chan struct{} {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.freed == nil {
		budget.freed = make(chan struct{})
	}
	return budget.freed
}

func (budget *Budget) wakeLocked() {
	if budget.freed != nil {
		close(budget.freed)
		budget.freed = nil
	}
}

// State is a snapshot of a budget.
type State struct {
	Limit int64
	// Held has the bytes in use by kind.
	Held [KindCount]int64
	// Evictions counts the holders that had to release their memory, Shortages how often there was none for a holder.
	Evictions, Shortages int64
}

// State returns the current state.
func (budget *Budget) State() State {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return State{Limit: budget.limit, Held: budget.byKind, Evictions: budget.evictions, Shortages: budget.shortages}
}

// evicted is the value of Reservation.awaiting after an eviction.
const evicted = -1

// epoch is the origin of the times in Reservation.awaiting, which follow the monotonic clock.
var epoch = time.Now()

func stamp(now time.Time) int64 { return max(int64(now.Sub(epoch)), 1) }

// Reservation is the part of a budget that one holder uses. Only that holder may use it, except where noted.
type Reservation struct {
	budget *Budget
	claim  Claim
	held   int64
	// older and newer are its neighbours in the list of holders.
	older, newer *Reservation
	released     bool
	// wants is set while the holder waits for memory.
	wants bool
	// awaiting is when the peer last moved minMovedBytes, if the holder waits for it; 0 if it does not.
	awaiting atomic.Int64
	moved    int
}

// Hold reports whether the holder may keep a number of bytes. If it returns false, the budget is used up, or the reservation was released, and
// it is unchanged.
func (reservation *Reservation) Hold(bytes int) bool {
	budget := reservation.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	want := reservation.counted(bytes)
	if want > reservation.held {
		if reservation.released {
			return false
		}
		if total, large := reservation.shortageLocked(want); total > 0 || large > 0 {
			budget.shortages++
			return false
		}
	}
	reservation.wants = false
	reservation.setLocked(want)
	return true
}

// counted returns how much of a number of bytes counts.
func (reservation *Reservation) counted(bytes int) int64 {
	return max(int64(bytes)-int64(reservation.claim.Free), 0)
}

// shortageLocked returns by how much the budget, and its part for large holders, are exceeded if the reservation holds want bytes.
func (reservation *Reservation) shortageLocked(want int64) (total, large int64) {
	budget := reservation.budget
	total = budget.held + want - reservation.held - budget.limit
	if want > smallBytes {
		large = budget.large + want - reservation.largeHeld() - budget.largeLimit
	}
	return total, large
}

// largeHeld returns what the reservation holds if it is large, and otherwise 0.
func (reservation *Reservation) largeHeld() int64 {
	if reservation.held > smallBytes {
		return reservation.held
	}
	return 0
}

func (reservation *Reservation) setLocked(want int64) {
	budget, before, largeBefore := reservation.budget, reservation.held, reservation.largeHeld()
	reservation.held = want
	budget.held += want - before
	budget.large += reservation.largeHeld() - largeBefore
	budget.byKind[reservation.claim.Kind] += want - before
	if reservation.awaiting.Load() == evicted {
		budget.evicted += want - before
		budget.evictedLarge += reservation.largeHeld() - largeBefore
	}
	if want < before {
		budget.wakeLocked()
	}
}

// SetKind changes the kind under which the holder is counted.
func (reservation *Reservation) SetKind(kind Kind) {
	budget := reservation.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.byKind[reservation.claim.Kind] -= reservation.held
	reservation.claim.Kind = kind
	budget.byKind[kind] += reservation.held
}

// Release returns what the reservation holds. Further calls have no effect.
func (reservation *Reservation) Release() {
	budget := reservation.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if reservation.released {
		return
	}
	reservation.released = true
	reservation.setLocked(0)
	if reservation.older != nil {
		reservation.older.newer = reservation.newer
	} else {
		budget.oldest = reservation.newer
	}
	if reservation.newer != nil {
		reservation.newer.older = reservation.older
	} else {
		budget.newest = reservation.older
	}
	reservation.older, reservation.newer = nil, nil
}

// Await starts to wait for the peer of the holder, which may then be evicted.
func (reservation *Reservation) Await(now time.Time) {
	reservation.moved = 0
	reservation.awaiting.CompareAndSwap(0, stamp(now))
}

// Moved records that the peer has sent or read a number of bytes.
func (reservation *Reservation) Moved(bytes int, now time.Time) {
	if reservation.moved += bytes; reservation.moved >= minMovedBytes {
		reservation.Refresh(now)
	}
}

// Refresh lets the wait for the peer begin anew.
func (reservation *Reservation) Refresh(now time.Time) {
	reservation.moved = 0
	if since := reservation.awaiting.Load(); since > 0 {
		reservation.awaiting.CompareAndSwap(since, stamp(now))
	}
}

// Settle ends the wait for the peer. It reports false if the holder was evicted.
func (reservation *Reservation) Settle() bool {
	for {
		since := reservation.awaiting.Load()
		if since == evicted || reservation.awaiting.CompareAndSwap(since, 0) {
			return since != evicted
		}
	}
}

// Evicted reports whether the holder must release its memory.
func (reservation *Reservation) Evicted() bool { return reservation.awaiting.Load() == evicted }
