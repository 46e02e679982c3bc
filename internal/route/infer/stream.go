package infer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/send"
)

const (
	doneData = "[DONE]"
	// drainTimeout limits the wait for the end mark of a complete answer; without it the connection is closed.
	drainTimeout = 50 * time.Millisecond
)

type streamConfig struct {
	client    *Client
	requestID clementinewind.RequestID
	position  int64
	// idle ends the stream's context; it is stopped while nobody reads.
	idle *time.Timer
}

// Stream is the answer of an engine. It reads from the connection only while Next waits, so a slow reader slows the
// engine, and at most one read buffer, one event and one window of tokens are held.
type Stream struct {
	config   streamConfig
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *http.Response
	events   *eventReader
	order    *answer.ReorderBuffer
	err      error
	// idleRemaining is what is left of the idle timeout. Only tokens renew it: an engine that sends single bytes or comments
	// makes no progress.
	idleRemaining time.Duration
	// requestID is the text form of the request id.
	requestID string
	// complete says that the whole answer was delivered, so that Next no longer reads.
	complete atomic.Bool
	once     sync.Once
	closeErr error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response, config streamConfig) *Stream {
	stream := &Stream{config: config, ctx: ctx, cancel: cancel, response: response, requestID: config.requestID.String()}
	stream.events = newEventReader(&idleReader{stream: stream}, config.client.config.MaxEvent)
	stream.order = answer.NewReorderBuffer(answer.ReorderBufferConfig{
		RequestID:    config.requestID,
		Position:     config.position,
		WindowTokens: config.client.config.WindowTokens,
		WindowBytes:  config.client.config.WindowBytes,
	})
	return stream
}

// BootID returns the id of the current run of the engine's process; a new one means that the engine is cold.
func (stream *Stream) BootID() string {
	return stream.response.Header.Get(send.HeaderBootID)
}

// CachedTokens returns the number of prompt tokens that came from the engine's prefix cache, or -1 if it did not say.
func (stream *Stream) CachedTokens() int {
	cached, err := strconv.Atoi(stream.response.Header.Get(send.HeaderCachedTokens))
	if err != nil {
		return -1
	}
	return cached
}

// Next returns the next tokens in order. The last chunk has End set, and io.EOF follows it. Any other error is a
// *send.Error, after which the answer is not complete.
func (stream *Stream) Next() (answer.Chunk, error) {
	if stream.err != nil {
		return answer.Chunk{}, stream.err
	}
	if stream.order.Complete() {
		stream.err = io.EOF
		return answer.Chunk{}, io.EOF
	}
	stream.idleRemaining = stream.config.client.config.IdleTimeout
	for {
		position := stream.order.Next()
		tokens, err := stream.read()
		if err != nil {
			stream.err = stream.config.client.withCause(stream.ctx, send.Fail(clementinewind.ProgressDispatched, err))
			stream.Close()
			return answer.Chunk{}, stream.err
		}
		end := stream.order.Complete()
		stream.complete.Store(end)
		if len(tokens) > 0 || end {
			return answer.Chunk{RequestID: stream.config.requestID, Position: position, Tokens: tokens, End: end}, nil
		}
	}
}

// Close releases the connection. It does not cancel the answer at the engine.
func (stream *Stream) Close() error {
	stream.once.Do(func() {
		stream.config.idle.Stop()
		if stream.complete.Load() {
			stream.drain()
		}
		stream.cancel(nil)
		stream.closeErr = stream.response.Body.Close()
	})
	return stream.closeErr
}

// drain reads the end of the response, so that the connection can serve another request.
func (stream *Stream) drain() {
	stream.config.idle.Reset(drainTimeout)
	defer stream.config.idle.Stop()
	io.CopyN(io.Discard, stream.response.Body, readBuffer)
}

// read reads one event and returns the tokens that are now in order.
func (stream *Stream) read() ([]string, error) {
	data, err := stream.events.next()
	if err == io.EOF || err == nil && string(data) == doneData {
		// The usage gives the length of the answer; without it, or with tokens missing, an end mark does not show that the
		// answer is complete.
		return nil, answer.ErrIncomplete
	}
	if err != nil {
		return nil, err
	}
	var event completion
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, errors.Wrap(err, "event")
	}
	if event.Error != nil {
		return nil, &clementinewind.Refusal{Reason: clementinewind.ReasonUpstreamFailed, Detail: event.Error.Message}
	}
	if event.ID != stream.requestID {
		return nil, nil
	}
	chunk := answer.Chunk{RequestID: stream.config.requestID, Position: event.Position}
	for _, choice := range event.Choices {
		if choice.Text != "" {
			chunk.Tokens = append(chunk.Tokens, choice.Text)
		}
	}
	if event.Usage != nil {
		chunk.End = true
		if event.Position+int64(len(chunk.Tokens)) != event.Usage.CompletionTokens {
			return nil, answer.ErrConflict
		}
	}
	return stream.order.Add(chunk)
}

// idleReader lets the idle timeout run while a read waits for the engine.
type idleReader struct {
	stream *Stream
}

// Read reads from the response body.
func (reader *idleReader) Read(data []byte) (int, error) {
	stream := reader.stream
	began := time.Now()
	stream.config.idle.Reset(stream.idleRemaining)
	defer func() {
		stream.config.idle.Stop()
		stream.idleRemaining = max(stream.idleRemaining-time.Since(began), 0)
	}()
	return stream.response.Body.Read(data)
}
