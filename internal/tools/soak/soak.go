package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// startTimeout limits how long routers take to become ready at the start, recoveryTimeout after the last fault.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 12 * time.Second
	// probeCount requests are sent after the recovery; at least minProbeShare of them must be served.
	probeCount        = 40
	minProbeShare     = 0.9
	readyPollInterval = 50 * time.Millisecond
)

// Config configures a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Routers  int
	// Binary is the path of the clementinewind program, whose command entry runs a router.
	Binary string
	// Folder is where the settings and logs of the routers are written.
	Folder string
	// Out receives a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Outcomes map[string]int
	// Violations describes each violation of a guarantee.
	Violations []string
}

// String returns a summary line and a line for each violation.
func (report Report) String() string {
	names := make([]string, 0, len(report.Outcomes))
	total := 0
	for name, count := range report.Outcomes {
		names = append(names, fmt.Sprintf("%s: %d", name, count))
		total += count
	}
	slices.Sort(names)
	lines := append([]string{
		fmt.Sprintf("seed %d: %d requests (%s), %d violated guarantees", report.Seed, total, strings.Join(names, ", "), len(report.Violations)),
	}, report.Violations...)
	return strings.Join(lines, "\n")
}

type run struct {
	config      Config
	environment *environment
	checker     *checker
	routers     []*router

	// pendingFaults are the faults whose end is scheduled.
	pendingFaults sync.WaitGroup
}

// Run starts the processes, injects faults for config.Duration, checks the recovery and stops all processes.
func Run(ctx context.Context, config Config) (Report, error) {
	checker := newChecker()
	environment, err := newEnvironment(checker)
	if err != nil {
		return Report{}, errors.Wrap(err, "start the simulated platform")
	}
	defer environment.close()
	run := &run{config: config, environment: environment, checker: checker}
	defer run.closeRouters()
	for number := range config.Routers {
		router, err := startRouter(config, number, environment, checker)
		if err != nil {
			return Report{}, err
		}
		run.routers = append(run.routers, router)
	}
	if err := run.awaitReady(ctx, startTimeout); err != nil {
		return Report{}, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for number := range clientCount {
		clients.Go(func() { newClient(run, number+1).loop(clientCtx) })
	}
	for _, router := range run.routers {
		clients.Go(func() { newConfigurationProbe(run, router).loop(clientCtx) })
	}
	clients.Go(func() { run.operate(clientCtx) })
	faultCtx, stopFaults := context.WithTimeout(ctx, config.Duration)
	run.injectFaults(faultCtx)
	stopFaults()
	run.pendingFaults.Wait()
	if err := run.awaitReady(ctx, recoveryTimeout); err != nil {
		checker.reportf("no recovery from the last fault: %v", err)
	}
	stopClients()
	clients.Wait()
	run.probe(ctx)
	checker.checkRuns()
	return Report{Seed: config.Seed, Outcomes: checker.outcomes, Violations: checker.violations}, ctx.Err()
}

func (run *run) logf(format string, args ...any) {
	fmt.Fprintf(run.config.Out, "%8.3f "+format+"\n", append([]any{time.Since(run.checker.started).Seconds()}, args...)...)
}

// scheduleEnd calls end, which ends a fault, after a delay.
func (run *run) scheduleEnd(after time.Duration, end func()) {
	run.pendingFaults.Go(func() {
		time.Sleep(after)
		end()
	})
}

func (run *run) replaceUpstream() {
	if err := run.environment.addUpstream(); err != nil {
		run.logf("failed to add an upstream: %v", err)
	}
}

// processName names the router and incarnation that currently serves an address.
func (run *run) processName(address string) string {
	for _, router := range run.routers {
		if strings.HasPrefix(address, router.address.String()+":") {
			return fmt.Sprintf("router-%d.%d", router.number, router.currentIncarnation())
		}
	}
	return address
}

func (run *run) closeRouters() {
	for _, router := range run.routers {
		router.close()
	}
}

// awaitReady waits until the readiness check of every router succeeds.
func (run *run) awaitReady(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, router := range run.routers {
		for !isReady(ctx, router) {
			select {
			case <-ctx.Done():
				return errors.Errorf("router %d is not ready after %v", router.number, wait)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, router *router) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, router.url(readyPort, "/api/ready"), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// probe checks that the routers serve requests after the recovery.
func (run *run) probe(ctx context.Context) {
	client := newClient(run, 0)
	served := 0
	for number := range probeCount {
		id := fmt.Sprintf("probe-%d", number)
		router := run.routers[number%len(run.routers)]
		run.checker.recordSent(id, false)
		run.environment.mutex.Lock()
		key := run.environment.keys[0]
		run.environment.mutex.Unlock()
		address := strings.TrimPrefix(router.url(callerPort, ""), "http://")
		if status, body, err := client.send(ctx, address, pathIdempotent, id, key, 0); err == nil && status == http.StatusOK && body == id {
			served++
		}
	}
	if float64(served) < minProbeShare*probeCount {
		run.checker.reportf("%d of %d requests were served after the recovery", served, probeCount)
	}
}
