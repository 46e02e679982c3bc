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

// attempt is what a caller saw of one request.
type attempt struct {
	address        string
	started, ended time.Time
	// body is the prompt of a model request or the body of a booking; it differs for every request.
	body    string
	booking bool
	// repeated marks a booking that was tried again with the same key.
	repeated bool
	outcome  callerv1.Outcome
	refusal  *callerv1.Refusal
	err      error
	// wrong is set when an answer that was passed as whole is not the right one.
	wrong bool
}

func (made *attempt) failed(err error) {
	made.err, made.refusal = err, demo.RefusalOf(err)
	made.outcome = made.refusal.GetOutcome()
}

const (
	loadTokens = 40
	// loadDeadline leaves room for a router that is paused and for owners that wait to take over.
	loadDeadline = 30 * time.Second
	loadCallers  = 12
	// loadPause is the longest pause of a caller between two requests.
	loadPause = 100 * time.Millisecond
)

// load is a set of callers that send one request after the other.
type load struct {
	fleet  *fleet
	locate bool
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

// startLoad starts callers. With locate they use the addresses that the routers give them for as long as they may; without
// it each keeps to one router, whatever happens to that, so that a paused router does not hold up all callers.
func (fleet *fleet) startLoad(seed uint64, locate bool) *load {
	fleet.t.Logf("seed %d", seed)
	ctx, cancel := context.WithCancel(context.Background())
	load := &load{fleet: fleet, locate: locate, cancel: cancel}
	for number := range loadCallers {
		load.wait.Go(func() {
			caller := &caller{load: load, random: rand.New(rand.NewPCG(seed, uint64(number))), number: number}
			for sequence := 0; ctx.Err() == nil; sequence++ {
				caller.request(sequence)
				time.Sleep(time.Duration(caller.random.Int64N(int64(loadPause))))
			}
		})
	}
	fleet.t.Cleanup(cancel)
	return load
}

// stop ends the callers after their present requests and returns what they saw.
func (load *load) stop() []attempt {
	load.cancel()
	load.wait.Wait()
	return load.attempts
}

func (load *load) add(made attempt) {
	made.ended = time.Now()
	load.mu.Lock()
	defer load.mu.Unlock()
	load.attempts = append(load.attempts, made)
}

// count returns the number of attempts that a condition holds for.
func (load *load) count(condition func(made attempt) bool) int {
	load.mu.Lock()
	defer load.mu.Unlock()
	count := 0
	for _, made := range load.attempts {
		if condition(made) {
			count++
		}
	}
	return count
}

// awaitAnswers waits until more requests that started from now on have been answered, of both kinds.
func (load *load) awaitAnswers(what string, more int) {
	load.fleet.t.Helper()
	from := time.Now()
	for _, booking := range []bool{false, true} {
		await(load.fleet.t, what, func() bool {
			return more <= load.count(func(made attempt) bool {
				return made.outcome == callerv1.Outcome_OUTCOME_ANSWERED && made.booking == booking && made.started.After(from)
			})
		})
	}
}

// caller sends requests one after the other.
type caller struct {
	load      *load
	random    *rand.Rand
	number    int
	addresses []string
	expires   time.Time
}

// address returns the router for the next request.
func (caller *caller) address(sequence int) string {
	nodes := caller.load.fleet.nodes
	if !caller.load.locate {
		return nodes[caller.number%len(nodes)].caller
	}
	for asked := sequence; !time.Now().Before(caller.expires); asked++ {
		now := time.Now()
		response, err := caller.client(nodes[asked%len(nodes)].caller).Locate(context.Background(),
			connect.NewRequest(&callerv1.LocateRequest{Organisation: "Patel", Pool: modelPool}))
		if err == nil {
			caller.addresses = response.Msg.Addresses
			// Half of the time is left for the way to the router, which a busy machine makes long.
			caller.expires = now.Add(time.Duration(response.Msg.TimeToLiveMillis) * time.Millisecond / 2)
		}
	}
	return caller.addresses[caller.random.IntN(len(caller.addresses))]
}

func (caller *caller) client(address string) callerv1connect.CallerServiceClient {
	return callerv1connect.NewCallerServiceClient(caller.load.fleet.client, "http://"+address)
}

func (caller *caller) request(sequence int) {
	made := attempt{
		address: caller.address(sequence), started: time.Now(), body: fmt.Sprintf("request %d-%d", caller.number, sequence),
		booking: sequence%2 == 1,
	}
	if !made.booking {
		caller.load.add(caller.ask(made))
		return
	}
	issued := made.started
	made = caller.book(made, issued)
	caller.load.add(made)
	if made.outcome == callerv1.Outcome_OUTCOME_UNSPECIFIED {
		next := caller.load.fleet.nodes[(caller.number+1)%len(caller.load.fleet.nodes)]
		again := attempt{address: next.caller, started: time.Now(), body: made.body, booking: true, repeated: true}
		caller.load.add(caller.book(again, issued))
	}
}

func (caller *caller) ask(made attempt) attempt {
	stream, err := caller.client(made.address).Generate(context.Background(), connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: modelPool, Prompt: made.body, MaxTokens: loadTokens, DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		made.failed(err)
		return made
	}
	defer stream.Close()
	var answer []string
	ended := false
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
		ended = stream.Msg().End
	}
	if err := stream.Err(); err != nil {
		made.failed(err)
		return made
	}
	made.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	made.wrong = !ended || !slices.Equal(answer, stand.Answer(made.body, loadTokens))
	return made
}

func (caller *caller) book(made attempt, issued time.Time) attempt {
	response, err := caller.client(made.address).Call(context.Background(), connect.NewRequest(&callerv1.CallRequest{
		Organisation: "Fjordvolt", Pool: servicePool, Path: "/book", Body: []byte(made.body),
		IdempotencyKey: made.body, KeyIssuedMillis: issued.UnixMilli(), DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		made.failed(err)
		return made
	}
	made.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	made.wrong = response.Msg.Status != http.StatusOK ||
		string(response.Msg.Body) != string(stand.BookingAnswer("/book", []byte(made.body)))
	return made
}

// check compares what the callers saw with what the stand-ins ran. Runs are counted by request body, so that a second run
// under another request id counts too.
func (fleet *fleet) check(attempts []attempt) {
	t := fleet.t
	t.Helper()
	runs := map[string]int{}
	for _, upstream := range fleet.upstreams {
		if upstream.pool == modelPool {
			await(t, "engines have ended their runs", func() bool {
				load := get[infer.Load](fleet, upstream, "/load")
				return load.Running+load.Waiting == 0
			})
		}
		for body, count := range get[map[string]int](fleet, upstream, stand.BodiesPath) {
			runs[body] += count
		}
	}
	counts := map[string]int{}
	for _, made := range attempts {
		ran, comment := runs[made.body], quicktest.Commentf("%+v ran %d times", made, runs[made.body])
		quicktest.Check(t, made.wrong, quicktest.IsFalse, comment)
		quicktest.Check(t, made.booking && ran > 1, quicktest.IsFalse, comment)
		switch {
		case made.outcome == callerv1.Outcome_OUTCOME_ANSWERED:
			quicktest.Check(t, ran > 0, quicktest.IsTrue, comment)
		case made.outcome == callerv1.Outcome_OUTCOME_NOT_RUN && !made.repeated:
			quicktest.Check(t, ran, quicktest.Equals, 0, comment)
		}
		name := strings.TrimPrefix(made.outcome.String(), "OUTCOME_")
		if made.refusal != nil {
			name += " " + made.refusal.Reason
		}
		counts[name]++
	}
	t.Logf("%d requests: %v", len(attempts), counts)
}

// only fails the test if an attempt ended in another way than the condition allows.
func only(t testing.TB, attempts []attempt, what string, allowed func(made attempt) bool) {
	t.Helper()
	for _, made := range attempts {
		quicktest.Check(t, allowed(made), quicktest.IsTrue, quicktest.Commentf("%s: %+v", what, made))
	}
}

func answered(made attempt) bool { return made.outcome == callerv1.Outcome_OUTCOME_ANSWERED }

func typed(made attempt) bool { return answered(made) || made.refusal != nil }
