package stand

import (
	"context"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
)

// CallFault is the fault that one call to a FlakyLog shows.
type CallFault int

//go:generate stringer -type CallFault -trimprefix Call -output callfault_string.go

const (
	// CallSucceeds passes the call on.
	CallSucceeds CallFault = iota
	// CallLosesRequest fails without effect.
	CallLosesRequest
	// CallLosesReply takes effect and fails.
	CallLosesReply
	// CallLandsLate fails at once and takes effect after FlakyLogConfig.Late, as a request does that is held up on the way.
	CallLandsLate
)

// FlakyLogConfig configures a FlakyLog.
type FlakyLogConfig struct {
	Log clementinewind.Log
	// Late is the delay of CallLandsLate.
	Late time.Duration
	// Append and Read return the fault of the next call; nil never fails. They may be called by many goroutines.
	Append func() CallFault
	Read   func() CallFault
	// Delay returns the delay of the next request or reply; nil never delays. It may be called by many goroutines.
	Delay func() time.Duration
}

// FaultScript returns a function that returns the faults one after the other, and CallSucceeds after the last.
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

// FlakyLog is a view of a log in which single calls fail. One router's connection to the log fails without that of others.
type FlakyLog struct {
	config FlakyLogConfig

	mu sync.Mutex
	// resumed is closed while the view is not paused.
	resumed chan struct{}
}

// NewFlakyLog returns a view of config.Log.
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

// SetPaused holds all requests and replies, as a pause of the calling process does, or lets them pass again.
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

// pass carries a request or a reply.
func (flakyLog *FlakyLog) pass(ctx context.Context) error {
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
	if err := flakyLog.pass(ctx); err != nil {
		return 0, err
	}
	offset, err := flakyLog.append(ctx, stream, records)
	if err := flakyLog.pass(ctx); err != nil {
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
	if err := flakyLog.pass(ctx); err != nil {
		return clementinewind.LogBatch{}, err
	}
	if flakyLog.config.Read() != CallSucceeds {
		return clementinewind.LogBatch{}, clementinewind.ErrLogUnavailable
	}
	batch, err := flakyLog.config.Log.Read(ctx, query)
	if err := flakyLog.pass(ctx); err != nil {
		return clementinewind.LogBatch{}, err
	}
	return batch, err
}
