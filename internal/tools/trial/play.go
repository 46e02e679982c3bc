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
	// OutcomeOnTime is a complete answer whose first event came within the goal.
	OutcomeOnTime Outcome = iota
	// OutcomeLate is a complete answer whose first event came later.
	OutcomeLate
	// OutcomeRefused is a request that was rejected before it ran.
	OutcomeRefused
	// OutcomeFailed is any other end.
	OutcomeFailed
	outcomes
)

// Result is one request.
type Result struct {
	Load    string
	At      time.Duration
	First   time.Duration
	Outcome Outcome
}

// Play sends the loads of the scenario, with pauses and subjects drawn by the seed, and waits for the last answer.
func (site *Site) Play(ctx context.Context, seed uint64) Report {
	var group sync.WaitGroup
	results := &collector{}
	began := time.Now()
	for _, cold := range site.scenario.Colds {
		group.Go(func() {
			if pause.For(ctx, cold.At) == nil {
				for number := range cold.Engines {
					site.TurnCold(number, cold.For)
				}
			}
		})
	}
	for number, load := range site.scenario.Loads {
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
					outcome, first := site.ask(ctx, load, id, subject)
					results.add(Result{Load: load.Name, At: at, First: first, Outcome: outcome})
				})
				if pause.For(ctx, time.Duration(random.ExpFloat64()/load.PerSecond*float64(time.Second))) != nil {
					return
				}
			}
		})
	}
	group.Wait()
	read, found := site.Tokens()
	return Report{
		Scenario: site.scenario, Seed: seed, Results: results.results, Read: read, Found: found, Crashed: site.Crashed(),
		ModelError: site.meter.error(),
	}
}

// ask sends one request and returns how it ended, and the time to the first event.
func (site *Site) ask(ctx context.Context, load Load, id, subject string) (Outcome, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, site.scenario.Route.Patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/", nil)
	if err != nil {
		return OutcomeFailed, 0
	}
	stand.SetCallerHeaders(request.Header, id, load.Organisation, site.scenario.Route.Patience)
	stand.SetPromptHeaders(request.Header, subject, load.Tokens, load.SharedTokens, load.OutputTokens)
	began := time.Now()
	response, err := site.client.Do(request)
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
	if first > site.scenario.Route.Goal {
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
