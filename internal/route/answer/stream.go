package answer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// The default backoff adds up to 12.7 s, so that an answer survives an ownership failover, which takes about 6 s: three
	// missed heartbeats and 2.5 s.
	defaultMaxAttempts    = 8
	defaultInitialBackoff = 100 * time.Millisecond
)

// StreamConfig is the configuration of a Stream.
type StreamConfig struct {
	RequestID clementinewind.RequestID
	// Position is the position of the first token to return.
	Position int64
	// First is the source that the request opened; if it is nil, the stream starts with Reopen.
	First Source
	// Reopen opens a source that continues the answer at a position. An error that wraps ErrNotResumable ends the stream.
	Reopen func(ctx context.Context, position int64) (Source, error)
	// MaxAttempts limits the consecutive attempts to resume that yield no token; 0 means 8.
	MaxAttempts int
	// InitialBackoff is the backoff before the second consecutive attempt; it doubles for each further one. 0 means 100 ms.
	InitialBackoff time.Duration
}

// Stream reads an answer and resumes it when its source fails. It reads only during Next and buffers only tokens that arrive
// out of order, so that a slow reader puts backpressure on the source.
type Stream struct {
	config        StreamConfig
	ctx           context.Context
	cancel        context.CancelFunc
	stopAfterFunc func() bool
	reorder       *ReorderBuffer
	// failures counts the consecutive failures without a token in between.
	failures int
	resumed  int
	finalErr error

	mu     sync.Mutex
	source Source
}

// NewStream returns a Stream that fails when ctx ends.
func NewStream(ctx context.Context, config StreamConfig) *Stream {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultMaxAttempts
	}
	if config.InitialBackoff <= 0 {
		config.InitialBackoff = defaultInitialBackoff
	}
	stream := &Stream{config: config, source: config.First}
	stream.ctx, stream.cancel = context.WithCancel(ctx)
	stream.stopAfterFunc = context.AfterFunc(stream.ctx, func() { stream.setSource(nil) })
	stream.reorder = stream.newReorderBuffer(config.Position)
	return stream
}

// Next returns the next tokens in order, and io.EOF after a chunk with End. Any other error is a *send.Error and means that
// the answer is incomplete. Next is not safe for concurrent use.
func (stream *Stream) Next() (Chunk, error) {
	if stream.finalErr != nil {
		return Chunk{}, stream.finalErr
	}
	for {
		position := stream.reorder.Next()
		tokens, err := stream.readChunk()
		switch {
		case stream.ctx.Err() != nil:
			return Chunk{}, stream.fail(stream.ctx.Err())
		case errors.Is(err, ErrNotResumable):
			return Chunk{}, stream.fail(err)
		case err != nil:
			if err := stream.backOff(err); err != nil {
				return Chunk{}, stream.fail(err)
			}
			continue
		}
		complete := stream.reorder.Complete()
		if complete {
			stream.finalErr = io.EOF
		}
		if len(tokens) > 0 || complete {
			stream.failures = 0
			return Chunk{RequestID: stream.config.RequestID, Position: position, Tokens: tokens, End: complete}, nil
		}
	}
}

// Position returns the position of the next token in the answer.
func (stream *Stream) Position() int64 {
	return stream.reorder.Next()
}

// Resumed returns how many sources Reopen has opened.
func (stream *Stream) Resumed() int {
	return stream.resumed
}

// Close releases the current source. It may be called concurrently with Next.
func (stream *Stream) Close() error {
	stream.stopAfterFunc()
	stream.cancel()
	return stream.setSource(nil)
}

// readChunk reads one chunk from the current source, which it opens first if there is none.
func (stream *Stream) readChunk() ([]string, error) {
	stream.mu.Lock()
	source := stream.source
	stream.mu.Unlock()
	if source == nil {
		reopened, err := stream.config.Reopen(stream.ctx, stream.reorder.Next())
		if err != nil {
			return nil, err
		}
		stream.setSource(reopened)
		stream.resumed++
		source = reopened
	}
	chunk, err := source.Next()
	if err == io.EOF {
		return nil, ErrIncomplete
	}
	if err != nil {
		return nil, err
	}
	return stream.reorder.Add(chunk)
}

// backOff discards the failed source with its buffered tokens and waits for the backoff. It returns an error if no attempts
// are left.
func (stream *Stream) backOff(cause error) error {
	stream.setSource(nil)
	stream.reorder = stream.newReorderBuffer(stream.reorder.Next())
	stream.failures++
	if stream.failures > stream.config.MaxAttempts {
		return errors.Wrapf(cause, "%d attempts to resume brought no token", stream.config.MaxAttempts)
	}
	if stream.failures == 1 {
		return nil
	}
	// If the context has ended, the next attempt returns its error.
	_ = pause.For(stream.ctx, stream.config.InitialBackoff<<min(stream.failures-2, 16))
	return nil
}

// fail makes err the result of this and all later calls of Next.
func (stream *Stream) fail(err error) error {
	stream.finalErr = send.Fail(clementinewind.ProgressDispatched, err)
	stream.Close()
	return stream.finalErr
}

// setSource replaces the current source and closes it. If the stream has ended, it closes the new source instead.
func (stream *Stream) setSource(source Source) error {
	stream.mu.Lock()
	previous := stream.source
	stream.source = source
	if source != nil && stream.ctx.Err() != nil {
		previous, stream.source = source, nil
	}
	stream.mu.Unlock()
	if previous == nil {
		return nil
	}
	return previous.Close()
}

func (stream *Stream) newReorderBuffer(position int64) *ReorderBuffer {
	return NewReorderBuffer(ReorderBufferConfig{RequestID: stream.config.RequestID, Position: position})
}
