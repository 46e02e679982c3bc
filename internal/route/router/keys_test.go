package router_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// callOf returns a booking with a key that was issued at a time.
func callOf(key, body string, issued time.Time) *callerv1.CallRequest {
	return &callerv1.CallRequest{
		Organisation: "Patel", Pool: demo.ServicePool, Path: "/book", Body: []byte(body),
		IdempotencyKey: key, KeyIssuedMillis: issued.UnixMilli(), DeadlineMillis: loadDeadline.Milliseconds(),
	}
}

// bookingRuns returns how often a booking ran.
func (world *world) bookingRuns(body string) int {
	runs := 0
	for _, booking := range world.Bookings {
		runs += booking.RunsByBody()[body]
	}
	return runs
}

// Guards against a second run when two routers get the same key at the same time.
func TestSameKeyAtTwoRouters(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		outcomes := map[string]int{}
		var mu sync.Mutex
		for round := range 40 {
			body := fmt.Sprint("race ", round)
			call := callOf(body, body, time.Now())
			var wait sync.WaitGroup
			for router := range world.Nodes {
				wait.Go(func() {
					response, err := world.Caller(router).Call(ctx, connect.NewRequest(call))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						refusal := demo.RefusalOf(err)
						outcomes[refusal.GetOutcome().String()+" "+refusal.GetReason()]++
						quicktest.Check(t, refusal.GetReason(), quicktest.Equals, "KeyInUse")
						quicktest.Check(t, refusal.GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
						quicktest.Check(t, refusal.GetRetryAfterMillis() > 0, quicktest.IsTrue)
						return
					}
					outcomes["answered"]++
					quicktest.Check(t, response.Msg.Body, quicktest.DeepEquals, stand.BookingAnswer("/book", []byte(body)))
				})
			}
			wait.Wait()
			quicktest.Check(t, world.bookingRuns(body), quicktest.Equals, 1)
		}
		t.Logf("120 calls with 40 keys at three routers: %v", outcomes)
	})
}

// Guards against a retry with the same key that runs the booking again, or that denies a run, after each outcome of the
// first call.
func TestRetryWithSameKey(t *testing.T) {
	t.Parallel()
	const answered, notRun, unknown = callerv1.Outcome_OUTCOME_ANSWERED, callerv1.Outcome_OUTCOME_NOT_RUN, callerv1.Outcome_OUTCOME_UNKNOWN
	tests := []struct {
		name  string
		fault stand.FaultKind
		// changed is the body of the retry, if it differs.
		changed       string
		age           time.Duration
		first, second callerv1.Outcome
		reason        string
		runs          int
		// status is that of the answer, if it is not 200: an upstream that answers with an error has answered.
		status int32
	}{
		{name: "answered", first: answered, second: answered, runs: 1},
		{name: "refused before running", fault: stand.FaultRefuse, first: notRun, second: answered, runs: 1},
		{name: "reset before the run", fault: stand.FaultResetEarly, first: unknown, second: unknown, reason: "KeyInUse"},
		{name: "reset after the run", fault: stand.FaultReset, first: unknown, second: unknown, reason: "KeyInUse", runs: 1},
		{name: "error after the run", fault: stand.FaultUnsure, first: answered, second: answered, runs: 1, status: http.StatusServiceUnavailable},
		{name: "short answer", fault: stand.FaultShort, first: unknown, second: unknown, reason: "KeyInUse", runs: 1},
		{name: "silence after the run", fault: stand.FaultSilence, first: unknown, second: unknown, reason: "KeyInUse", runs: 1},
		{name: "another body", changed: "changed", first: answered, second: notRun, reason: "KeyMismatch", runs: 1},
		{name: "expired key", age: 25 * time.Hour, first: unknown, second: unknown, reason: "KeyExpired"},
		{name: "key issued in the future", age: -2 * time.Minute, first: notRun, second: notRun, reason: "Invalid"},
	}
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		for _, test := range tests {
			issued := time.Now().Add(-test.age)
			for _, booking := range world.Bookings {
				booking.Clear()
				booking.Inject(stand.Fault{Kind: test.fault})
			}
			call := func(router int, body string) (callerv1.Outcome, string) {
				response, err := world.Caller(router).Call(ctx, connect.NewRequest(callOf(test.name, body, issued)))
				if err != nil {
					refusal := demo.RefusalOf(err)
					return refusal.GetOutcome(), refusal.GetReason()
				}
				quicktest.Check(t, response.Msg.Status, quicktest.Equals, cmp.Or(test.status, http.StatusOK))
				if test.status == 0 {
					quicktest.Check(t, response.Msg.Body, quicktest.DeepEquals, stand.BookingAnswer("/book", []byte(body)))
				}
				return answered, ""
			}
			first, _ := call(0, test.name)
			quicktest.Check(t, first, quicktest.Equals, test.first, quicktest.Commentf("%s", test.name))
			for _, booking := range world.Bookings {
				booking.Clear()
			}
			time.Sleep(time.Second)
			body := test.name
			if test.changed != "" {
				body = test.changed
			}
			second, reason := call(1, body)
			quicktest.Check(t, second, quicktest.Equals, test.second, quicktest.Commentf("retry after %s", test.name))
			quicktest.Check(t, reason, quicktest.Equals, test.reason, quicktest.Commentf("retry after %s", test.name))
			quicktest.Check(t, world.bookingRuns(test.name), quicktest.Equals, test.runs, quicktest.Commentf("%s", test.name))
			quicktest.Check(t, world.bookingRuns(test.changed), quicktest.Equals, 0)
		}
	})
}

// Guards against a refusal "not run" for a key whose earlier call ran, when the router that decides the key is gone and
// the log is down, so that no other router can take its place.
func TestUndecidedKeyIsUnknown(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		time.Sleep(5 * time.Second)
		const keys = 12
		issued := time.Now()
		for number := range keys {
			_, err := world.Caller(0).Call(ctx, connect.NewRequest(callOf(fmt.Sprint("key-", number), "wheel", issued)))
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		time.Sleep(time.Second)
		world.log.SetFaults(stand.LogFaults{Down: true})
		quicktest.Assert(t, world.StopRouter(1), quicktest.IsNil)
		quicktest.Assert(t, world.StopRouter(2), quicktest.IsNil)
		replayed, unknown := 0, 0
		for number := range keys {
			call := callOf(fmt.Sprint("key-", number), "wheel", issued)
			call.DeadlineMillis = (2 * time.Second).Milliseconds()
			response, err := world.Caller(0).Call(ctx, connect.NewRequest(call))
			switch {
			case err == nil && response.Msg.Replayed:
				replayed++
			case demo.RefusalOf(err).GetOutcome() == callerv1.Outcome_OUTCOME_UNKNOWN:
				unknown++
			default:
				t.Errorf("key %d: %v", number, err)
			}
		}
		t.Logf("%d keys replayed, %d unknown", replayed, unknown)
		quicktest.Check(t, unknown > 0, quicktest.IsTrue)
		world.log.SetFaults(stand.LogFaults{})
	})
}
