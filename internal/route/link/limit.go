package link

import "sync/atomic"

// Limit limits the open connections of several pools together, so that they leave descriptors for others. It is safe for concurrent use.
type Limit struct {
	most int64
	open atomic.Int64
	// full is called when the limit is reached, to close idle connections.
	full func()
}

// NewLimit returns a limit of a number of connections. When it is reached, full is called, which closes connections that are idle.
func NewLimit(most int, full func()) *Limit { return &Limit{most: int64(most), full: full} }

// Open returns the number of open connections.
func (limit *Limit) Open() int64 { return limit.open.Load() }

// Full reports whether no further connection may be opened.
func (limit *Limit) Full() bool { return limit.Open() >= limit.most }

func (limit *Limit) acquire() bool {
	if limit == nil || limit.tryAcquire() {
		return true
	}
	limit.full()
	return limit.tryAcquire()
}

func (limit *Limit) tryAcquire() bool {
	if limit.open.Add(1) > limit.most {
		limit.open.Add(-1)
		return false
	}
	return true
}

func (limit *Limit) release(connections int) {
	if limit != nil {
		limit.open.Add(-int64(connections))
	}
}
