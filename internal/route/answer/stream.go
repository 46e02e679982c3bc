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
	// defaultAttempts and defaultDelay let an answer survive a change of the owner, which takes about 6 s: three missed
	// heartbeats and 2.5 s. The delays sum to 12.7 s.
	defaultAttempts = 8
	defaultDelay    = 100 * time.Millisecond
)

// StreamConfig is the configuration of a Stream.
type StreamConfig struct {
	RequestID clementinewind.RequestID
	// Position is the position of the first token that is wanted.
	Position int64
	// First is the stream that the request opened; nil starts with Reopen.
	First Source
	// Reopen returns a stream that continues the answer at a position. An error that wraps ErrNotResumable is final.
	Reopen func(ctx context.Context, position int64) (Source, error)
	// MaxAttempts is the number of reopened streams in a row that may bring no token; 0 means 8.
	MaxAttempts int
	// Delay is the wait before the second attempt in a row; it doubles with each further one. 0 means 100 ms.
	Delay time.Duration
}

// Stream joins interrupted streams into one answer. It holds no tokens but those that one source delivered early, and
// reads only while Next waits, so a slow reader slows the source.
type Stream struct {
	config StreamConfig
	ctx    context.Context
	cancel context.CancelFunc
	stop   func() bool
	order  *ReorderBuffer
	// failures counts the streams in a row that brought no token.
	failures int
	resumed  int
	ended    error

	mu     sync.Mutex
	source Source
}

// NewStream returns a Stream. It ends with an error when ctx ends.
func NewStream(ctx context.Context, config StreamConfig) *Stream {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = defaultAttempts
	}
	if config.Delay <= 0 {
		config.Delay = defaultDelay
	}
	stream := &Stream{config: config, source: config.First}
	stream.ctx, stream.cancel = context.WithCancel(ctx)
	stream.stop = context.AfterFunc(stream.ctx, func() { stream.replace(nil) })
	stream.order = stream.newOrder(config.Position)
	return stream
}

// Next returns the next tokens in order. The last chunk has End set, and io.EOF follows it. Any other error is a
// *send.Error that says that the answer is not complete. Next must not be called by two goroutines at once.
func (stream *Stream) Next() (Chunk, error) {
	if stream.ended != nil {
		return Chunk{}, stream.ended
	}
	for {
		position := stream.order.Next()
		tokens, err := stream.advance()
		switch {
		case stream.ctx.Err() != nil:
			return Chunk{}, stream.end(stream.ctx.Err())
		case errors.Is(err, ErrNotResumable):
			return Chunk{}, stream.end(err)
		case err != nil:
			if err := stream.interrupt(err); err != nil {
				return Chunk{}, stream.end(err)
			}
			continue
		}
		complete := stream.order.Complete()
		if complete {
			stream.ended = io.EOF
		}
		if len(tokens) > 0 || complete {
			stream.failures = 0
			return Chunk{RequestID: stream.config.RequestID, Position: position, Tokens: tokens, End: complete}, nil
		}
	}
}

// Position returns the number of tokens that Next has returned, counted from the start of the answer.
func (stream *Stream) Position() int64 {
	return stream.order.Next()
}

// Resumed returns how often Reopen gave a stream.
func (stream *Stream) Resumed() int {
	return stream.resumed
}

// Close releases the present source. It may be called by another goroutine than Next.
func (stream *Stream) Close() error {
	stream.stop()
	stream.cancel()
	return stream.replace(nil)
}

// advance takes one chunk from the present source, which it opens if there is none.
func (stream *Stream) advance() ([]string, error) {
	stream.mu.Lock()
	source := stream.source
	stream.mu.Unlock()
	if source == nil {
		opened, err := stream.config.Reopen(stream.ctx, stream.order.Next())
		if err != nil {
			return nil, err
		}
		stream.replace(opened)
		stream.resumed++
		source = opened
	}
	chunk, err := source.Next()
	if err == io.EOF {
		return nil, ErrIncomplete
	}
	if err != nil {
		return nil, err
	}
	return stream.order.Add(chunk)
}

// interrupt drops the source and its early tokens after a failure, and waits before the next attempt. It returns an
// error when there is no further attempt.
func (stream *Stream) interrupt(cause error) error {
	stream.replace(nil)
	stream.order = stream.newOrder(stream.order.Next())
	stream.failures++
	if stream.failures > stream.config.MaxAttempts {
		return errors.Wrapf(cause, "%d attempts to resume brought no token", stream.config.MaxAttempts)
	}
	if stream.failures == 1 {
		return nil
	}
	// The next attempt tells that the context has ended.
	_ = pause.For(stream.ctx, stream.config.Delay<<min(stream.failures-2, 16))
	return nil
}

// end makes err the result of this and all later calls of Next.
func (stream *Stream) end(err error) error {
	stream.ended = send.Fail(clementinewind.ProgressDispatched, err)
	stream.Close()
	return stream.ended
}

// replace closes the present source and installs another one, which it closes too if the stream has ended.
func (stream *Stream) replace(source Source) error {
	stream.mu.Lock()
	closed := stream.source
	stream.source = source
	if source != nil && stream.ctx.Err() != nil {
		closed, stream.source = source, nil
	}
	stream.mu.Unlock()
	if closed == nil {
		return nil
	}
	return closed.Close()
}

func (stream *Stream) newOrder(position int64) *ReorderBuffer {
	return NewReorderBuffer(ReorderBufferConfig{RequestID: stream.config.RequestID, Position: position})
}
