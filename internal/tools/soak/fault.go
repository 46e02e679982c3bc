package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// Faults follow each other at random intervals and last up to maxFaultDuration, so that they overlap.
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 1500 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// leaveStopDelay is how long an upstream keeps serving after it announced that it leaves.
	leaveStopDelay = 3500 * time.Millisecond
	// crashedEntryLifetime is how long the entry of a crashed upstream stays in the store.
	crashedEntryLifetime = 3 * heartbeatInterval
	// slowStoreDelay is the response time of a slow store.
	slowStoreDelay = 300 * time.Millisecond
	// maxCopyAge is how old the copy is from which the store returns at most, maxReturnTime how long it is away.
	maxCopyAge    = 5 * time.Second
	maxReturnTime = time.Second
)

// fault is one kind of fault. inject injects it and returns a description for the log. Faults that end by themselves last for
// the given duration; the others ignore it.
type fault struct {
	name   string
	inject func(run *run, random *rand.Rand, duration time.Duration) string
}

func faults() []fault {
	return []fault{
		{"pause", pauseRouter},
		{"kill", killRouter},
		{"terminate", terminateRouter},
		{"reload", reloadRouter},
		{"kill all", killAllRouters},
		{"store", failStore},
		{"store cut", disruptStoreNetwork},
		{"store forgets", dropStoreHistory},
		{"store returns", returnStoreFromCopy},
		{"crash", crashUpstream},
		{"leave", makeUpstreamLeave},
		{"failing", failUpstream},
		{"network", disruptUpstreamNetwork},
		{"reset", resetUpstreamConnections},
		{"key", rotateKey},
		{"configuration", publishConfiguration},
	}
}

// injectFaults injects random faults until the context ends.
func (run *run) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(run.config.Seed, 0))
	kinds := faults()
	for {
		wait := minFaultInterval + time.Duration(random.Int64N(int64(maxFaultInterval-minFaultInterval)))
		if pause.For(ctx, wait) != nil {
			return
		}
		kind := kinds[random.IntN(len(kinds))]
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		run.logf("%s: %s", kind.name, kind.inject(run, random, duration))
	}
}

func (run *run) randomRouter(random *rand.Rand) *router {
	return run.routers[random.IntN(len(run.routers))]
}

func pauseRouter(run *run, random *rand.Rand, duration time.Duration) string {
	router := run.randomRouter(random)
	process := router.signal(syscall.SIGSTOP, false)
	run.checker.excuseUntil(time.Now().Add(duration))
	router.touch.disturbUntil(time.Now().Add(duration))
	run.scheduleEnd(duration, func() { _ = process.Signal(syscall.SIGCONT) })
	return fmt.Sprintf("router %d for %v", router.number, duration)
}

func killRouter(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.randomRouter(random)
	router.signal(syscall.SIGKILL, true)
	return fmt.Sprintf("router %d", router.number)
}

func killAllRouters(run *run, _ *rand.Rand, _ time.Duration) string {
	for _, router := range run.routers {
		router.signal(syscall.SIGKILL, true)
	}
	return "all routers"
}

func terminateRouter(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.randomRouter(random)
	router.terminate()
	return fmt.Sprintf("router %d", router.number)
}

func reloadRouter(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.randomRouter(random)
	router.signal(syscall.SIGHUP, false)
	return fmt.Sprintf("router %d", router.number)
}

func failStore(run *run, random *rand.Rand, duration time.Duration) string {
	kinds := map[string]func(writer http.ResponseWriter, request *http.Request) bool{
		"down": func(writer http.ResponseWriter, _ *http.Request) bool {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"slow":   func(http.ResponseWriter, *http.Request) bool { time.Sleep(slowStoreDelay); return false },
		"resets": func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) },
		"silent": func(_ http.ResponseWriter, request *http.Request) bool { <-request.Context().Done(); return true },
	}
	name := []string{"down", "slow", "resets", "silent"}[random.IntN(len(kinds))]
	run.environment.store.SetFault(kinds[name])
	run.checker.excuseUntil(time.Now().Add(duration))
	run.environment.touch.disturbUntil(time.Now().Add(duration))
	run.scheduleEnd(duration, func() { run.environment.store.SetFault(nil) })
	return fmt.Sprintf("%s for %v", name, duration)
}

func disruptStoreNetwork(run *run, random *rand.Rand, duration time.Duration) string {
	router := run.randomRouter(random)
	modes := []proxyMode{proxyDelay, proxySilent, proxyOneWay, proxyRefuse}
	mode := modes[random.IntN(len(modes))]
	router.proxy.setMode(mode)
	run.checker.excuseUntil(time.Now().Add(duration))
	router.touch.disturbUntil(time.Now().Add(duration))
	run.scheduleEnd(duration, func() { router.proxy.setMode(proxyPass) })
	return fmt.Sprintf("%v between router %d and the store for %v", mode, router.number, duration)
}

func dropStoreHistory(run *run, _ *rand.Rand, _ time.Duration) string {
	run.environment.dropHistory()
	return "all topics"
}

// returnStoreFromCopy resets the connections to the store, which is then a copy of up to maxCopyAge.
func returnStoreFromCopy(run *run, random *rand.Rand, duration time.Duration) string {
	age := time.Duration(random.Int64N(int64(maxCopyAge)))
	away := min(duration, maxReturnTime)
	run.environment.store.SetFault(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	run.checker.excuseUntil(time.Now().Add(away))
	run.environment.touch.disturbUntil(time.Now().Add(away))
	run.scheduleEnd(away, func() {
		run.environment.store.ReturnFromCopy(age, platform.TopicOperator, platform.TopicUpstreams)
		run.environment.store.SetFault(nil)
		run.environment.touch.disturbUntil(time.Now())
	})
	return fmt.Sprintf("from a copy %v old, after %v", age, away)
}

func crashUpstream(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.environment.randomUpstream(random)
	if upstream == nil {
		return "not injected, too few upstreams"
	}
	upstream.crash()
	close(upstream.stopHeartbeats)
	upstream.mutex.Lock()
	upstream.left = time.Now()
	upstream.mutex.Unlock()
	run.scheduleEnd(crashedEntryLifetime, func() { run.environment.removeUpstream(upstream) })
	run.replaceUpstream()
	return upstream.name
}

func makeUpstreamLeave(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.environment.randomUpstream(random)
	if upstream == nil {
		return "not injected, too few upstreams"
	}
	run.replaceUpstream()
	upstream.announceLeave()
	run.scheduleEnd(leaveStopDelay, func() {
		run.environment.removeUpstream(upstream)
		upstream.crash()
	})
	return upstream.name
}

func failUpstream(run *run, random *rand.Rand, duration time.Duration) string {
	upstream := run.environment.randomUpstream(random)
	if upstream == nil {
		return "not injected, too few upstreams"
	}
	upstream.setFailing(true)
	run.scheduleEnd(duration, func() { upstream.setFailing(false) })
	return fmt.Sprintf("%s for %v", upstream.name, duration)
}

func disruptUpstreamNetwork(run *run, random *rand.Rand, duration time.Duration) string {
	upstream := run.environment.randomUpstream(random)
	if upstream == nil {
		return "not injected, too few upstreams"
	}
	mode := []proxyMode{proxyDelay, proxySilent, proxyOneWay}[random.IntN(3)]
	upstream.proxy.setMode(mode)
	run.scheduleEnd(duration, func() { upstream.proxy.setMode(proxyPass) })
	return fmt.Sprintf("%v between the routers and %s for %v", mode, upstream.name, duration)
}

func resetUpstreamConnections(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.environment.randomUpstream(random)
	if upstream == nil {
		return "not injected, too few upstreams"
	}
	upstream.proxy.reset()
	return upstream.name
}

func rotateKey(run *run, random *rand.Rand, _ time.Duration) string {
	run.environment.rotateKey(random)
	return "one API key replaced"
}

func publishConfiguration(run *run, _ *rand.Rand, _ time.Duration) string {
	run.environment.publishConfiguration()
	return "the next version"
}
