package stand

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
)

// CallFault is the fault injected into one call of a FlakyLog.
type CallFault int

//go:generate stringer -type CallFault -trimprefix Call -output callfault_string.go

const (
	// CallSucceeds injects nothing.
	CallSucceeds CallFault = iota
	// CallLosesRequest fails without effect.
	CallLosesRequest
	// CallLosesReply takes effect and fails.
	CallLosesReply
	// CallLandsLate fails at once and takes effect after FlakyLogConfig.Late, like a request that the network delays.
	CallLandsLate
)

// FlakyLogConfig configures a FlakyLog.
type FlakyLogConfig struct {
	Log clementinewind.Log
	// Late is the delay of CallLandsLate.
	Late time.Duration
	// Append and Read return the fault of the next call; nil injects none. They must be safe for concurrent use.
	Append func() CallFault
	Read   func() CallFault
	// Delay returns the delay of the next request or reply; nil means none. It must be safe for concurrent use.
	Delay func() time.Duration
}

// FaultScript returns a function that returns the faults in order, and CallSucceeds after the last.
func FaultScript(faults ...CallFault) func() CallFault {
	var mu sync.Mutex
	return func() CallFault {
		mu.Lock()
		defer mu.Unlock()
		if len(faults) == 0 {
			return CallSucceeds
		}
		fault := faults[0]
		faults = faults[1:]
		return fault
	}
}

// FlakyLog wraps a log and injects faults into single calls. With a FlakyLog for each router, the log fails for one
// router while it works for others.
type FlakyLog struct {
	config FlakyLogConfig

	mu sync.Mutex
	// resumed is closed while calls are not paused.
	resumed chan struct{}
}

// NewFlakyLog returns a FlakyLog that wraps config.Log.
func NewFlakyLog(config FlakyLogConfig) *FlakyLog {
	if config.Append == nil {
		config.Append = FaultScript()
	}
	if config.Read == nil {
		config.Read = FaultScript()
	}
	if config.Delay == nil {
		config.Delay = func() time.Duration { return 0 }
	}
	resumed := make(chan struct{})
	close(resumed)
	return &FlakyLog{config: config, resumed: resumed}
}

// SetPaused holds back all requests and replies, as if the calling process were paused, or lets them pass again.
func (flakyLog *FlakyLog) SetPaused(paused bool) {
	flakyLog.mu.Lock()
	defer flakyLog.mu.Unlock()
	select {
	case <-flakyLog.resumed:
		if paused {
			flakyLog.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(flakyLog.resumed)
		}
	}
}

// awaitDelivery delays a request or a reply, and blocks while calls are paused.
func (flakyLog *FlakyLog) awaitDelivery(ctx context.Context) error {
	if delay := flakyLog.config.Delay(); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	flakyLog.mu.Lock()
	resumed := flakyLog.resumed
	flakyLog.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append adds records to a stream, unless the call fails.
func (flakyLog *FlakyLog) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	if err := flakyLog.awaitDelivery(ctx); err != nil {
		return 0, err
	}
	offset, err := flakyLog.append(ctx, stream, records)
	if err := flakyLog.awaitDelivery(ctx); err != nil {
		return 0, err
	}
	return offset, err
}

func (flakyLog *FlakyLog) append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	switch flakyLog.config.Append() {
	case CallLosesRequest:
		return 0, clementinewind.ErrLogUnavailable
	case CallLosesReply:
		flakyLog.config.Log.Append(ctx, stream, records)
		return 0, clementinewind.ErrLogUnavailable
	case CallLandsLate:
		time.AfterFunc(flakyLog.config.Late, func() {
			flakyLog.config.Log.Append(context.WithoutCancel(ctx), stream, records)
		})
		return 0, clementinewind.ErrLogUnavailable
	default:
		return flakyLog.config.Log.Append(ctx, stream, records)
	}
}

// Read returns records from an offset, unless the call fails.
func (flakyLog *FlakyLog) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	if err := flakyLog.awaitDelivery(ctx); err != nil {
		return clementinewind.LogBatch{}, err
	}
	if flakyLog.config.Read() != CallSucceeds {
		return clementinewind.LogBatch{}, clementinewind.ErrLogUnavailable
	}
	batch, err := flakyLog.config.Log.Read(ctx, query)
	if err := flakyLog.awaitDelivery(ctx); err != nil {
		return clementinewind.LogBatch{}, err
	}
	return batch, err
}
