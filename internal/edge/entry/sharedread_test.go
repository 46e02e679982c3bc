package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a caller that gets the result of a read that began before its call, which may lack what it is to find, and against one read for each
// caller.
func TestSharedReadBeginsAfterCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		shared := &sharedRead{
			read: func(context.Context) error {
				reads.Add(1)
				time.Sleep(100 * time.Millisecond)
				return nil
			},
			interval: func() time.Duration { return 20 * time.Millisecond },
		}
		began := time.Now()
		took := make(chan time.Duration, 21)
		call := func() {
			quicktest.Check(t, shared.Do(t.Context()), quicktest.IsNil)
			took <- time.Since(began)
		}
		go call()
		time.Sleep(50 * time.Millisecond)
		for range 20 {
			go call()
		}
		quicktest.Check(t, <-took, quicktest.Equals, 100*time.Millisecond)
		for range 20 {
			quicktest.Check(t, <-took, quicktest.Equals, 200*time.Millisecond)
		}
		quicktest.Check(t, reads.Load(), quicktest.Equals, int64(2))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		quicktest.Check(t, shared.Do(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
		synctest.Wait()
		time.Sleep(time.Second)
	})
}
