package stand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

const engineAddress = "engine:80"

// withEngine runs a test against an engine in virtual time.
func withEngine(t *testing.T, config stand.EngineConfig, test func(t *testing.T, engine *stand.Engine, client *infer.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := stand.NewPipeNetwork()
		engine := stand.NewEngine(config)
		server := network.Serve(engineAddress, engine)
		client := infer.New(infer.Config{Dial: network.Dial})
		defer server.Close()
		defer engine.Restart()
		defer client.Close()
		test(t, engine, client)
	})
}

func newRequest(prompt string, maxTokens int) infer.Request {
	target := infer.Target{Address: engineAddress, RequestID: clementinewind.NewRequestID(), Organisation: "acme"}
	return infer.Request{Target: target, Prompt: prompt, MaxTokens: maxTokens}
}

// ask reads a complete answer and returns the time that it took and the cached tokens.
func ask(client *infer.Client, request infer.Request) (time.Duration, int, error) {
	start := time.Now()
	stream, err := client.Generate(context.Background(), request)
	if err != nil {
		return 0, 0, err
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err == io.EOF {
			return time.Since(start), stream.CachedTokens(), nil
		} else if err != nil {
			return 0, 0, err
		}
	}
}

// askTogether sends copies of a request concurrently and returns the longest time and the number of failures.
func askTogether(client *infer.Client, count int) (longest time.Duration, failures int) {
	type result struct {
		took time.Duration
		err  error
	}
	results := make(chan result)
	for range count {
		go func() {
			took, _, err := ask(client, newRequest("a prompt", 40))
			results <- result{took: took, err: err}
		}()
	}
	for range count {
		result := <-results
		longest = max(longest, result.took)
		if result.err != nil {
			failures++
		}
	}
	return longest, failures
}

// Guards against an engine that is as fast under any load, which would hide overload from all measurements.
func TestEngineBatch(t *testing.T) {
	withEngine(t, stand.EngineConfig{StartWarm: true, MaxBatch: 8}, func(t *testing.T, _ *stand.Engine, client *infer.Client) {
		alone, _ := askTogether(client, 1)
		together, _ := askTogether(client, 8)
		queued, _ := askTogether(client, 16)
		quicktest.Assert(t, together > alone, quicktest.IsTrue)
		quicktest.Assert(t, queued >= 2*together-time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v %v", queued, together))
	})
}

// Guards against a cold engine that accepts a full load, or that never warms up.
func TestEngineColdStart(t *testing.T) {
	withEngine(t, stand.EngineConfig{MaxBatch: 8}, func(t *testing.T, engine *stand.Engine, client *infer.Client) {
		bootID := engine.BootID()
		_, failures := askTogether(client, 2)
		quicktest.Assert(t, failures, quicktest.Equals, 0)
		_, failures = askTogether(client, 8)
		quicktest.Assert(t, failures > 4, quicktest.IsTrue, quicktest.Commentf("%d failures", failures))
		quicktest.Assert(t, engine.BootID() != bootID && engine.Restarts() > 0, quicktest.IsTrue)
		// A caller that doubles its limit after each full window never exceeds the engine's capacity.
		for _, window := range []int{2, 4, 8} {
			_, failures = askTogether(client, window)
			quicktest.Assert(t, failures, quicktest.Equals, 0)
		}
		engine.TurnCold()
		_, failures = askTogether(client, 8)
		quicktest.Assert(t, failures > 4, quicktest.IsTrue)
	})
}

// Guards against a prefix cache without limit, and against cache events without gaps or delay.
func TestEngineCache(t *testing.T) {
	config := stand.EngineConfig{StartWarm: true, CacheBlocks: 4, LoseEveryNthEvent: 3, ReportLag: time.Second}
	withEngine(t, config, func(t *testing.T, engine *stand.Engine, client *infer.Client) {
		prompt, other := strings.Repeat("p", 128), strings.Repeat("o", 256)
		for _, step := range []struct {
			prompt string
			cached int
		}{{prompt, 0}, {prompt, 128}, {other, 0}, {prompt, 0}, {prompt, 128}} {
			_, cached, err := ask(client, newRequest(step.prompt, 4))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, cached, quicktest.Equals, step.cached)
		}
		engine.TurnCold()
		_, cached, err := ask(client, newRequest(prompt, 4))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, cached, quicktest.Equals, 0)
		time.Sleep(2 * time.Second)
		load, err := client.Load(t.Context(), engineAddress, 1)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, load.BootID, quicktest.Equals, engine.BootID())
		quicktest.Assert(t, load.Events[0], quicktest.Equals, infer.CacheEvent{Sequence: 2, Block: infer.PrefixBlocks(prompt)[1]})
		for _, event := range load.Events {
			quicktest.Assert(t, event.Sequence%3 != 0, quicktest.IsTrue)
		}
	})
}

// Guards against load reports without lag, which no real engine gives.
func TestEngineReportLag(t *testing.T) {
	withEngine(t, stand.EngineConfig{StartWarm: true, ReportLag: 100 * time.Millisecond}, func(t *testing.T, _ *stand.Engine, client *infer.Client) {
		stream, err := client.Generate(t.Context(), newRequest("a prompt", 64))
		quicktest.Assert(t, err, quicktest.IsNil)
		defer stream.Close()
		for _, want := range []int{0, 1} {
			load, err := client.Load(t.Context(), engineAddress, 0)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, load.Running, quicktest.Equals, want)
			time.Sleep(101 * time.Millisecond)
		}
	})
}

// Guards against an engine that ignores ChecksFencing when it receives an old fencing token.
func TestEngineFencing(t *testing.T) {
	bodies := map[string]string{"/orders": `{"Model":"m","Role":"decode"}`, "/v1/completions": `{"prompt":"p"}`}
	for path, body := range bodies {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprint(path, " checks ", checks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					engine := stand.NewEngine(stand.EngineConfig{ChecksFencing: checks})
					for _, token := range []int{5, 4, 5} {
						refused := checks && token < 5
						request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
						request.Header.Set(send.HeaderFencingToken, strconv.Itoa(token))
						recorder := httptest.NewRecorder()
						engine.ServeHTTP(recorder, request)
						quicktest.Assert(t, recorder.Code == http.StatusConflict, quicktest.Equals, refused)
						quicktest.Assert(t, recorder.Header().Get(send.HeaderNotRun) == "true", quicktest.Equals, refused)
					}
					quicktest.Assert(t, len(engine.Orders()) == 3, quicktest.Equals, path == "/orders" && !checks)
				})
			})
		}
	}
}

// Guards against a cancelled run that keeps its place in the batch.
func TestEngineCancel(t *testing.T) {
	withEngine(t, stand.EngineConfig{StartWarm: true}, func(t *testing.T, engine *stand.Engine, client *infer.Client) {
		request := newRequest("a prompt", 64)
		stream, err := client.Generate(t.Context(), request)
		quicktest.Assert(t, err, quicktest.IsNil)
		stream.Close()
		running, _ := engine.Running()
		quicktest.Assert(t, running, quicktest.Equals, 1)
		quicktest.Assert(t, client.Cancel(t.Context(), request.Target), quicktest.IsNil)
		running, _ = engine.Running()
		quicktest.Assert(t, running, quicktest.Equals, 0)
		received := engine.Received()
		quicktest.Assert(t, received[0].Organisation, quicktest.Equals, clementinewind.Organisation("acme"))
		quicktest.Assert(t, received[1].Method, quicktest.Equals, http.MethodDelete)
	})
}

// Guards against fault kinds that cannot be set over the control endpoint.
func TestFaultsEndpoint(t *testing.T) {
	booking := stand.NewBooking(stand.BookingConfig{})
	for kind := stand.FaultNone; kind <= stand.FaultCold; kind++ {
		body, err := json.Marshal(stand.Fault{Kind: kind, After: 3, Count: 1})
		quicktest.Assert(t, err, quicktest.IsNil)
		booking.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/faults", bytes.NewReader(body)))
	}
	recorder := httptest.NewRecorder()
	booking.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/faults", nil))
	var faults []stand.Fault
	quicktest.Assert(t, json.Unmarshal(recorder.Body.Bytes(), &faults), quicktest.IsNil)
	quicktest.Assert(t, faults[stand.FaultCold], quicktest.Equals, stand.Fault{Kind: stand.FaultCold, After: 3, Count: 1})
	recorder = httptest.NewRecorder()
	booking.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(`{"Kind":"Unheard"}`)))
	quicktest.Assert(t, recorder.Code, quicktest.Equals, http.StatusBadRequest)
	booking.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, "/faults", nil))
	recorder = httptest.NewRecorder()
	booking.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/book", strings.NewReader("seat 4")))
	quicktest.Assert(t, recorder.Body.String(), quicktest.Equals, string(stand.BookingAnswer("/book", []byte("seat 4"))))
}
