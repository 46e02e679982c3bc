package answer

import "github.com/clementinewind/clementinewind"

// Chunk is a part of an answer.
type Chunk struct {
	RequestID clementinewind.RequestID
	// Position is the index of the first token in the answer.
	Position int64
	Tokens   []string
	// End is set on the last chunk of a complete answer; that chunk may have no tokens.
	End bool
}

// Source delivers the chunks of an answer.
type Source interface {
	// Next returns the next chunk, and io.EOF after the chunk with End.
	Next() (Chunk, error)
	// Close releases the source. It may be called by another goroutine than Next, and more than once.
	Close() error
}
