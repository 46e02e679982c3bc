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
	// benchWorkers is the number of requests at once. It is below the cold limit of the pool, so that none waits.
	benchWorkers = 4
	// clockTicks is the number of ticks a second in /proc/PID/stat, which is the same on all Linux systems.
	clockTicks = 100
)

// timing holds the times of the answers on one way, in microseconds.
type timing struct {
	mu         sync.Mutex
	first, gap *hdrhistogram.Histogram
}

func newTiming() *timing {
	return &timing{first: hdrhistogram.New(1, 60_000_000, 3), gap: hdrhistogram.New(1, 60_000_000, 3)}
}

// watch returns a function that must be called for each part of an answer that carries tokens.
func (timing *timing) watch() func() {
	last, first := time.Now(), true
	return func() {
		now := time.Now()
		timing.mu.Lock()
		defer timing.mu.Unlock()
		if first {
			timing.first.RecordValue(now.Sub(last).Microseconds())
		} else {
			timing.gap.RecordValue(now.Sub(last).Microseconds())
		}
		last, first = now, false
	}
}

// direct asks the engine itself.
func (fleet *fleet) direct(prompt string, token func()) error {
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
			token()
		}
	}
	return lines.Err()
}

// routed asks the router.
func (fleet *fleet) routed(prompt string, token func()) error {
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
			token()
		}
	}
	return stream.Err()
}

// spread calls send count times from benchWorkers goroutines.
func spread(b *testing.B, count int, send func(number int) error) {
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

// cpuSeconds returns the processor time that a process has used.
func (process *process) cpuSeconds(b *testing.B) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	quicktest.Assert(b, err, quicktest.IsNil)
	// After the name in brackets, user and system time are the 12th and 13th fields.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	total := 0.0
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseFloat(field, 64)
		quicktest.Assert(b, err, quicktest.IsNil)
		total += ticks / clockTicks
	}
	return total
}

// BenchmarkAddedLatency compares answers through one router with answers of the engine itself. Both ways alternate within
// one run, so that a busy machine slows both. The requests a second per core are requests by processor time: that of the
// engine on the direct way, and that of the router on the other.
func BenchmarkAddedLatency(b *testing.B) {
	fleet := newFleetOf(b, 1, 1, 0)
	direct, routed := newTiming(), newTiming()
	b.ResetTimer()
	spread(b, b.N, func(number int) error {
		prompt := fmt.Sprint("latency ", number)
		if err := fleet.direct(prompt, direct.watch()); err != nil {
			return err
		}
		return fleet.routed(prompt, routed.watch())
	})
	engine, router := fleet.upstreams[0].process, fleet.nodes[0].process
	cpu := func(process *process, send func(prompt string, token func()) error) float64 {
		before := process.cpuSeconds(b)
		spread(b, b.N, func(number int) error { return send(fmt.Sprint("load ", number), func() {}) })
		return process.cpuSeconds(b) - before
	}
	engineSeconds, routerSeconds := cpu(engine, fleet.direct), cpu(router, fleet.routed)
	b.StopTimer()
	for _, shown := range []struct {
		name           string
		direct, routed *hdrhistogram.Histogram
	}{{"first", direct.first, routed.first}, {"gap", direct.gap, routed.gap}} {
		for _, percentile := range []float64{50, 99} {
			name := fmt.Sprintf("%s-p%.0f", shown.name, percentile)
			own, through := float64(shown.direct.ValueAtQuantile(percentile)), float64(shown.routed.ValueAtQuantile(percentile))
			b.ReportMetric(own/1000, "direct-"+name+"-ms")
			b.ReportMetric(through/1000, "router-"+name+"-ms")
			b.ReportMetric(through/own, name+"-ratio")
		}
	}
	if engineSeconds > 0 && routerSeconds > 0 {
		b.ReportMetric(float64(b.N)/engineSeconds, "direct-req/s/core")
		b.ReportMetric(float64(b.N)/routerSeconds, "router-req/s/core")
		b.ReportMetric(engineSeconds/routerSeconds, "req/s/core-ratio")
	}
}
