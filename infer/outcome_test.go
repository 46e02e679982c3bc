package infer_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/answer"
	"github.com/clementinewind/clementinewind/infer"
	"github.com/clementinewind/clementinewind/send"
	"github.com/clementinewind/clementinewind/stand"
)

// errStale is what the dispatch step returns when it refuses.
var errStale = errors.New("configuration may be stale")

// tally counts what a test compared.
type tally struct {
	requests, resumed      int
	faults                 int
	outcomes               map[clementinewind.Outcome]int
	wrong, double, passed  int
	firstWrong, firstFault string
}

func (tally *tally) String() string {
	return fmt.Sprintf("requests=%d faults=%d outcomes=%v resumed=%d wrong=%d double_runs=%d short_as_whole=%d",
		tally.requests, tally.faults, tally.outcomes, tally.resumed, tally.wrong, tally.double, tally.passed)
}

// result is what a caller would be told about one request.
type result struct {
	request    infer.Request
	outcome    clementinewind.Outcome
	tokens     []string
	dispatched int
	refused    bool
	resumed    int
	err        error
}

// ask sends a request and resumes its answer as a router does.
func (fixture *fixture) ask(ctx context.Context, request infer.Request) *result {
	result := &result{}
	refuse := request.Dispatch
	request.Dispatch = func() error {
		result.dispatched++
		if refuse == nil {
			return nil
		}
		result.refused = true
		return refuse()
	}
	result.request = request
	config := answer.StreamConfig{
		RequestID: request.RequestID, Attempts: 3,
		Reopen: func(ctx context.Context, position int64) (answer.Source, error) {
			stream, err := fixture.client.Resume(ctx, request.Target, position)
			if err != nil {
				return nil, err
			}
			return stream, nil
		},
	}
	first, err := fixture.client.Generate(ctx, request)
	if err != nil {
		result.err, result.outcome = err, clementinewind.OutcomeOf(send.ProgressOf(err))
		if result.outcome == clementinewind.OutcomeNotRun {
			return result
		}
	} else {
		config.First = first
	}
	stream := answer.NewStream(ctx, config)
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		result.resumed = stream.Resumed()
		if err == io.EOF {
			result.outcome = clementinewind.OutcomeAnswered
			return result
		}
		if err != nil {
			result.err, result.outcome = err, clementinewind.OutcomeOf(send.ProgressOf(err))
			return result
		}
		result.tokens = append(result.tokens, chunk.Tokens...)
	}
}

// count adds the faults that acted on a fixture.
func (tally *tally) count(fixture *fixture) {
	tally.faults += fixture.network.Met()
	for kind := stand.FaultRefuse; kind <= stand.FaultCold; kind++ {
		tally.faults += fixture.engine.Met(kind)
	}
}

// check compares a result with what the engine did. It is called when nothing runs any more.
func (tally *tally) check(fixture *fixture, result *result, faults string) {
	runs := fixture.engine.Ran(result.request.RequestID).Runs
	whole := strings.Join(result.tokens, "") ==
		strings.Join(stand.Answer(result.request.Prompt, result.request.MaxTokens), "")
	wrong := ""
	switch {
	case result.outcome == clementinewind.OutcomeNotRun && runs > 0:
		wrong = "ran although reported as not run"
	case result.outcome == clementinewind.OutcomeAnswered && runs == 0:
		wrong = "answered without a run"
	case result.dispatched > 1:
		wrong = "dispatch step was taken twice"
	case result.dispatched == 0 && (runs > 0 || result.outcome != clementinewind.OutcomeNotRun):
		wrong = "dispatch step was left out"
	case result.refused && (runs > 0 || result.outcome != clementinewind.OutcomeNotRun):
		wrong = "dispatch step was ignored"
	}
	tally.requests++
	tally.resumed += result.resumed
	if tally.outcomes == nil {
		tally.outcomes = map[clementinewind.Outcome]int{}
	}
	tally.outcomes[result.outcome]++
	if result.outcome == clementinewind.OutcomeAnswered && !whole {
		tally.passed++
		wrong = "short or wrong answer passed as whole"
	}
	if runs > 1 {
		tally.double++
		wrong = "ran twice"
	}
	if wrong != "" {
		tally.wrong++
		if tally.firstWrong == "" {
			tally.firstWrong, tally.firstFault = wrong, faults
		}
	}
}

// verdict fails the test if a result was wrong.
func (tally *tally) verdict(t interface{ Fatalf(string, ...any) }) {
	if tally.wrong > 0 {
		t.Fatalf("%v; first: %s under %s", tally, tally.firstWrong, tally.firstFault)
	}
}

// named is a fault of the engine or of the connection.
type named struct {
	name       string
	engine     stand.Fault
	connection stand.ConnectionFault
}

func allFaults() []named {
	faults := []named{
		{name: "none"},
		{name: "dial refused", connection: stand.ConnectionFault{Refuse: true}},
		{name: "connection reset in request", connection: stand.ConnectionFault{ResetAfterWritten: 100}},
		{name: "connection silent in request", connection: stand.ConnectionFault{SilentAfterWritten: 100}},
		{name: "connection reset after request", connection: stand.ConnectionFault{ResetAfterRead: 1}},
		{name: "connection silent after request", connection: stand.ConnectionFault{SilentAfterRead: 1}},
		{name: "connection reset in answer", connection: stand.ConnectionFault{ResetAfterRead: 900}},
		{name: "connection silent in answer", connection: stand.ConnectionFault{SilentAfterRead: 900}},
	}
	for kind := stand.FaultRefuse; kind <= stand.FaultCold; kind++ {
		for _, after := range []int{0, 3} {
			fault := stand.Fault{Kind: kind, After: after, Delay: 12 * time.Second, Count: 1}
			faults = append(faults, named{name: fmt.Sprintf("%v after %d", kind, after), engine: fault})
		}
	}
	return faults
}

// Guards against an outcome that contradicts what the engine ran, double runs, and short or wrong answers passed as
// whole, under each fault and each pair of faults, on a new and on a reused connection.
func TestOutcomesUnderPairs(t *testing.T) {
	total := &tally{}
	for index, first := range allFaults() {
		for other, second := range allFaults() {
			for _, reused := range []bool{false, true} {
				// The order and the connection make no difference between two faults of the engine.
				if first.engine.Kind != 0 && second.engine.Kind != 0 && (other < index || !reused) {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					fixture := newFixture(stand.EngineConfig{StartWarm: true})
					defer fixture.close()
					if reused {
						fixture.ask(t.Context(), newRequest("earlier", nil))
					}
					fixture.engine.Inject(first.engine, second.engine)
					fixture.network.Inject(first.connection, second.connection)
					result := fixture.ask(t.Context(), newRequest("first", nil))
					later := fixture.ask(t.Context(), newRequest("second", nil))
					time.Sleep(5 * time.Second)
					fixture.close()
					synctest.Wait()
					total.count(fixture)
					faults := fmt.Sprintf("%q and %q, reused %v", first.name, second.name, reused)
					total.check(fixture, result, faults)
					total.check(fixture, later, faults)
				})
			}
		}
	}
	t.Logf("kinds=%d pairs=%d %v", len(allFaults()), len(allFaults())*len(allFaults()), total)
	total.verdict(t)
}

// Guards against the same under concurrent requests, cancelled callers, refusing dispatch steps and cold starts.
func TestOutcomesProperty(t *testing.T) {
	total := &tally{}
	faults := allFaults()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) {
			fixture := newFixture(stand.EngineConfig{StartWarm: rapid.Bool().Draw(t, "warm"), MaxBatch: 3, ColdBatch: 2})
			var names []string
			for range rapid.IntRange(0, 5).Draw(t, "faults") {
				fault := rapid.SampledFrom(faults).Draw(t, "fault")
				fixture.engine.Inject(fault.engine)
				fixture.network.Inject(fault.connection)
				names = append(names, fault.name)
			}
			results := make([]*result, rapid.IntRange(1, 6).Draw(t, "requests"))
			var group sync.WaitGroup
			for index := range results {
				request := newRequest(fmt.Sprint("prompt ", index), nil)
				if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
					request.Dispatch = func() error { return errStale }
				}
				limit := rapid.SampledFrom([]time.Duration{
					5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 5 * time.Second, time.Minute,
				}).Draw(t, "limit")
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), limit)
					defer cancel()
					results[index] = fixture.ask(ctx, request)
				})
			}
			group.Wait()
			// An answer takes less than 1 s, also behind others; all that will ever run has then run.
			time.Sleep(5 * time.Second)
			fixture.close()
			synctest.Wait()
			total.count(fixture)
			before := total.wrong
			for _, result := range results {
				total.check(fixture, result, strings.Join(names, ", "))
			}
			if total.wrong > before {
				total.verdict(t)
			}
		})
	})
	t.Log(total)
}
