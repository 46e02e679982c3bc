package bench

import (
	"math"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
)

// engine is a model engine with continuous batching. A warm engine runs engineSlots answers at full pace. A cold one
// carries few and resets everything when it gets more.
type engine struct {
	fleet   *fleet
	name    clementinewind.Upstream
	zone    int
	running map[*job]bool
	// boot counts the starts. coldFrom is when the engine became cold; zero means that it is warm.
	boot     int
	coldFrom time.Time
	// slowLeft is the number of prompts that are slow because the cache is lost.
	slowLeft int
	silent   map[*job]bool
	// leftAt is when operators took the engine out of service.
	leftAt time.Time
	load   admit.Load
}

// job is one request in the simulation.
type job struct {
	organisation *organisation
	cost         float64
	estimate     float64
	router       *router
	attempt      int
	queuedAt     time.Time
	withdraw     func() bool
	waiting      bool
	// served is the part of the answer that exists.
	served   float64
	started  time.Time
	decoding bool
	engine   *engine
	// epoch invalidates events of earlier attempts.
	epoch int
	// orphan says that the owner was lost; the next owner resumes the answer.
	orphan bool
	finish func(result admit.Result)
	touch  func()
	first  func()
}

// carries returns the number of requests that the engine carries now.
func (engine *engine) carries() int {
	if engine.coldFrom.IsZero() {
		return engineSlots
	}
	age := float64(time.Since(engine.coldFrom)) / float64(coldDoubling)
	carried := coldSlots * math.Pow(2, age)
	if carried >= engineSlots {
		engine.coldFrom = time.Time{}
		return engineSlots
	}
	return int(carried)
}

// accept starts a job.
func (engine *engine) accept(job *job) {
	fleet := engine.fleet
	if !engine.leftAt.IsZero() && time.Since(engine.leftAt) > lateTime {
		fleet.result.LateSends++
	}
	engine.running[job] = true
	job.engine = engine
	if fresh := len(engine.running) - len(engine.silent); fresh > engine.carries() {
		fleet.result.Overloads++
		engine.restart(true)
		return
	}
	wait := time.Duration(float64(prefillTime) * (0.5 + fleet.random.Float64()))
	if engine.slowLeft > 0 || !engine.coldFrom.IsZero() {
		engine.slowLeft = max(engine.slowLeft-1, 0)
		wait *= slowPrefill
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
		if job.epoch == epoch && job.first != nil {
			job.first()
		}
	})
	fleet.after(time.Duration(job.cost/tokenRate*float64(time.Second)), func() {
		if job.epoch != epoch || !engine.running[job] || engine.silent[job] {
			return
		}
		delete(engine.running, job)
		job.stopDecoding()
		fleet.after(linkDelay, func() { job.end(epoch, admit.ResultCompleted) })
	})
	engine.progress(job, epoch)
}

func (engine *engine) progress(job *job, epoch int) {
	engine.fleet.after(500*time.Millisecond, func() {
		if job.epoch != epoch || !job.decoding {
			return
		}
		if job.touch != nil {
			job.touch()
		}
		engine.progress(job, epoch)
	})
}

func (job *job) startDecoding() {
	job.organisation.settle()
	job.organisation.decoding++
	job.decoding = true
	job.started = time.Now()
}

func (job *job) stopDecoding() {
	if !job.decoding {
		return
	}
	job.organisation.settle()
	job.organisation.decoding--
	job.decoding = false
	job.served = time.Since(job.started).Seconds() * tokenRate
}

// tokens returns the length of the answer so far.
func (job *job) tokens() float64 {
	if job.decoding {
		return min(time.Since(job.started).Seconds()*tokenRate, job.cost)
	}
	return job.served
}

// restart ends all answers and starts the engine cold. Without resets the connections stay open but silent.
func (engine *engine) restart(resets bool) {
	fleet := engine.fleet
	engine.boot++
	engine.coldFrom = time.Now()
	engine.slowLeft = 0
	delay := linkDelay
	if !resets {
		delay = silenceTime
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

// loseCache makes the engine cold without ending answers.
func (engine *engine) loseCache() {
	engine.slowLeft = 20
}

// report returns the load of the last report time and takes the next sample.
func (engine *engine) report() admit.Load {
	aged := engine.load
	engine.load = admit.Load{
		Boot: string(rune('a' + engine.boot)), Running: len(engine.running) - len(engine.silent), CachedTokens: -1,
	}
	return aged
}
