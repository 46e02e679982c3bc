package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// shortestPause and longestPause bound the time between two faults; faults last up to longestFault, so that they overlap.
	shortestPause = 200 * time.Millisecond
	longestPause  = 1500 * time.Millisecond
	longestFault  = 3 * time.Second
	// lingerTime is how long an upstream goes on after it said that it leaves.
	lingerTime = 3500 * time.Millisecond
	// lapseTime is how long the entry of a crashed upstream stays.
	lapseTime = 3 * heartbeat
	// slowStore is the answer time of a slow store.
	slowStore = 300 * time.Millisecond
)

// fault is one kind of trouble. It returns what it did.
type fault struct {
	name   string
	inject func(run *run, random *rand.Rand, lasts time.Duration) string
}

func faults() []fault {
	return []fault{
		{"pause", standStill},
		{"kill", kill},
		{"terminate", terminate},
		{"reload", reload},
		{"kill all", killAll},
		{"store", storeFault},
		{"store cut", storeCut},
		{"store forgets", storeForgets},
		{"crash", crash},
		{"leave", leave},
		{"failing", failing},
		{"network", network},
		{"reset", resetLinks},
		{"key", replaceKey},
		{"configuration", configure},
	}
}

// disturb injects faults until the context ends.
func (run *run) disturb(ctx context.Context) {
	random := rand.New(rand.NewPCG(run.config.Seed, 0))
	kinds := faults()
	for {
		wait := shortestPause + time.Duration(random.Int64N(int64(longestPause-shortestPause)))
		if pause.For(ctx, wait) != nil {
			return
		}
		kind := kinds[random.IntN(len(kinds))]
		lasts := time.Duration(random.Int64N(int64(longestFault)))
		run.note("%s: %s", kind.name, kind.inject(run, random, lasts))
	}
}

func (run *run) router(random *rand.Rand) *router { return run.routers[random.IntN(len(run.routers))] }

func standStill(run *run, random *rand.Rand, lasts time.Duration) string {
	router := run.router(random)
	process := router.signal(syscall.SIGSTOP, false)
	run.checker.disturb(time.Now().Add(lasts))
	run.later(lasts, func() { _ = process.Signal(syscall.SIGCONT) })
	return fmt.Sprintf("router %d for %v", router.number, lasts)
}

func kill(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.router(random)
	router.signal(syscall.SIGKILL, true)
	return fmt.Sprintf("router %d", router.number)
}

func killAll(run *run, _ *rand.Rand, _ time.Duration) string {
	for _, router := range run.routers {
		router.signal(syscall.SIGKILL, true)
	}
	return "all routers"
}

func terminate(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.router(random)
	router.terminate()
	return fmt.Sprintf("router %d", router.number)
}

func reload(run *run, random *rand.Rand, _ time.Duration) string {
	router := run.router(random)
	router.signal(syscall.SIGHUP, false)
	return fmt.Sprintf("router %d", router.number)
}

func storeFault(run *run, random *rand.Rand, lasts time.Duration) string {
	kinds := map[string]func(writer http.ResponseWriter, request *http.Request) bool{
		"down": func(writer http.ResponseWriter, _ *http.Request) bool {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		},
		"slow":   func(http.ResponseWriter, *http.Request) bool { time.Sleep(slowStore); return false },
		"resets": func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) },
		"silent": func(_ http.ResponseWriter, request *http.Request) bool { <-request.Context().Done(); return true },
	}
	name := []string{"down", "slow", "resets", "silent"}[random.IntN(len(kinds))]
	run.world.store.SetFault(kinds[name])
	run.checker.disturb(time.Now().Add(lasts))
	run.later(lasts, func() { run.world.store.SetFault(nil) })
	return fmt.Sprintf("%s for %v", name, lasts)
}

func storeCut(run *run, random *rand.Rand, lasts time.Duration) string {
	router := run.router(random)
	mode := []proxyMode{proxyDelay, proxySilent, proxyOneWay}[random.IntN(3)]
	router.proxy.set(mode)
	run.checker.disturb(time.Now().Add(lasts))
	run.later(lasts, func() { router.proxy.set(proxyPass) })
	return fmt.Sprintf("%v between router %d and the store for %v", mode, router.number, lasts)
}

func storeForgets(run *run, _ *rand.Rand, _ time.Duration) string {
	run.world.forgetHistory()
	return "all history"
}

func crash(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.world.pick(random)
	if upstream == nil {
		return "no upstream to spare"
	}
	upstream.crash()
	close(upstream.stop)
	upstream.mutex.Lock()
	upstream.left = time.Now()
	upstream.mutex.Unlock()
	run.later(lapseTime, func() { run.world.forget(upstream) })
	run.replaceUpstream()
	return upstream.name
}

func leave(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.world.pick(random)
	if upstream == nil {
		return "no upstream to spare"
	}
	run.replaceUpstream()
	upstream.leave()
	run.later(lingerTime, func() {
		run.world.forget(upstream)
		upstream.crash()
	})
	return upstream.name
}

func failing(run *run, random *rand.Rand, lasts time.Duration) string {
	upstream := run.world.pick(random)
	if upstream == nil {
		return "no upstream to spare"
	}
	upstream.setFailing(true)
	run.later(lasts, func() { upstream.setFailing(false) })
	return fmt.Sprintf("%s for %v", upstream.name, lasts)
}

func network(run *run, random *rand.Rand, lasts time.Duration) string {
	upstream := run.world.pick(random)
	if upstream == nil {
		return "no upstream to spare"
	}
	mode := []proxyMode{proxyDelay, proxySilent, proxyOneWay}[random.IntN(3)]
	upstream.proxy.set(mode)
	run.later(lasts, func() { upstream.proxy.set(proxyPass) })
	return fmt.Sprintf("%v before %s for %v", mode, upstream.name, lasts)
}

func resetLinks(run *run, random *rand.Rand, _ time.Duration) string {
	upstream := run.world.pick(random)
	if upstream == nil {
		return "no upstream to spare"
	}
	upstream.proxy.reset()
	return upstream.name
}

func replaceKey(run *run, random *rand.Rand, _ time.Duration) string {
	run.world.replaceKey(random)
	return "one taken away, one given"
}

func configure(run *run, _ *rand.Rand, _ time.Duration) string {
	run.world.configure()
	return "the next version"
}
