package admit_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
)

var start = time.Unix(1_000_000, 0)

// completeRounds admits and completes as many requests as the limiter allows, a number of times.
func completeRounds(limiter *admit.Limiter, rounds int, wait time.Duration, now time.Time) {
	for range rounds {
		var tickets []admit.Ticket
		for limiter.Free(now) > 0 {
			tickets = append(tickets, limiter.Acquire(now))
		}
		for _, ticket := range tickets {
			limiter.FirstToken(&ticket, wait, now)
			limiter.Finish(ticket, admit.ResultCompleted, now)
		}
	}
}

func newWarmLimiter(now time.Time) *admit.Limiter {
	limiter := admit.NewLimiter(admit.Config{Cold: 2, Max: 32}, now)
	completeRounds(limiter, 10, 100*time.Millisecond, now)
	return limiter
}

// Guards against sending a restarted upstream more requests than it can handle cold.
func TestColdStartLowersLimit(t *testing.T) {
	tests := map[string]func(limiter *admit.Limiter){
		"boot id": func(limiter *admit.Limiter) {
			limiter.Report(admit.Load{Boot: "a"}, start)
			limiter.Report(admit.Load{Boot: "b"}, start)
		},
		"cache loss": func(limiter *admit.Limiter) {
			limiter.Report(admit.Load{CachedTokens: 100}, start)
			limiter.Report(admit.Load{CachedTokens: 0}, start)
		},
		"reset": func(limiter *admit.Limiter) { limiter.Finish(limiter.Acquire(start), admit.ResultReset, start) },
		"jump of the time to first token": func(limiter *admit.Limiter) {
			for range 3 {
				ticket := limiter.Acquire(start)
				limiter.FirstToken(&ticket, time.Second, start)
				limiter.Finish(ticket, admit.ResultCancelled, start)
			}
		},
	}
	for name, showColdStart := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newWarmLimiter(start)
			quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 32)
			quicktest.Assert(t, limiter.State(), quicktest.Equals, clementinewind.UpstreamWarm)
			early := limiter.Acquire(start)
			showColdStart(limiter)
			quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 2)
			quicktest.Assert(t, limiter.State(), quicktest.Equals, clementinewind.UpstreamCold)
			limiter.Finish(early, admit.ResultCompleted, start)
			for _, want := range []int{4, 8, 16, 32} {
				completeRounds(limiter, 1, 100*time.Millisecond, start)
				quicktest.Assert(t, limiter.Limit(), quicktest.Equals, want)
			}
		})
	}
}

// Guards against growth of the limit from requests that were sent before the cold start, and from partial windows.
func TestWindowIgnoresEarlierRequests(t *testing.T) {
	limiter := newWarmLimiter(start)
	var tickets []admit.Ticket
	for limiter.Free(start) > 0 {
		tickets = append(tickets, limiter.Acquire(start))
	}
	limiter.Finish(tickets[0], admit.ResultReset, start)
	for _, ticket := range tickets[1:] {
		quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 2)
		limiter.Finish(ticket, admit.ResultCompleted, start)
	}
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 2)
	limiter.Finish(limiter.Acquire(start), admit.ResultCompleted, start)
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 2)
}

// Guards against a limit that ignores refusals and queueing, or that falls more than once for one overload.
func TestOverloadLowersLimitOnce(t *testing.T) {
	limiter := newWarmLimiter(start)
	first, second := limiter.Acquire(start), limiter.Acquire(start)
	limiter.Finish(first, admit.ResultRefused, start)
	limiter.Finish(second, admit.ResultRefused, start)
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 25)
	limiter.Report(admit.Load{Queued: 3}, start.Add(2*time.Second))
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 20)
	// The first round after idle time only shows that the upstream has not restarted; the second raises the limit.
	completeRounds(limiter, 2, 100*time.Millisecond, start.Add(9*time.Second))
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 21)
}

// Guards against a burst to an upstream that restarted while idle, and against slow start when it did not.
func TestFirstRequestsAfterIdleTime(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		want int
	}{
		"still warm": {wait: 100 * time.Millisecond, want: 31},
		"restarted":  {wait: time.Second, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newWarmLimiter(start)
			now := start.Add(time.Minute)
			quicktest.Assert(t, limiter.Free(now), quicktest.Equals, 2)
			ticket := limiter.Acquire(now)
			quicktest.Assert(t, limiter.Free(now), quicktest.Equals, 1)
			limiter.FirstToken(&ticket, test.wait, now)
			quicktest.Assert(t, limiter.Free(now), quicktest.Equals, test.want)
		})
	}
}

// Guards against a limit that grows more slowly when answers are long.
func TestStreamingAnswersRaiseLimit(t *testing.T) {
	limiter := admit.NewLimiter(admit.Config{Cold: 2, Max: 32}, start)
	first, second := limiter.Acquire(start), limiter.Acquire(start)
	for _, ticket := range []*admit.Ticket{&first, &second} {
		limiter.FirstToken(ticket, 100*time.Millisecond, start)
		quicktest.Assert(t, limiter.Progress(ticket, start.Add(2*time.Second)), quicktest.IsFalse)
		quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 2)
		limiter.Progress(ticket, start.Add(3*time.Second))
	}
	quicktest.Assert(t, limiter.Limit(), quicktest.Equals, 4)
}

// Guards against a new owner that adds its full limit to the requests of the previous owner.
func TestHandoverCountsPreviousOwner(t *testing.T) {
	limiter := admit.NewLimiter(admit.Config{Cold: 4, Max: 32, Adopted: true}, start)
	quicktest.Assert(t, limiter.Free(start), quicktest.Equals, 0)
	limiter.Report(admit.Load{Running: 20}, start)
	quicktest.Assert(t, limiter.Free(start), quicktest.Equals, 0)
	limiter.Report(admit.Load{Running: 15}, start.Add(time.Second))
	quicktest.Assert(t, limiter.Free(start.Add(time.Second)), quicktest.Equals, 3)
	limiter.Report(admit.Load{Boot: "b"}, start.Add(2*time.Second))
	quicktest.Assert(t, limiter.Free(start.Add(2*time.Second)), quicktest.Equals, 4)
}

// Guards against ejecting more than half of a pool, and against sending a failing upstream more than probes.
func TestOpenBreakers(t *testing.T) {
	limiters := []*admit.Limiter{newWarmLimiter(start), newWarmLimiter(start), newWarmLimiter(start)}
	fail := func(limiter *admit.Limiter, now time.Time) {
		for range 3 {
			limiter.Finish(limiter.Acquire(now), admit.ResultFailed, now)
		}
	}
	for _, limiter := range limiters {
		fail(limiter, start)
	}
	quicktest.Assert(t, admit.OpenBreakers(limiters, start), quicktest.HasLen, 3)
	quicktest.Assert(t, limiters[0].State(), quicktest.Equals, clementinewind.UpstreamEjected)
	quicktest.Assert(t, limiters[1].State(), quicktest.Equals, clementinewind.UpstreamCold)
	quicktest.Assert(t, limiters[0].Free(start), quicktest.Equals, 0)
	now := start.Add(time.Second)
	for _, limiter := range limiters[:2] {
		quicktest.Assert(t, limiter.Free(now), quicktest.Equals, 1)
		probe := limiter.Acquire(now)
		quicktest.Assert(t, limiter.Free(now), quicktest.Equals, 0)
		limiter.Finish(probe, admit.ResultFailed, now)
	}
	now = now.Add(time.Second)
	quicktest.Assert(t, limiters[0].Free(now), quicktest.Equals, 0)
	quicktest.Assert(t, limiters[1].Free(now), quicktest.Equals, 1)
	now = now.Add(time.Second)
	limiters[0].Finish(limiters[0].Acquire(now), admit.ResultCompleted, now)
	quicktest.Assert(t, limiters[0].Limit(), quicktest.Equals, 2)
	quicktest.Assert(t, limiters[0].Ejected(), quicktest.IsFalse)
}

// Guards against retries that amplify an overload.
func TestRetryBudget(t *testing.T) {
	var budget admit.RetryBudget
	retries := 0
	for range 1000 {
		budget.Request(start)
		if budget.Retry(start) {
			retries++
		}
	}
	quicktest.Assert(t, retries <= 110, quicktest.IsTrue, quicktest.Commentf("%d retries", retries))
	quicktest.Assert(t, retries >= 100, quicktest.IsTrue, quicktest.Commentf("%d retries", retries))
}

// Guards against a limit out of bounds and against leaked slots, for random sequences of events.
func TestLimiterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		limiter := admit.NewLimiter(admit.Config{Cold: 2, Max: 16}, now)
		var tickets []admit.Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				if limiter.Free(now) > 0 {
					tickets = append(tickets, limiter.Acquire(now))
				}
			case 3:
				if len(tickets) > 0 {
					result := admit.Result(rapid.IntRange(0, 5).Draw(t, "result"))
					limiter.Finish(tickets[0], result, now)
					tickets = tickets[1:]
				}
			case 4:
				limiter.Report(admit.Load{Running: rapid.IntRange(0, 20).Draw(t, "running")}, now)
			case 5:
				admit.OpenBreakers([]*admit.Limiter{limiter}, now)
			}
			if limiter.InFlight() != len(tickets) || limiter.Limit() < 2 || limiter.Limit() > 16 || len(tickets) > 17 {
				t.Fatalf("limit %d, %d in flight with %d tickets", limiter.Limit(), limiter.InFlight(), len(tickets))
			}
		}
		for _, ticket := range tickets {
			limiter.Finish(ticket, admit.ResultCompleted, now)
		}
		now = now.Add(time.Hour)
		if limiter.Free(now) == 0 {
			t.Fatalf("no slot is free an hour after all requests ended")
		}
	})
}
