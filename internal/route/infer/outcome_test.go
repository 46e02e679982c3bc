package infer_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// errStale is what a failing dispatch step returns.
var errStale = errors.New("configuration may be stale")

// result is what a caller would be told about one request.
type result struct {
	stand.Report
	request infer.Request
	tokens  []string
	resumed int
}

// ask sends a request and resumes its answer as a router does.
func (fixture *fixture) ask(ctx context.Context, request infer.Request) *result {
	result := &result{}
	stale := request.Dispatch
	request.Dispatch = func() error {
		result.DispatchSteps++
		if result.DispatchRefused = stale != nil; result.DispatchRefused {
			return stale()
		}
		return nil
	}
	result.request = request
	config := answer.StreamConfig{
		RequestID: request.RequestID, MaxAttempts: 3,
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
		result.Outcome = clementinewind.OutcomeOf(send.ProgressOf(err))
		if result.Outcome == clementinewind.OutcomeNotRun {
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
			result.Outcome = clementinewind.OutcomeAnswered
			result.Complete = slices.Equal(result.tokens, stand.Answer(request.Prompt, request.MaxTokens))
			return result
		}
		if err != nil {
			result.Outcome = clementinewind.OutcomeOf(send.ProgressOf(err))
			return result
		}
		result.tokens = append(result.tokens, chunk.Tokens...)
	}
}

// waitAndCheck waits until the engine has finished every request that it may still run, stops the fixture and checks the
// results.
func (fixture *fixture) waitAndCheck(audit *stand.Audit, circumstances string, results ...*result) (resumed int) {
	// An answer takes less than 1 s, even if it is queued behind others.
	time.Sleep(5 * time.Second)
	fixture.close()
	synctest.Wait()
	audit.Faults += fixture.network.FaultyDials() + fixture.engine.TotalTriggered()
	for _, result := range results {
		audit.Check(result.Report, fixture.engine.RunTotals(result.request.RequestID), circumstances)
		resumed += result.resumed
	}
	return resumed
}

// namedFault is a fault of the engine or of the connection.
type namedFault struct {
	name       string
	engine     stand.Fault
	connection stand.ConnectionFault
}

func allFaults() []namedFault {
	faults := []namedFault{
		{name: "none"},
	}
	connections := stand.ConnectionFaults()
	for _, name := range slices.Sorted(maps.Keys(connections)) {
		faults = append(faults, namedFault{name: name, connection: connections[name]})
	}
	for kind := stand.FaultRefuse; kind <= stand.FaultCold; kind++ {
		for _, after := range []int{0, 3} {
			fault := stand.Fault{Kind: kind, After: after, Delay: 12 * time.Second, Count: 1}
			faults = append(faults, namedFault{name: fmt.Sprintf("%v after %d", kind, after), engine: fault})
		}
	}
	return faults
}

// Guards against an outcome that contradicts what the engine ran, against running a request twice, and against returning
// a truncated or wrong answer as complete, under each fault and each pair of faults, on a new and on a reused connection.
func TestOutcomesUnderPairs(t *testing.T) {
	audit, resumed := &stand.Audit{}, 0
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
					resumed += fixture.waitAndCheck(audit, fmt.Sprintf("%q and %q, reused %v", first.name, second.name, reused), result, later)
				})
			}
		}
	}
	t.Logf("kinds=%d resumed=%d %v", len(allFaults()), resumed, audit)
	quicktest.Assert(t, audit.Err(), quicktest.IsNil)
}

// Guards against the faults that TestOutcomesUnderPairs guards against, under concurrent requests, short deadlines of
// callers, failing dispatch steps and cold starts.
func TestOutcomesProperty(t *testing.T) {
	audit, resumed := &stand.Audit{}, 0
	faults := allFaults()
	synctest.Test(t, func(t *testing.T) {
		// rapid calls Deadline on a *testing.T, which is not allowed within synctest.Test; the struct hides the type.
		rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) {
			fixture := newFixture(stand.EngineConfig{StartWarm: rapid.IntRange(0, 3).Draw(t, "warm") > 0, MaxBatch: 3, ColdBatch: 2})
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
					5 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second, time.Minute, time.Minute,
				}).Draw(t, "limit")
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), limit)
					defer cancel()
					results[index] = fixture.ask(ctx, request)
				})
			}
			group.Wait()
			resumed += fixture.waitAndCheck(audit, strings.Join(names, ", "), results...)
			if err := audit.Err(); err != nil {
				t.Fatalf("%v", err)
			}
		})
	})
	t.Logf("resumed=%d %v", resumed, audit)
}
