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
	// ErrWindow is returned when more tokens arrive out of order than the window holds.
	ErrWindow = errors.New("too many tokens out of order")
	// ErrConflict is returned when two chunks disagree on a token or on the length of the answer.
	ErrConflict = errors.New("chunks of one answer disagree")
	// ErrIncomplete is returned when a stream ended before the answer was complete.
	ErrIncomplete = errors.New("stream ended before the answer was complete")
	// ErrNotResumable is returned when an interrupted answer can no longer be resumed.
	ErrNotResumable = errors.New("answer can no longer be resumed")
)

// ReorderBufferConfig is the configuration of an Order.
type ReorderBufferConfig struct {
	RequestID clementinewind.RequestID
	// Position is the position of the first token that is wanted.
	Position int64
	// WindowTokens and WindowBytes limit what is held until a gap closes; 0 means 256 tokens and 256 KiB.
	WindowTokens int
	WindowBytes  int
}

// ReorderBuffer puts chunks in order. It drops repeated chunks and chunks of other requests, and holds early ones up to a limit.
type ReorderBuffer struct {
	config ReorderBufferConfig
	next   int64
	// highest is the end of the last token seen; total is the length of the answer, or -1 until it is known.
	highest, total int64
	early          map[int64]string
	bytes          int
	// Foreign and Repeated count the dropped tokens.
	Foreign, Repeated int
}

// NewReorderBuffer returns an Order that has no chunks.
func NewReorderBuffer(config ReorderBufferConfig) *ReorderBuffer {
	if config.WindowTokens <= 0 {
		config.WindowTokens = defaultWindowTokens
	}
	if config.WindowBytes <= 0 {
		config.WindowBytes = defaultWindowBytes
	}
	return &ReorderBuffer{config: config, next: config.Position, highest: config.Position, total: -1}
}

// Next returns the position of the next token that is wanted.
func (order *ReorderBuffer) Next() int64 {
	return order.next
}

// Complete reports whether all tokens up to the known end have been delivered.
func (order *ReorderBuffer) Complete() bool {
	return order.next == order.total
}

// Add takes a chunk and returns the tokens that are now in order, which may be none. A chunk with End sets the length of
// the answer.
func (order *ReorderBuffer) Add(chunk Chunk) ([]string, error) {
	if chunk.RequestID != order.config.RequestID {
		order.Foreign += len(chunk.Tokens)
		return nil, nil
	}
	end := chunk.Position + int64(len(chunk.Tokens))
	switch {
	case chunk.Position < 0,
		order.total >= 0 && end > order.total,
		chunk.End && order.total >= 0 && order.total != end,
		chunk.End && end < order.highest:
		return nil, ErrConflict
	case chunk.End:
		order.total = end
	}
	order.highest = max(order.highest, end)
	if chunk.Position == order.next && len(order.early) == 0 {
		order.next = end
		return chunk.Tokens, nil
	}
	for index, token := range chunk.Tokens {
		if err := order.hold(chunk.Position+int64(index), token); err != nil {
			return nil, err
		}
	}
	return order.release(), nil
}

// hold keeps a token until its turn.
func (order *ReorderBuffer) hold(position int64, token string) error {
	if position < order.next {
		order.Repeated++
		return nil
	}
	if held, ok := order.early[position]; ok {
		order.Repeated++
		if held != token {
			return ErrConflict
		}
		return nil
	}
	if position-order.next >= int64(order.config.WindowTokens) || order.bytes+len(token) > order.config.WindowBytes {
		return ErrWindow
	}
	if order.early == nil {
		order.early = map[int64]string{}
	}
	order.early[position] = token
	order.bytes += len(token)
	return nil
}

// release returns the held tokens that are now in order.
func (order *ReorderBuffer) release() []string {
	var tokens []string
	for {
		token, ok := order.early[order.next]
		if !ok {
			return tokens
		}
		delete(order.early, order.next)
		order.bytes -= len(token)
		order.next++
		tokens = append(tokens, token)
	}
}
