package fair

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
)

const (
	// rateSamples is the number of departures over which the service rate of a queue is averaged.
	rateSamples = 16
	// minRetryAfter keeps callers from retrying in a tight loop.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter limits what one slow sample can promise.
	maxRetryAfter = 10 * time.Minute
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Limits returns the limits of an organisation in force now.
	Limits func(organisation clementinewind.Organisation) Limits
}

// Queue holds the waiting requests of an entry router by pool and organisation, first in first out.
type Queue[T any] struct {
	config QueueConfig
	lines  map[Key]*line[T]
	rates  map[clementinewind.Organisation]*rate.Limiter
}

// Item is a waiting request.
type Item[T any] struct {
	Key      Key
	Value    T
	Deadline time.Time
	Estimate float64
	queued   time.Time
	removed  bool
}

type line[T any] struct {
	// items may contain removed ones; waiting counts the others.
	items   []*Item[T]
	waiting int
	running int
	// interval is the average time between departures while the line was not empty; 0 until there are two.
	interval time.Duration
	departed time.Time
	// used is when a request last entered or left.
	used time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any](config QueueConfig) *Queue[T] {
	return &Queue[T]{
		config: config,
		lines:  make(map[Key]*line[T]),
		rates:  make(map[clementinewind.Organisation]*rate.Limiter),
	}
}

// Arrive checks the rate limit of an organisation and counts one request against it.
func (queue *Queue[T]) Arrive(organisation clementinewind.Organisation, now time.Time) *clementinewind.Refusal {
	limits := queue.config.Limits(organisation)
	if limits.Rate <= 0 {
		delete(queue.rates, organisation)
		return nil
	}
	burst := limits.Burst
	if burst <= 0 {
		burst = max(1, int(limits.Rate))
	}
	limiter := queue.rates[organisation]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(limits.Rate), burst)
		queue.rates[organisation] = limiter
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

// Push appends a request, or refuses it when the queue is full or the wait would exceed its deadline. A request that
// has waited before goes to the front, and is not refused for the length of the queue.
func (queue *Queue[T]) Push(item *Item[T], front bool, now time.Time) *clementinewind.Refusal {
	entry := queue.line(item.Key)
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
		if entry.departed.IsZero() || now.Sub(entry.departed) > entry.interval {
			// The time for which the line was empty is not part of an interval between departures.
			entry.departed = now
		}
	}
	item.removed = false
	item.queued = now
	if front {
		entry.items = append([]*Item[T]{item}, entry.items...)
	} else {
		entry.items = append(entry.items, item)
	}
	entry.waiting++
	entry.used = now
	return nil
}

// wait returns the expected wait of a request with a number of others ahead of it.
func (line *line[T]) wait(ahead int, now time.Time) time.Duration {
	interval := line.interval
	if line.waiting > 0 {
		// A line that has stopped moving has no departures that would show it.
		interval = max(interval, now.Sub(line.departed))
	}
	wait := float64(interval) * float64(ahead)
	return time.Duration(min(wait, float64(math.MaxInt64/2)))
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (queue *Queue[T]) line(key Key) *line[T] {
	entry := queue.lines[key]
	if entry == nil {
		entry = &line[T]{}
		queue.lines[key] = entry
	}
	return entry
}

// Pop removes the first waiting request whose deadline has not passed and counts it as running. It returns nil when none
// waits or the organisation is at its limit of running requests.
func (queue *Queue[T]) Pop(key Key, now time.Time) *Item[T] {
	if !queue.Ready(key) {
		return nil
	}
	entry := queue.lines[key]
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
		sample := now.Sub(entry.departed)
		if entry.interval == 0 {
			entry.interval = sample
		} else {
			entry.interval += (sample - entry.interval) / rateSamples
		}
		entry.departed = now
		entry.used = now
		return item
	}
	return nil
}

// Remove takes a request out of the queue and reports whether it was waiting.
func (queue *Queue[T]) Remove(item *Item[T]) bool {
	if item.removed {
		return false
	}
	item.removed = true
	entry := queue.lines[item.Key]
	entry.waiting--
	if entry.waiting == 0 {
		entry.items = nil
	}
	return true
}

// Start counts a request as running that did not wait. It reports false when the organisation is at its limit.
func (queue *Queue[T]) Start(key Key, now time.Time) bool {
	entry := queue.line(key)
	if limit := queue.config.Limits(key.Organisation).Running; limit > 0 && entry.running >= limit {
		return false
	}
	entry.running++
	entry.used = now
	return true
}

// Finish ends a running request.
func (queue *Queue[T]) Finish(key Key) {
	if entry := queue.lines[key]; entry != nil && entry.running > 0 {
		entry.running--
	}
}

// Waiting returns the number of requests that wait.
func (queue *Queue[T]) Waiting(key Key) int {
	if entry := queue.lines[key]; entry != nil {
		return entry.waiting
	}
	return 0
}

// Ready reports whether a request waits that may run now.
func (queue *Queue[T]) Ready(key Key) bool {
	entry := queue.lines[key]
	if entry == nil || entry.waiting == 0 {
		return false
	}
	limit := queue.config.Limits(key.Organisation).Running
	return limit <= 0 || entry.running < limit
}

// HeadEstimate returns the estimate of the first waiting request.
func (queue *Queue[T]) HeadEstimate(key Key) float64 {
	if entry := queue.lines[key]; entry != nil {
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
	if entry := queue.lines[key]; entry != nil {
		for _, item := range entry.items {
			if !item.removed {
				return now.Sub(item.queued)
			}
		}
	}
	return 0
}

// ExpectedWait returns the expected wait of a request that arrives now.
func (queue *Queue[T]) ExpectedWait(key Key, now time.Time) time.Duration {
	if entry := queue.lines[key]; entry != nil {
		return entry.wait(entry.waiting, now)
	}
	return 0
}

// Clean forgets lines that have been empty for a time.
func (queue *Queue[T]) Clean(now time.Time, idle time.Duration) {
	for key, entry := range queue.lines {
		if entry.waiting == 0 && entry.running == 0 && now.Sub(entry.used) > idle {
			delete(queue.lines, key)
		}
	}
	for organisation, limiter := range queue.rates {
		if limiter.TokensAt(now) >= float64(limiter.Burst()) {
			delete(queue.rates, organisation)
		}
	}
}
