package answer

import (
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

const (
	defaultWindowTokens = 256
	defaultWindowBytes  = 256 << 10
)

var (
	// ErrWindowExceeded is returned when a token is too far ahead of a gap, or too many bytes wait for it to close.
	ErrWindowExceeded = errors.New("too many tokens out of order")
	// ErrConflict is returned when two chunks contradict each other on a token or on the length of the answer.
	ErrConflict = errors.New("chunks of one answer disagree")
	// ErrIncomplete is returned when a stream ends before the answer is complete.
	ErrIncomplete = errors.New("stream ended before the answer was complete")
	// ErrNotResumable is returned when an interrupted answer can no longer be resumed.
	ErrNotResumable = errors.New("answer can no longer be resumed")
)

// ReorderBufferConfig is the configuration of a ReorderBuffer.
type ReorderBufferConfig struct {
	RequestID clementinewind.RequestID
	// Position is the position of the first token to return.
	Position int64
	// WindowTokens and WindowBytes limit what is buffered until a gap closes; 0 means 256 tokens and 256 KiB.
	WindowTokens int
	WindowBytes  int
}

// ReorderBuffer puts the chunks of an answer in order. It buffers early tokens up to a limit, and drops duplicates and the
// chunks of other requests.
type ReorderBuffer struct {
	config ReorderBufferConfig
	next   int64
	// received is the highest end position of all chunks so far; total is the length of the answer, or -1 while it is unknown.
	received, total int64
	pending         map[int64]string
	pendingBytes    int
	// Foreign and Duplicates count the dropped tokens.
	Foreign, Duplicates int
}

// NewReorderBuffer returns an empty ReorderBuffer.
func NewReorderBuffer(config ReorderBufferConfig) *ReorderBuffer {
	if config.WindowTokens <= 0 {
		config.WindowTokens = defaultWindowTokens
	}
	if config.WindowBytes <= 0 {
		config.WindowBytes = defaultWindowBytes
	}
	return &ReorderBuffer{config: config, next: config.Position, received: config.Position, total: -1}
}

// Next returns the position of the next token to return.
func (buffer *ReorderBuffer) Next() int64 {
	return buffer.next
}

// Complete reports whether the length of the answer is known and all its tokens were returned.
func (buffer *ReorderBuffer) Complete() bool {
	return buffer.next == buffer.total
}

// Add adds a chunk and returns the tokens that are now in order, if any. A chunk with End sets the length of the answer.
func (buffer *ReorderBuffer) Add(chunk Chunk) ([]string, error) {
	if chunk.RequestID != buffer.config.RequestID {
		buffer.Foreign += len(chunk.Tokens)
		return nil, nil
	}
	end := chunk.Position + int64(len(chunk.Tokens))
	switch {
	case chunk.Position < 0,
		buffer.total >= 0 && end > buffer.total,
		chunk.End && buffer.total >= 0 && buffer.total != end,
		chunk.End && end < buffer.received:
		return nil, ErrConflict
	case chunk.End:
		buffer.total = end
	}
	buffer.received = max(buffer.received, end)
	if chunk.Position == buffer.next && len(buffer.pending) == 0 {
		buffer.next = end
		return chunk.Tokens, nil
	}
	for index, token := range chunk.Tokens {
		if err := buffer.insert(chunk.Position+int64(index), token); err != nil {
			return nil, err
		}
	}
	return buffer.release(), nil
}

// insert buffers a token until all tokens before it have arrived.
func (buffer *ReorderBuffer) insert(position int64, token string) error {
	if position < buffer.next {
		buffer.Duplicates++
		return nil
	}
	if buffered, ok := buffer.pending[position]; ok {
		buffer.Duplicates++
		if buffered != token {
			return ErrConflict
		}
		return nil
	}
	if position-buffer.next >= int64(buffer.config.WindowTokens) || buffer.pendingBytes+len(token) > buffer.config.WindowBytes {
		return ErrWindowExceeded
	}
	if buffer.pending == nil {
		buffer.pending = map[int64]string{}
	}
	buffer.pending[position] = token
	buffer.pendingBytes += len(token)
	return nil
}

// release removes and returns the buffered tokens that are now in order.
func (buffer *ReorderBuffer) release() []string {
	var tokens []string
	for {
		token, ok := buffer.pending[buffer.next]
		if !ok {
			return tokens
		}
		delete(buffer.pending, buffer.next)
		buffer.pendingBytes -= len(token)
		buffer.next++
		tokens = append(tokens, token)
	}
}
