package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
)

const (
	// benchWorkers is the number of concurrent requests. It is below the pool's limit in slow start, so that none is queued.
	benchWorkers = 4
	// clockTicksPerSecond is the unit of times in /proc/PID/stat (USER_HZ), which is the same on all Linux systems.
	clockTicksPerSecond = 100
)

// latencies holds histograms of the time to the first token and between tokens, in microseconds.
type latencies struct {
	mu                   sync.Mutex
	firstToken, tokenGap *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{firstToken: hdrhistogram.New(1, 60_000_000, 3), tokenGap: hdrhistogram.New(1, 60_000_000, 3)}
}

// observer starts the timing of an answer. The function that it returns must be called for each part with tokens.
func (latencies *latencies) observer() func() {
	last, first := time.Now(), true
	return func() {
		now := time.Now()
		latencies.mu.Lock()
		defer latencies.mu.Unlock()
		if first {
			latencies.firstToken.RecordValue(now.Sub(last).Microseconds())
		} else {
			latencies.tokenGap.RecordValue(now.Sub(last).Microseconds())
		}
		last, first = now, false
	}
}

// askEngine sends a request directly to the engine.
func (fleet *fleet) askEngine(prompt string, onToken func()) error {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": loadTokens, "stream": true})
	if err != nil {
		return err
	}
	response, err := fleet.client.Post("http://"+fleet.upstreams[0].address+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("engine answered %s", response.Status)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			onToken()
		}
	}
	return lines.Err()
}

// askRouter sends a request through the router.
func (fleet *fleet) askRouter(prompt string, onToken func()) error {
	stream, err := callerv1connect.NewCallerServiceClient(fleet.client, "http://"+fleet.nodes[0].caller).
		Generate(context.Background(), connect.NewRequest(&callerv1.GenerateRequest{
			Organisation: "Patel", Pool: modelPool, Prompt: prompt, MaxTokens: loadTokens,
		}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if len(stream.Msg().Tokens) > 0 {
			onToken()
		}
	}
	return stream.Err()
}

// runConcurrently calls send count times from benchWorkers goroutines.
func runConcurrently(b *testing.B, count int, send func(number int) error) {
	var wait sync.WaitGroup
	for worker := range benchWorkers {
		wait.Go(func() {
			for number := worker; number < count; number += benchWorkers {
				if err := send(number); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
}

// cpuSeconds returns the CPU time that a process has used.
func (process *process) cpuSeconds(b *testing.B) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	quicktest.Assert(b, err, quicktest.IsNil)
	// After the name in brackets, user and system time are the 12th and 13th fields.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	total := 0.0
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseFloat(field, 64)
		quicktest.Assert(b, err, quicktest.IsNil)
		total += ticks / clockTicksPerSecond
	}
	return total
}

// BenchmarkAddedLatency compares requests through one router with requests directly to the engine. Both alternate within
// one run, so that a busy machine slows both. Requests per second and core are requests by CPU time: that of the engine
// for direct requests, and that of the router for routed ones.
func BenchmarkAddedLatency(b *testing.B) {
	fleet := newFleetOfSize(b, 1, 1, 0)
	direct, routed := newLatencies(), newLatencies()
	b.ResetTimer()
	runConcurrently(b, b.N, func(number int) error {
		prompt := fmt.Sprint("latency ", number)
		if err := fleet.askEngine(prompt, direct.observer()); err != nil {
			return err
		}
		return fleet.askRouter(prompt, routed.observer())
	})
	engine, router := fleet.upstreams[0].process, fleet.nodes[0].process
	cpu := func(process *process, send func(prompt string, token func()) error) float64 {
		before := process.cpuSeconds(b)
		runConcurrently(b, b.N, func(number int) error { return send(fmt.Sprint("load ", number), func() {}) })
		return process.cpuSeconds(b) - before
	}
	engineSeconds, routerSeconds := cpu(engine, fleet.askEngine), cpu(router, fleet.askRouter)
	b.StopTimer()
	for _, comparison := range []struct {
		name           string
		direct, routed *hdrhistogram.Histogram
	}{{"first", direct.firstToken, routed.firstToken}, {"gap", direct.tokenGap, routed.tokenGap}} {
		for _, percentile := range []float64{50, 99} {
			name := fmt.Sprintf("%s-p%.0f", comparison.name, percentile)
			directMicros, routedMicros := float64(comparison.direct.ValueAtQuantile(percentile)), float64(comparison.routed.ValueAtQuantile(percentile))
			b.ReportMetric(directMicros/1000, "direct-"+name+"-ms")
			b.ReportMetric(routedMicros/1000, "router-"+name+"-ms")
			b.ReportMetric(routedMicros/directMicros, name+"-ratio")
		}
	}
	if engineSeconds > 0 && routerSeconds > 0 {
		b.ReportMetric(float64(b.N)/engineSeconds, "direct-req/s/core")
		b.ReportMetric(float64(b.N)/routerSeconds, "router-req/s/core")
		b.ReportMetric(engineSeconds/routerSeconds, "req/s/core-ratio")
	}
}
