package bound

import "sync"

// Keyed limits the bytes of each key, for example of an upstream. It is safe for concurrent use.
type Keyed[K comparable] struct {
	limit int64
	mutex sync.Mutex
	held  map[K]int64
}

// NewKeyed returns a limit of a number of bytes for each key.
func NewKeyed[K comparable](limit int64) *Keyed[K] {
	return &Keyed[K]{limit: limit, held: map[K]int64{}}
}

// Add reports whether bytes may be added to a key. The first ones of a key always may, so that a single one is not refused for its size.
func (keyed *Keyed[K]) Add(key K, bytes int64) bool {
	keyed.mutex.Lock()
	defer keyed.mutex.Unlock()
	held, used := keyed.held[key]
	if used && held+bytes > keyed.limit {
		return false
	}
	keyed.held[key] = held + bytes
	return true
}

// Remove takes back what Add has added.
func (keyed *Keyed[K]) Remove(key K, bytes int64) {
	keyed.mutex.Lock()
	defer keyed.mutex.Unlock()
	if keyed.held[key] -= bytes; keyed.held[key] <= 0 {
		delete(keyed.held, key)
	}
}
