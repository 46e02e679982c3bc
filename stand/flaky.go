package stand

import (
	"context"
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
}

// FlakyLog is a view of a log in which single calls fail. One router's connection to the log fails without that of others.
type FlakyLog struct {
	config FlakyLogConfig
}

// NewFlakyLog returns a view of config.Log.
func NewFlakyLog(config FlakyLogConfig) *FlakyLog {
	never := func() CallFault { return CallSucceeds }
	if config.Append == nil {
		config.Append = never
	}
	if config.Read == nil {
		config.Read = never
	}
	return &FlakyLog{config: config}
}

// Append adds records to a stream, unless the call fails.
func (flakyLog *FlakyLog) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
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
	if flakyLog.config.Read() != CallSucceeds {
		return clementinewind.LogBatch{}, clementinewind.ErrLogUnavailable
	}
	return flakyLog.config.Log.Read(ctx, query)
}
