package bench

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
)

// engine simulates a model engine with continuous batching. A warm engine runs engineSlots answers at the full rate; a
// cold one has a lower capacity. An engine that receives more than its capacity restarts and resets all connections.
type engine struct {
	fleet   *fleet
	name    clementinewind.Upstream
	zone    int
	running map[*job]bool
	// boots counts the restarts. coldSince is when the engine became cold; zero means that it is warm.
	boots     int
	coldSince time.Time
	// slowPromptsLeft is the number of prompts that are still slow after the loss of the cache.
	slowPromptsLeft int
	// silent holds the jobs of running that a restart has ended but whose connection has not been closed yet.
	silent map[*job]bool
	// leftAt is when operators took the engine out of service; zero means that it is in service.
	leftAt time.Time
	// load is the sample that the next report returns.
	load admit.Load
}

// job is one request in the simulation.
type job struct {
	organisation *organisation
	// cost is the length of the complete answer in tokens, and estimate the length that the scheduler expects.
	cost     float64
	estimate float64
	router   *router
	attempt  int
	queuedAt time.Time
	withdraw func() bool
	waiting  bool
	// servedTokens is the length of the answer when decoding stopped.
	servedTokens  float64
	decodingSince time.Time
	decoding      bool
	engine        *engine
	// epoch invalidates events of earlier attempts.
	epoch int
	// orphaned says that the owner was lost; the next owner resumes the answer.
	orphaned       bool
	finish         func(result admit.Result)
	reportProgress func()
	firstToken     func()
}

// capacity returns the number of requests that the engine can run together now.
func (engine *engine) capacity() int {
	if engine.coldSince.IsZero() {
		return engineSlots
	}
	age := float64(time.Since(engine.coldSince)) / float64(coldDoublingTime)
	capacity := coldSlots * math.Pow(2, age)
	if capacity >= engineSlots {
		engine.coldSince = time.Time{}
		return engineSlots
	}
	return int(capacity)
}

// accept starts a job. It counts requests that come too late after the engine's removal, and overloads.
func (engine *engine) accept(job *job) {
	fleet := engine.fleet
	if !engine.leftAt.IsZero() && time.Since(engine.leftAt) > removalGrace {
		fleet.result.LateSends++
	}
	engine.running[job] = true
	job.engine = engine
	if fresh := len(engine.running) - len(engine.silent); fresh > engine.capacity() {
		fleet.result.Overloads++
		engine.restart(true)
		return
	}
	wait := time.Duration(float64(prefillTime) * (0.5 + fleet.random.Float64()))
	if engine.slowPromptsLeft > 0 || !engine.coldSince.IsZero() {
		engine.slowPromptsLeft = max(engine.slowPromptsLeft-1, 0)
		wait *= slowPrefillFactor
	}
	epoch := job.epoch
	fleet.after(wait, func() {
		if job.epoch != epoch || !engine.running[job] || engine.silent[job] {
			return
		}
		engine.decode(job, epoch)
	})
}

func (engine *engine) decode(job *job, epoch int) {
	fleet := engine.fleet
	job.startDecoding()
	fleet.after(linkDelay, func() {
		if job.epoch == epoch && job.firstToken != nil {
			job.firstToken()
		}
	})
	fleet.after(time.Duration(job.cost/tokensPerSecond*float64(time.Second)), func() {
		if job.epoch != epoch || !engine.running[job] || engine.silent[job] {
			return
		}
		delete(engine.running, job)
		job.stopDecoding()
		fleet.after(linkDelay, func() { job.end(epoch, admit.ResultCompleted) })
	})
	engine.scheduleProgress(job, epoch)
}

func (engine *engine) scheduleProgress(job *job, epoch int) {
	engine.fleet.after(500*time.Millisecond, func() {
		if job.epoch != epoch || !job.decoding {
			return
		}
		if job.reportProgress != nil {
			job.reportProgress()
		}
		engine.scheduleProgress(job, epoch)
	})
}

func (job *job) startDecoding() {
	job.organisation.settle()
	job.organisation.decoding++
	job.decoding = true
	job.decodingSince = time.Now()
}

func (job *job) stopDecoding() {
	if !job.decoding {
		return
	}
	job.organisation.settle()
	job.organisation.decoding--
	job.decoding = false
	job.servedTokens = time.Since(job.decodingSince).Seconds() * tokensPerSecond
}

// tokens returns the length of the answer so far.
func (job *job) tokens() float64 {
	if job.decoding {
		return min(time.Since(job.decodingSince).Seconds()*tokensPerSecond, job.cost)
	}
	return job.servedTokens
}

// restart ends all answers and starts the engine cold. Without resets the connections stay open and silent until the
// idle timeout.
func (engine *engine) restart(resets bool) {
	fleet := engine.fleet
	engine.boots++
	engine.coldSince = time.Now()
	engine.slowPromptsLeft = 0
	delay := linkDelay
	if !resets {
		delay = streamIdleTimeout
	}
	for _, job := range sortedJobs(engine.running) {
		if engine.silent[job] {
			continue
		}
		job.stopDecoding()
		engine.silent[job] = true
		epoch := job.epoch
		fleet.after(delay, func() {
			delete(engine.running, job)
			delete(engine.silent, job)
			job.end(epoch, admit.ResultReset)
		})
	}
}

// loseCache slows the next prompts, as the loss of the prefix cache does, and ends no answer.
func (engine *engine) loseCache() {
	engine.slowPromptsLeft = 20
}

// report returns the load sampled one report interval ago and samples the current load for the next report.
func (engine *engine) report() admit.Load {
	aged := engine.load
	engine.load = admit.Load{
		Boot: string(rune('a' + engine.boots)), Running: len(engine.running) - len(engine.silent), CachedTokens: -1,
	}
	return aged
}
