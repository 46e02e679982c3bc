package entry

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

// sharedRead shares reads of the store among requests. Each caller of Do gets the result of a read that began after its call.
type sharedRead struct {
	read func(ctx context.Context) error
	// interval returns the shortest time between the starts of two reads.
	interval func() time.Duration

	mutex   sync.Mutex
	next    *readResult
	running bool
	began   time.Time
}

type readResult struct {
	done chan struct{}
	err  error
}

// Do reads, or waits for the next read of another caller. The error is that of the read, or of ctx.
func (sharedRead *sharedRead) Do(ctx context.Context) error {
	sharedRead.mutex.Lock()
	result := sharedRead.next
	if result == nil {
		result = &readResult{done: make(chan struct{})}
		sharedRead.next = result
		if !sharedRead.running {
			sharedRead.running = true
			// The read serves other callers too, so that it does not end with the context of the first one.
			go sharedRead.run(context.WithoutCancel(ctx))
		}
	}
	sharedRead.mutex.Unlock()
	select {
	case <-result.done:
		return result.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads while there are callers.
func (sharedRead *sharedRead) run(ctx context.Context) {
	for {
		sharedRead.mutex.Lock()
		wait := sharedRead.interval() - time.Since(sharedRead.began)
		sharedRead.mutex.Unlock()
		// The context does not end.
		_ = pause.For(ctx, wait)
		sharedRead.mutex.Lock()
		result := sharedRead.next
		sharedRead.next = nil
		if result == nil {
			sharedRead.running = false
			sharedRead.mutex.Unlock()
			return
		}
		sharedRead.began = time.Now()
		sharedRead.mutex.Unlock()
		result.err = sharedRead.read(ctx)
		close(result.done)
	}
}

// notify wakes the receiver of a channel with room for one element, unless it is to wake already.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
