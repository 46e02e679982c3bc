package fair

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
)

const (
	// intervalSamples is the number of departures over which the interval between them is averaged.
	intervalSamples = 16
	// minRetryAfter keeps callers from retrying in a tight loop.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter limits the effect of one long interval.
	maxRetryAfter = 10 * time.Minute
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Limits returns the current limits of an organisation.
	Limits func(organisation clementinewind.Organisation) Limits
}

// Queue holds the waiting requests of an entry router in a FIFO subqueue per pool and organisation.
type Queue[T any] struct {
	config       QueueConfig
	subqueues    map[Key]*subqueue[T]
	rateLimiters map[clementinewind.Organisation]*rate.Limiter
}

// Item is a waiting request.
type Item[T any] struct {
	Key      Key
	Value    T
	Deadline time.Time
	// Estimate is the expected cost in tokens.
	Estimate float64
	queuedAt time.Time
	removed  bool
}

type subqueue[T any] struct {
	// items may contain removed items; waiting counts the others. running counts the requests in progress.
	items   []*Item[T]
	waiting int
	running int
	// interval is the average time between departures while requests were waiting; 0 before the first.
	interval      time.Duration
	lastDeparture time.Time
	// lastUsed is when a request was last queued or started.
	lastUsed time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any](config QueueConfig) *Queue[T] {
	return &Queue[T]{
		config:       config,
		subqueues:    make(map[Key]*subqueue[T]),
		rateLimiters: make(map[clementinewind.Organisation]*rate.Limiter),
	}
}

// Arrive counts a request against the rate limit of its organisation, or returns a refusal.
func (queue *Queue[T]) Arrive(organisation clementinewind.Organisation, now time.Time) *clementinewind.Refusal {
	limits := queue.config.Limits(organisation)
	if limits.Rate <= 0 {
		delete(queue.rateLimiters, organisation)
		return nil
	}
	burst := limits.Burst
	if burst <= 0 {
		burst = max(1, int(limits.Rate))
	}
	limiter := queue.rateLimiters[organisation]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(limits.Rate), burst)
		queue.rateLimiters[organisation] = limiter
	}
	if limiter.Limit() != rate.Limit(limits.Rate) || limiter.Burst() != burst {
		limiter.SetLimitAt(now, rate.Limit(limits.Rate))
		limiter.SetBurstAt(now, burst)
	}
	if limiter.AllowN(now, 1) {
		return nil
	}
	missing := 1 - limiter.TokensAt(now)
	return clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonRateLimited, "").
		WithRetryAfter(retryAfter(time.Duration(missing / limits.Rate * float64(time.Second))))
}

// Push queues a request, or returns a refusal if the subqueue is full or the expected wait exceeds the deadline. With
// front, for a request that has waited before, it goes to the front and the length of the subqueue is not checked.
func (queue *Queue[T]) Push(item *Item[T], front bool, now time.Time) *clementinewind.Refusal {
	entry := queue.subqueue(item.Key)
	limits := queue.config.Limits(item.Key.Organisation)
	ahead := entry.waiting
	if front {
		ahead = 0
	} else if limits.Queued > 0 && entry.waiting >= limits.Queued {
		return clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonQueueFull, "").
			WithRetryAfter(retryAfter(entry.interval))
	}
	if !item.Deadline.IsZero() {
		wait := entry.wait(ahead, now)
		if excess := wait - item.Deadline.Sub(now); excess > 0 {
			return clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonDeadline,
				"the backlog exceeds the deadline").WithRetryAfter(retryAfter(excess))
		}
	}
	if entry.waiting == 0 {
		entry.items = entry.items[:0]
		if entry.lastDeparture.IsZero() || now.Sub(entry.lastDeparture) > entry.interval {
			// Time during which the subqueue was empty is not part of an interval between departures.
			entry.lastDeparture = now
		}
	}
	item.removed = false
	item.queuedAt = now
	if front {
		entry.items = append([]*Item[T]{item}, entry.items...)
	} else {
		entry.items = append(entry.items, item)
	}
	entry.waiting++
	entry.lastUsed = now
	return nil
}

// wait returns the expected wait of a request that has the given number of others ahead of it.
func (subqueue *subqueue[T]) wait(ahead int, now time.Time) time.Duration {
	interval := subqueue.interval
	if subqueue.waiting > 0 {
		// If departures have stopped, the average alone would not show it.
		interval = max(interval, now.Sub(subqueue.lastDeparture))
	}
	wait := float64(interval) * float64(ahead)
	return time.Duration(min(wait, float64(math.MaxInt64/2)))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (queue *Queue[T]) subqueue(key Key) *subqueue[T] {
	entry := queue.subqueues[key]
	if entry == nil {
		entry = &subqueue[T]{}
		queue.subqueues[key] = entry
	}
	return entry
}

// Pop removes the first waiting request whose deadline has not passed and counts it as running. Expired requests before it
// are dropped. Pop returns nil if no request waits or the organisation is at its limit of running requests.
func (queue *Queue[T]) Pop(key Key, now time.Time) *Item[T] {
	if !queue.Ready(key) {
		return nil
	}
	entry := queue.subqueues[key]
	for len(entry.items) > 0 {
		item := entry.items[0]
		entry.items[0] = nil
		entry.items = entry.items[1:]
		if item.removed {
			continue
		}
		item.removed = true
		entry.waiting--
		if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
			continue
		}
		entry.running++
		sample := now.Sub(entry.lastDeparture)
		if entry.interval == 0 {
			entry.interval = sample
		} else {
			entry.interval += (sample - entry.interval) / intervalSamples
		}
		entry.lastDeparture = now
		entry.lastUsed = now
		return item
	}
	return nil
}

// Remove removes a request and reports whether it was waiting.
func (queue *Queue[T]) Remove(item *Item[T]) bool {
	if item.removed {
		return false
	}
	item.removed = true
	entry := queue.subqueues[item.Key]
	entry.waiting--
	if entry.waiting == 0 {
		entry.items = nil
	}
	return true
}

// Start counts a request that did not wait as running. It returns false if the organisation is at its limit.
func (queue *Queue[T]) Start(key Key, now time.Time) bool {
	entry := queue.subqueue(key)
	if limit := queue.config.Limits(key.Organisation).Running; limit > 0 && entry.running >= limit {
		return false
	}
	entry.running++
	entry.lastUsed = now
	return true
}

// Finish ends a running request.
func (queue *Queue[T]) Finish(key Key) {
	if entry := queue.subqueues[key]; entry != nil && entry.running > 0 {
		entry.running--
	}
}

// Waiting returns the number of waiting requests.
func (queue *Queue[T]) Waiting(key Key) int {
	if entry := queue.subqueues[key]; entry != nil {
		return entry.waiting
	}
	return 0
}

// Ready reports whether a request is waiting and the organisation is below its limit of running requests.
func (queue *Queue[T]) Ready(key Key) bool {
	entry := queue.subqueues[key]
	if entry == nil || entry.waiting == 0 {
		return false
	}
	limit := queue.config.Limits(key.Organisation).Running
	return limit <= 0 || entry.running < limit
}

// HeadEstimate returns the estimate of the first waiting request.
func (queue *Queue[T]) HeadEstimate(key Key) float64 {
	if entry := queue.subqueues[key]; entry != nil {
		for _, item := range entry.items {
			if !item.removed {
				return item.Estimate
			}
		}
	}
	return 0
}

// HeadAge returns how long the first waiting request has waited.
func (queue *Queue[T]) HeadAge(key Key, now time.Time) time.Duration {
	if entry := queue.subqueues[key]; entry != nil {
		for _, item := range entry.items {
			if !item.removed {
				return now.Sub(item.queuedAt)
			}
		}
	}
	return 0
}

// ExpectedWait returns the expected wait of a request that arrives now.
func (queue *Queue[T]) ExpectedWait(key Key, now time.Time) time.Duration {
	if entry := queue.subqueues[key]; entry != nil {
		return entry.wait(entry.waiting, now)
	}
	return 0
}

// Clean deletes subqueues that have not been used for the idle time, and rate limiters that have refilled.
func (queue *Queue[T]) Clean(now time.Time, idle time.Duration) {
	for key, entry := range queue.subqueues {
		if entry.waiting == 0 && entry.running == 0 && now.Sub(entry.lastUsed) > idle {
			delete(queue.subqueues, key)
		}
	}
	for organisation, limiter := range queue.rateLimiters {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(queue.rateLimiters, organisation)
		}
	}
}
