package answer

import "github.com/clementinewind/clementinewind"

// Chunk is a run of consecutive tokens of an answer.
type Chunk struct {
	RequestID clementinewind.RequestID
	// Position is the index of the chunk's first token in the answer.
	Position int64
	Tokens   []string
	// End marks the last chunk of a complete answer, which may be empty.
	End bool
}

// Source is a stream of chunks.
type Source interface {
	// Next returns the next chunk, and io.EOF after the chunk with End.
	Next() (Chunk, error)
	// Close releases the source. It may be called concurrently with Next, and more than once.
	Close() error
}
