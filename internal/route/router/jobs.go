package router

import (
	"context"
	"sync"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/sched"
)

// jobs holds the model requests that this router runs on its upstreams.
type jobs struct {
	mu      sync.Mutex
	running map[clementinewind.RequestID]*job
}

// job is a model request in progress at an upstream. At most one reader relays its answer; a later reader supersedes it.
type job struct {
	// slot is nil when another router admitted the request.
	slot *sched.Slot
	// readers counts the readers that the job has had.
	readers int
	// stop ends the present reader without ending the request.
	stop context.CancelFunc
}

// reader is the right to relay the answer of a job.
type reader struct {
	jobs      *jobs
	requestID clementinewind.RequestID
	job       *job
	number    int
}

func newJobs() *jobs {
	return &jobs{running: map[clementinewind.RequestID]*job{}}
}

// start adds a job with its first reader, or supersedes the reader of a job that runs already.
func (jobs *jobs) start(requestID clementinewind.RequestID, slot *sched.Slot, stop context.CancelFunc) *reader {
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	running := jobs.running[requestID]
	switch {
	case running == nil:
		running = &job{slot: slot}
		jobs.running[requestID] = running
	case slot != nil:
		// Two resumes of one answer came at the same time; one slot is enough.
		slot.Finish(admit.ResultUnused)
	}
	if running.stop != nil {
		running.stop()
	}
	running.stop = stop
	running.readers++
	return &reader{jobs: jobs, requestID: requestID, job: running, number: running.readers}
}

// has reports whether a job runs.
func (jobs *jobs) has(requestID clementinewind.RequestID) bool {
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	return jobs.running[requestID] != nil
}

// current reports whether no later reader has superseded this one.
func (reader *reader) current() bool {
	reader.jobs.mu.Lock()
	defer reader.jobs.mu.Unlock()
	return reader.job.readers == reader.number
}

// finish removes the job and returns true, unless a later reader has superseded this one.
func (reader *reader) finish() bool {
	reader.jobs.mu.Lock()
	defer reader.jobs.mu.Unlock()
	if reader.job.readers != reader.number {
		return false
	}
	delete(reader.jobs.running, reader.requestID)
	return true
}
