package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
)

// attempt is one request and its result as the caller saw it.
type attempt struct {
	address        string
	started, ended time.Time
	// body is the prompt of a model request or the body of a booking; it differs for every request.
	body    string
	booking bool
	// retried marks the retry of a booking with the same idempotency key.
	retried bool
	outcome callerv1.Outcome
	refusal *callerv1.Refusal
	err     error
	// wrongAnswer is set when an answer that was reported as complete is not the expected one.
	wrongAnswer bool
}

func (attempt *attempt) setError(err error) {
	attempt.err, attempt.refusal = err, demo.RefusalOf(err)
	attempt.outcome = attempt.refusal.GetOutcome()
}

const (
	loadTokens = 40
	// loadDeadline allows for a paused router and for the delay before the next owner takes over.
	loadDeadline    = 30 * time.Second
	loadCallerCount = 12
	// maxCallerPause is the longest time between two requests of a caller.
	maxCallerPause = 100 * time.Millisecond
)

// load is a set of concurrent callers, each of which sends one request after the other.
type load struct {
	fleet     *fleet
	useLocate bool
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

// startLoad starts callers. With locate they use the addresses that the routers advertise until those expire; without it
// each caller uses one fixed router, so that a paused router does not block all callers.
func (fleet *fleet) startLoad(seed uint64, locate bool) *load {
	fleet.t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(context.Background())
	load := &load{fleet: fleet, useLocate: locate, cancel: cancel}
	for number := range loadCallerCount {
		load.wait.Go(func() {
			caller := &caller{load: load, random: rand.New(rand.NewPCG(seed, uint64(number))), number: number}
			for sequence := 0; ctx.Err() == nil; sequence++ {
				caller.sendRequest(sequence)
				time.Sleep(time.Duration(caller.random.Int64N(int64(maxCallerPause))))
			}
		})
	}
	fleet.t.Cleanup(cancel)
	return load
}

// stop ends the callers after their current requests and returns all attempts.
func (load *load) stop() []attempt {
	load.cancel()
	load.wait.Wait()
	return load.attempts
}

func (load *load) record(attempt attempt) {
	attempt.ended = time.Now()
	load.mu.Lock()
	defer load.mu.Unlock()
	load.attempts = append(load.attempts, attempt)
}

// count returns the number of attempts that satisfy a condition.
func (load *load) count(condition func(attempt attempt) bool) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for _, attempt := range load.attempts {
		if condition(attempt) {
			count++
		}
	}
	return count
}

// awaitAnswers waits until count model requests and count bookings that started after the call have been answered.
func (load *load) awaitAnswers(what string, count int) {
	load.fleet.t.Helper()
	from := time.Now()
	for _, booking := range []bool{false, true} {
		await(load.fleet.t, what, func() bool {
			return count <= load.count(func(attempt attempt) bool {
				return attempt.outcome == callerv1.Outcome_OUTCOME_ANSWERED && attempt.booking == booking && attempt.started.After(from)
			})
		})
	}
}

// caller sends requests one after the other.
type caller struct {
	load            *load
	random          *rand.Rand
	number          int
	addresses       []string
	addressesExpire time.Time
}

// address returns the router for the next request.
func (caller *caller) address(sequence int) string {
	nodes := caller.load.fleet.nodes
	if !caller.load.useLocate {
		return nodes[caller.number%len(nodes)].caller
	}
	for asked := sequence; !time.Now().Before(caller.addressesExpire); asked++ {
		now := time.Now()
		response, err := caller.client(nodes[asked%len(nodes)].caller).Locate(context.Background(),
			connect.NewRequest(&callerv1.LocateRequest{Organisation: "Patel", Pool: modelPool}))
		if err == nil {
			caller.addresses = response.Msg.Addresses
			// The other half of the lifetime is a margin for requests that reach the router late on a busy machine.
			caller.addressesExpire = now.Add(time.Duration(response.Msg.TimeToLiveMillis) * time.Millisecond / 2)
		}
	}
	return caller.addresses[caller.random.IntN(len(caller.addresses))]
}

func (caller *caller) client(address string) callerv1connect.CallerServiceClient {
	return callerv1connect.NewCallerServiceClient(caller.load.fleet.client, "http://"+address)
}

func (caller *caller) sendRequest(sequence int) {
	current := attempt{
		address: caller.address(sequence), started: time.Now(), body: fmt.Sprintf("request %d-%d", caller.number, sequence),
		booking: sequence%2 == 1,
	}
	if !current.booking {
		caller.load.record(caller.generate(current))
		return
	}
	issued := current.started
	current = caller.book(current, issued)
	caller.load.record(current)
	if current.outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
		next := caller.load.fleet.nodes[(caller.number+1)%len(caller.load.fleet.nodes)]
		retry := attempt{address: next.caller, started: time.Now(), body: current.body, booking: true, retried: true}
		caller.load.record(caller.book(retry, issued))
	}
}

func (caller *caller) generate(attempt attempt) attempt {
	stream, err := caller.client(attempt.address).Generate(context.Background(), connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: modelPool, Prompt: attempt.body, MaxTokens: loadTokens, DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		attempt.setError(err)
		return attempt
	}
	defer stream.Close()
	var answer []string
	ended := false
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
		ended = stream.Msg().End
	}
	if err := stream.Err(); err != nil {
		attempt.setError(err)
		return attempt
	}
	attempt.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	attempt.wrongAnswer = !ended || !slices.Equal(answer, stand.Answer(attempt.body, loadTokens))
	return attempt
}

func (caller *caller) book(attempt attempt, issued time.Time) attempt {
	response, err := caller.client(attempt.address).Call(context.Background(), connect.NewRequest(&callerv1.CallRequest{
		Organisation: "Fjordvolt", Pool: servicePool, Path: "/book", Body: []byte(attempt.body),
		IdempotencyKey: attempt.body, KeyIssuedMillis: issued.UnixMilli(), DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		attempt.setError(err)
		return attempt
	}
	attempt.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	attempt.wrongAnswer = response.Msg.Status != http.StatusOK ||
		string(response.Msg.Body) != string(stand.BookingAnswer("/book", []byte(attempt.body)))
	return attempt
}

// checkRuns compares the attempts with the requests that the upstreams ran. Runs are counted by body rather than by request
// id, so that a second run under another id is found.
func (fleet *fleet) checkRuns(attempts []attempt) {
	t := fleet.t
	t.Helper()
	runs := map[string]int{}
	for _, upstream := range fleet.upstreams {
		if upstream.pool == modelPool {
			await(t, "engines have ended their runs", func() bool {
				load := getJSON[infer.Load](fleet, upstream, "/load")
				return load.Running+load.Waiting == 0
			})
		}
		for body, count := range getJSON[map[string]int](fleet, upstream, stand.BodiesPath) {
			runs[body] += count
		}
	}
	counts := map[string]int{}
	for _, attempt := range attempts {
		ran, comment := runs[attempt.body], quicktest.Commentf("%+v ran %d times", attempt, runs[attempt.body])
		quicktest.Check(t, attempt.wrongAnswer, quicktest.IsFalse, comment)
		quicktest.Check(t, attempt.booking && ran > 1, quicktest.IsFalse, comment)
		switch {
		case attempt.outcome == callerv1.Outcome_OUTCOME_ANSWERED:
			quicktest.Check(t, ran > 0, quicktest.IsTrue, comment)
		case attempt.outcome == callerv1.Outcome_OUTCOME_NOT_RUN && !attempt.retried:
			quicktest.Check(t, ran, quicktest.Equals, 0, comment)
		}
		name := strings.TrimPrefix(attempt.outcome.String(), "OUTCOME_")
		if attempt.refusal != nil {
			name += " " + attempt.refusal.Reason
		}
		counts[name]++
	}
	t.Logf("%d requests: %v", len(attempts), counts)
}

// checkAll fails the test if an attempt does not satisfy a condition.
func checkAll(t testing.TB, attempts []attempt, what string, allowed func(attempt attempt) bool) {
	t.Helper()
	for _, attempt := range attempts {
		quicktest.Check(t, allowed(attempt), quicktest.IsTrue, quicktest.Commentf("%s: %+v", what, attempt))
	}
}

func wasAnswered(attempt attempt) bool { return attempt.outcome == callerv1.Outcome_OUTCOME_ANSWERED }

// hasTypedOutcome reports whether the caller got an answer or a refusal that tells the outcome, and not just a broken
// connection.
func hasTypedOutcome(attempt attempt) bool { return wasAnswered(attempt) || attempt.refusal != nil }
