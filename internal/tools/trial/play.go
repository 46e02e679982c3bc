package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Outcome is how a request ended for its caller.
type Outcome int

//go:generate stringer -type Outcome -trimprefix Outcome -output outcome_string.go

const (
	// OutcomeOnTime is a complete answer whose first event arrived within Route.Goal.
	OutcomeOnTime Outcome = iota
	// OutcomeLate is a complete answer whose first event arrived after Route.Goal.
	OutcomeLate
	// OutcomeRefused is a request that was rejected with status 503 before it ran.
	OutcomeRefused
	// OutcomeFailed is a request that ended in any other way.
	OutcomeFailed
	outcomes
)

// Result is the result of one request. SentAt is relative to the start of the run, FirstEvent to SentAt; FirstEvent is zero if
// no event arrived.
type Result struct {
	Load       string
	SentAt     time.Duration
	FirstEvent time.Duration
	Outcome    Outcome
}

// Play sends the loads of the scenario and waits for the last answer. The seed determines the random intervals and subjects.
func (testbed *Testbed) Play(ctx context.Context, seed uint64) Report {
	var group sync.WaitGroup
	results := &collector{}
	began := time.Now()
	for _, cold := range testbed.scenario.ColdStarts {
		group.Go(func() {
			if pause.For(ctx, cold.At) == nil {
				for number := range cold.Engines {
					testbed.SetCold(number, cold.For)
				}
			}
		})
	}
	for number, load := range testbed.scenario.Loads {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		group.Go(func() {
			if pause.For(ctx, load.From) != nil {
				return
			}
			for request := 0; time.Since(began) < load.From+load.For; request++ {
				id := fmt.Sprintf("%02x%014x", number, request)
				subject := fmt.Sprintf("%s%d", load.Name, random.IntN(load.Subjects))
				at := time.Since(began)
				group.Go(func() {
					outcome, first := testbed.ask(ctx, load, id, subject)
					results.add(Result{Load: load.Name, SentAt: at, FirstEvent: first, Outcome: outcome})
				})
				if pause.For(ctx, time.Duration(random.ExpFloat64()/load.PerSecond*float64(time.Second))) != nil {
					return
				}
			}
		})
	}
	group.Wait()
	readTokens, cachedTokens := testbed.PromptTokens()
	return Report{
		Scenario: testbed.scenario, Seed: seed, Results: results.results, ReadTokens: readTokens, CachedTokens: cachedTokens, CrashedEngines: testbed.CrashedEngines(),
		ModelError: testbed.meter.meanError(),
	}
}

// ask sends one request and returns its outcome and the time to the first event.
func (testbed *Testbed) ask(ctx context.Context, load Load, id, subject string) (Outcome, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, testbed.scenario.Route.Patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/", nil)
	if err != nil {
		return OutcomeFailed, 0
	}
	stand.SetCallerHeaders(request.Header, id, load.Organisation, testbed.scenario.Route.Patience)
	stand.SetPromptHeaders(request.Header, subject, load.Tokens, load.SharedTokens, load.OutputTokens)
	began := time.Now()
	response, err := testbed.client.Do(request)
	if err != nil {
		return OutcomeFailed, 0
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return OutcomeRefused, 0
	default:
		return OutcomeFailed, 0
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		return OutcomeFailed, 0
	}
	first := time.Since(began)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return OutcomeFailed, first
	}
	if first > testbed.scenario.Route.Goal {
		return OutcomeLate, first
	}
	return OutcomeOnTime, first
}

type collector struct {
	mutex   sync.Mutex
	results []Result
}

func (collector *collector) add(result Result) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.results = append(collector.results, result)
}
