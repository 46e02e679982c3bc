package canary

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Sent is a request that was placed at an upstream.
type Sent struct {
	Route string
	Entry table.Entry
	// UncachedTokens are the prompt tokens that the upstream has not cached. Cold is set if it has just started.
	UncachedTokens int
	Cold           bool
}

// observer records the answer to one request.
type observer struct {
	registry *Registry
	rollout  uint64
	sent     Sent
	target   bool
	sentAt   time.Time
	// latency is the normalised time to the first event, 0 before it.
	latency float64
}

// Record records a request of a service and returns what records its answer; nil if no roll-out needs it.
func (registry *Registry) Record(sent Sent, now time.Time) board.Observer {
	if registry.idle() {
		return nil
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	rollout, ok := registry.rollouts[sent.Entry.Service]
	if !ok || !rollout.open() {
		return nil
	}
	target := sent.Entry.Version == rollout.applied.target
	if rollout.applied.mode == modeShare {
		// The credit of a router never exceeds one request, so that a change of the stage sends no burst to the target.
		rollout.sent++
		rollout.credit = min(rollout.credit+registry.share(rollout.applied.stage), 1)
		if target {
			rollout.credit--
			rollout.sentToTarget++
		}
	}
	return &observer{registry: registry, rollout: rollout.id(), sent: sent, target: target, sentAt: now}
}

// FirstEvent implements board.Observer.
func (observer *observer) FirstEvent(now time.Time) {
	if observer.latency == 0 {
		observer.latency = normalise(now.Sub(observer.sentAt), observer.sent.UncachedTokens)
	}
}

// End implements board.Observer. Only whole answers, failures and answers that broke off say something of a version.
func (observer *observer) End(result board.Result, now time.Time) {
	if result != board.ResultServed && result != board.ResultFailed {
		return
	}
	registry := observer.registry
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	rollout, ok := registry.rollouts[observer.sent.Entry.Service]
	if !ok || !rollout.open() || rollout.id() != observer.rollout {
		return
	}
	route := hash(observer.sent.Route)
	bad := result == board.ResultFailed
	if observer.latency > 0 {
		bad = rollout.recordLatency(route, observer) || bad
	}
	rollout.record(route, observer, bad, now)
}

// recordLatency reports whether an answer was slow. Upstreams that have just started are slow whatever they run.
func (rollout *rollout) recordLatency(route uint32, observer *observer) bool {
	known, ok := rollout.latencies[route]
	if !ok {
		known = &latencies{}
		rollout.latencies[route] = known
	}
	slow := !observer.sent.Cold && known.slow(observer.latency)
	if !observer.target {
		known.add(observer.latency)
	}
	return slow
}

func (rollout *rollout) record(route uint32, observer *observer, bad bool, now time.Time) {
	count, badCount := rollout.counts[route], uint32(0)
	if bad {
		badCount = 1
	}
	if !observer.target {
		count.OldAnswers++
		count.OldBad += badCount
		rollout.counts[route] = count
		return
	}
	count.Answers++
	count.Bad += badCount
	rollout.counts[route] = count
	name := hash(string(observer.sent.Entry.Upstream))
	known, ok := rollout.upstreams[name]
	if !ok {
		known = &upstreamCounts{answers: usage.NewDecayingSum(upstreamWindow), bad: usage.NewDecayingSum(upstreamWindow)}
		rollout.upstreams[name] = known
	}
	known.answers.Add(1, now)
	known.bad.Add(float64(badCount), now)
}

func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
