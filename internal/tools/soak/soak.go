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
	// startTime is how long routers may take to be ready at the start, recoverTime after the last fault.
	startTime   = 15 * time.Second
	recoverTime = 12 * time.Second
	// probeCount requests are sent after the recovery, of which probeShare must be served.
	probeCount = 40
	probeShare = 0.9
	readyPause = 50 * time.Millisecond
)

// Config configures a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Routers  int
	// Binary is the program whose command entry runs a router.
	Binary string
	// Folder takes settings and logs.
	Folder string
	// Out gets a line for each fault.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Outcomes map[string]int
	// Broken names each promise that did not hold.
	Broken []string
}

// String returns one line, and one more for each broken promise.
func (report Report) String() string {
	names := make([]string, 0, len(report.Outcomes))
	total := 0
	for name, count := range report.Outcomes {
		names = append(names, fmt.Sprintf("%s: %d", name, count))
		total += count
	}
	slices.Sort(names)
	lines := append([]string{
		fmt.Sprintf("seed %d: %d requests (%s), %d broken promises", report.Seed, total, strings.Join(names, ", "), len(report.Broken)),
	}, report.Broken...)
	return strings.Join(lines, "\n")
}

type run struct {
	config  Config
	world   *world
	checker *checker
	routers []*router

	// pending are the ends of faults.
	pending sync.WaitGroup
}

// Run starts the processes, injects faults for the duration, waits for the recovery and ends what it started.
func Run(ctx context.Context, config Config) (Report, error) {
	checker := newChecker()
	world, err := newWorld(checker)
	if err != nil {
		return Report{}, errors.Wrap(err, "start the stand-ins")
	}
	defer world.close()
	run := &run{config: config, world: world, checker: checker}
	defer run.closeRouters()
	for number := range config.Routers {
		router, err := startRouter(config, number, world, checker)
		if err != nil {
			return Report{}, err
		}
		run.routers = append(run.routers, router)
	}
	if err := run.awaitReady(ctx, startTime); err != nil {
		return Report{}, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for number := range clientCount {
		clients.Go(func() { newClient(run, number+1).loop(clientCtx) })
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, config.Duration)
	run.disturb(faultCtx)
	stopFaults()
	run.pending.Wait()
	if err := run.awaitReady(ctx, recoverTime); err != nil {
		checker.breakf("no recovery: %v", err)
	}
	stopClients()
	clients.Wait()
	run.probe(ctx)
	checker.finish()
	return Report{Seed: config.Seed, Outcomes: checker.outcomes, Broken: checker.broken}, ctx.Err()
}

func (run *run) note(format string, args ...any) {
	fmt.Fprintf(run.config.Out, "%8.3f "+format+"\n", append([]any{time.Since(run.checker.began).Seconds()}, args...)...)
}

// later ends a fault after a time.
func (run *run) later(after time.Duration, end func()) {
	run.pending.Go(func() {
		time.Sleep(after)
		end()
	})
}

func (run *run) replaceUpstream() {
	if err := run.world.addUpstream(); err != nil {
		run.note("no new upstream: %v", err)
	}
}

// process names the process that serves an address now.
func (run *run) process(address string) string {
	for _, router := range run.routers {
		if strings.HasPrefix(address, router.address.String()+":") {
			return fmt.Sprintf("router-%d.%d", router.number, router.current())
		}
	}
	return address
}

func (run *run) closeRouters() {
	for _, router := range run.routers {
		router.close()
	}
}

// awaitReady waits until every router says that it is ready.
func (run *run) awaitReady(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, router := range run.routers {
		for !isReady(ctx, router) {
			select {
			case <-ctx.Done():
				return errors.Errorf("router %d is not ready after %v", router.number, wait)
			case <-time.After(readyPause):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, router *router) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTime)
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

// probe checks that the fleet serves again after the last fault.
func (run *run) probe(ctx context.Context) {
	client := newClient(run, 0)
	served := 0
	for number := range probeCount {
		id := fmt.Sprintf("probe-%d", number)
		router := run.routers[number%len(run.routers)]
		run.checker.sent(id, false)
		run.world.mutex.Lock()
		key := run.world.keys[0]
		run.world.mutex.Unlock()
		address := strings.TrimPrefix(router.url(callerPort, ""), "http://")
		if status, body, err := client.send(ctx, address, pathIdempotent, id, key); err == nil && status == http.StatusOK && body == id {
			served++
		}
	}
	if float64(served) < probeShare*probeCount {
		run.checker.breakf("%d of %d requests were served after the recovery", served, probeCount)
	}
}
