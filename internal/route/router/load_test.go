package router_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// attempt is what a caller saw of one request.
type attempt struct {
	organisation clementinewind.Organisation
	router       int
	started      time.Time
	ended        time.Time
	// prompt is set for a model request, and body for a booking.
	prompt, body string
	outcome      callerv1.Outcome
	refusal      *callerv1.Refusal
	err          error
	// wrong is set when an answer that was passed as whole is not the right one.
	wrong bool
}

// load is a set of callers that send requests to all routers, and what they saw.
type load struct {
	world  *world
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

const (
	loadTokens = 30
	// loadDeadline is the deadline of the requests of a load.
	loadDeadline = 20 * time.Second
)

// startFlood starts callers of one organisation that send model requests to all routers without a pause that matters.
func (world *world) startFlood(ctx context.Context, callers int) *load {
	ctx, cancel := context.WithCancel(ctx)
	started := &load{world: world, cancel: cancel}
	for caller := range callers {
		started.wait.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				made := attempt{
					organisation: "Patel", router: (caller + number) % len(world.Nodes), started: time.Now(),
					prompt: fmt.Sprintf("flood %d %d", caller, number),
				}
				if world.RouterRunning(made.router) {
					world.askModel(context.WithoutCancel(ctx), &made)
					made.ended = time.Now()
					started.mu.Lock()
					started.attempts = append(started.attempts, made)
					started.mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return started
}

// startedAfter returns the attempts that started after a time.
func startedAfter(attempts []attempt, after time.Time) []attempt {
	var later []attempt
	for _, made := range attempts {
		if made.started.After(after) {
			later = append(later, made)
		}
	}
	return later
}

// startLoad starts callers that send one request after the other until stop is called.
func (world *world) startLoad(ctx context.Context, callers int, seed uint64) *load {
	ctx, cancel := context.WithCancel(ctx)
	started := &load{world: world, cancel: cancel}
	for number := range callers {
		started.wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(number)))
			addresses := &addressCache{world: world, random: random}
			for sequence := 0; ctx.Err() == nil; sequence++ {
				started.send(context.WithoutCancel(ctx), addresses, random, fmt.Sprintf("%d-%d", number, sequence))
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		})
	}
	return started
}

// stop ends the callers after their present requests and returns what they saw.
func (load *load) stop() []attempt {
	load.cancel()
	load.wait.Wait()
	return load.attempts
}

func (load *load) send(ctx context.Context, addresses *addressCache, random *rand.Rand, name string) {
	organisation := []clementinewind.Organisation{"Patel", "Fjordvolt"}[random.IntN(2)]
	made := attempt{organisation: organisation, router: addresses.pick(ctx, organisation), started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	switch random.IntN(6) {
	case 0, 1:
		made.prompt = "prompt " + name
		load.world.askModel(ctx, &made)
	case 2:
		made.prompt = "resumed " + name
		load.world.askAndResume(ctx, &made, addresses)
	default:
		made.body = "booking " + name
		load.world.book(ctx, &made, name)
	}
	made.ended = time.Now()
	load.mu.Lock()
	defer load.mu.Unlock()
	load.attempts = append(load.attempts, made)
}

// addressCache is what a caller remembers of the addresses that it was told to use.
type addressCache struct {
	world   *world
	random  *rand.Rand
	routers []int
	expires time.Time
}

// pick returns the router to use: one of those that a router named, until the time to live of its answer has passed.
func (addresses *addressCache) pick(ctx context.Context, organisation clementinewind.Organisation) int {
	for time.Now().After(addresses.expires) || !addresses.world.RouterRunning(addresses.routers[0]) {
		addresses.locate(ctx, organisation)
	}
	return addresses.routers[0]
}

func (addresses *addressCache) locate(ctx context.Context, organisation clementinewind.Organisation) {
	asked := addresses.random.IntN(len(addresses.world.Nodes))
	if !addresses.world.RouterRunning(asked) {
		time.Sleep(time.Millisecond)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	now := time.Now()
	located, err := addresses.world.Caller(asked).Locate(ctx, connect.NewRequest(&callerv1.LocateRequest{
		Organisation: string(organisation),
	}))
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	var routers []int
	for _, address := range located.Msg.Addresses {
		for number, node := range addresses.world.Nodes {
			if addresses.world.RouterRunning(number) && node.Router().CallerAddress().String() == address {
				routers = append(routers, number)
			}
		}
	}
	if len(routers) == 0 {
		return
	}
	addresses.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	addresses.routers, addresses.expires = routers, now.Add(time.Duration(located.Msg.TimeToLiveMillis)*time.Millisecond)
}

func (made *attempt) failed(err error) {
	made.err, made.refusal = err, demo.RefusalOf(err)
	made.outcome = made.refusal.GetOutcome()
}

func (world *world) askModel(ctx context.Context, made *attempt) {
	world.askModelWithin(ctx, made, loadDeadline)
}

func (world *world) askModelWithin(ctx context.Context, made *attempt, deadline time.Duration) {
	stream, err := world.Caller(made.router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: string(made.organisation), Pool: demo.ModelPool, Prompt: made.prompt, MaxTokens: loadTokens,
		DeadlineMillis: deadline.Milliseconds(),
	}))
	if err != nil {
		made.failed(err)
		return
	}
	defer stream.Close()
	var answer []string
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
	}
	if err := stream.Err(); err != nil {
		made.failed(err)
		return
	}
	made.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	made.wrong = !slices.Equal(answer, stand.Answer(made.prompt, loadTokens))
}

// leaveAfter is the number of tokens after which a caller leaves an answer that it resumes; every answer is longer.
const leaveAfter = 4

// askAndResume sends a model request, leaves in the middle of the answer, and resumes it through another router. A router that
// does not answer is passed over.
func (world *world) askAndResume(ctx context.Context, made *attempt, addresses *addressCache) {
	callerCtx, leave := context.WithCancel(ctx)
	defer leave()
	stream, err := world.Caller(made.router).Generate(callerCtx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: string(made.organisation), Pool: demo.ModelPool, Prompt: made.prompt, MaxTokens: loadTokens,
		DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		made.failed(err)
		return
	}
	begun := &reading{}
	begun.read(stream, leaveAfter)
	if begun.err != nil {
		made.failed(begun.err)
		return
	}
	leave()
	made.failed(errors.New("no router was running to resume the answer"))
	for _, router := range slices.Backward(addresses.routers) {
		if !world.RouterRunning(router) {
			continue
		}
		world.resume(ctx, router, string(made.organisation), begun)
		if begun.err == nil {
			made.err, made.outcome = nil, callerv1.Outcome_OUTCOME_ANSWERED
			made.wrong = !begun.ended || !slices.Equal(begun.tokens, stand.Answer(made.prompt, loadTokens))
			return
		}
		if made.failed(begun.err); made.refusal != nil {
			return
		}
	}
}

func (world *world) book(ctx context.Context, made *attempt, key string) {
	response, err := world.Caller(made.router).Call(ctx, connect.NewRequest(&callerv1.CallRequest{
		Organisation: string(made.organisation), Pool: demo.ServicePool, Path: "/book", Body: []byte(made.body),
		IdempotencyKey: key, KeyIssuedMillis: made.started.UnixMilli(), DeadlineMillis: loadDeadline.Milliseconds(),
	}))
	if err != nil {
		made.failed(err)
		return
	}
	made.outcome = callerv1.Outcome_OUTCOME_ANSWERED
	made.wrong = response.Msg.Status != http.StatusOK ||
		string(response.Msg.Body) != string(stand.BookingAnswer("/book", []byte(made.body)))
}

// counts sums up a load.
type counts struct {
	answered, notRun, unknown, untyped int
}

// check compares what the callers saw with what the stand-ins did. Every difference breaks a promise.
func (world *world) check(t *testing.T, attempts []attempt) counts {
	t.Helper()
	runs := map[string]int{}
	for _, booking := range world.Bookings {
		for body, count := range booking.RunsByBody() {
			runs[body] += count
		}
	}
	var counts counts
	for _, made := range attempts {
		quicktest.Check(t, made.wrong, quicktest.IsFalse, quicktest.Commentf("wrong answer passed as whole: %+v", made))
		ran := runs[made.body]
		if made.prompt != "" {
			ran = world.modelRuns(made.refusal.GetRequestId())
		}
		switch made.outcome {
		case callerv1.Outcome_OUTCOME_ANSWERED:
			counts.answered++
			if made.body != "" {
				quicktest.Check(t, ran, quicktest.Equals, 1, quicktest.Commentf("answered booking %q", made.body))
			}
		case callerv1.Outcome_OUTCOME_NOT_RUN:
			counts.notRun++
			quicktest.Check(t, ran, quicktest.Equals, 0, quicktest.Commentf("refused as not run: %+v", made))
		default:
			counts.unknown++
			if made.refusal == nil {
				counts.untyped++
			}
		}
		quicktest.Check(t, runs[made.body] <= 1, quicktest.IsTrue, quicktest.Commentf("booking %q ran twice", made.body))
	}
	t.Logf("requests %d, answered %d, not run %d, unknown %d (without a typed outcome %d)",
		len(attempts), counts.answered, counts.notRun, counts.unknown, counts.untyped)
	return counts
}

func (world *world) modelRuns(requestID string) int {
	id, err := clementinewind.ParseRequestID(requestID)
	if err != nil {
		return 0
	}
	runs := 0
	for _, engine := range world.Engines {
		runs += engine.RunTotals(id).Runs
	}
	return runs
}

// failures lists the attempts that were not answered.
func failures(attempts []attempt) []string {
	var list []string
	for _, made := range attempts {
		if made.outcome != callerv1.Outcome_OUTCOME_ANSWERED {
			list = append(list, fmt.Sprintf("router %d after %v: %v", made.router, made.ended.Sub(made.started), made.err))
		}
	}
	return list
}
