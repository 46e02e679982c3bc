package answer_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/send"
)

var errBroken = errors.New("connection broke")

// scripted is a source that returns its chunks and then its error.
type scripted struct {
	chunks []answer.Chunk
	err    error
	taken  int
	closed atomic.Bool
}

func (scripted *scripted) Next() (answer.Chunk, error) {
	if scripted.taken == len(scripted.chunks) {
		return answer.Chunk{}, scripted.err
	}
	scripted.taken++
	return scripted.chunks[scripted.taken-1], nil
}

func (scripted *scripted) Close() error {
	scripted.closed.Store(true)
	return nil
}

// drawSource draws a source that starts at a position and may break, repeat, reorder, end early or be of another request.
func drawSource(t *rapid.T, requestID clementinewind.RequestID, want []string, position int64) *scripted {
	source := &scripted{err: rapid.SampledFrom([]error{errBroken, io.EOF}).Draw(t, "error")}
	for ; position < int64(len(want)); position++ {
		chunk := answer.Chunk{RequestID: requestID, Position: position, Tokens: want[position : position+1]}
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			return source
		case 1:
			source.chunks = append(source.chunks, chunk, chunk)
		case 2:
			foreign := answer.Chunk{RequestID: clementinewind.NewRequestID(), Position: position, Tokens: []string{"foreign"}}
			source.chunks = append(source.chunks, foreign, chunk)
		case 3:
			// The chunk is lost.
		case 4:
			if last := len(source.chunks) - 1; last >= 0 {
				source.chunks = append(source.chunks[:last], chunk, source.chunks[last])
				continue
			}
			fallthrough
		default:
			source.chunks = append(source.chunks, chunk)
		}
	}
	source.chunks = append(source.chunks, answer.Chunk{RequestID: requestID, Position: position, End: true})
	return source
}

// Guards against a joined answer that is short or wrong and reported as whole, an error that claims "not run", and
// sources that are left open.
func TestStreamProperty(t *testing.T) {
	whole, failed := 0, 0
	synctest.Test(t, func(t *testing.T) {
		// rapid asks a *testing.T for its deadline, which a bubble does not have; the struct hides the type.
		rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) {
			requestID := clementinewind.NewRequestID()
			want := tokensOf(rapid.IntRange(0, 30).Draw(t, "length"))
			sources := []*scripted{drawSource(t, requestID, want, 0)}
			stream := answer.NewStream(context.Background(), answer.StreamConfig{
				RequestID: requestID, First: sources[0], MaxAttempts: 2,
				Reopen: func(_ context.Context, position int64) (answer.Source, error) {
					if rapid.IntRange(0, 4).Draw(t, "reopen") == 0 {
						return nil, errBroken
					}
					sources = append(sources, drawSource(t, requestID, want, position))
					return sources[len(sources)-1], nil
				},
			})
			var got []string
			for {
				chunk, err := stream.Next()
				if err != nil {
					if err == io.EOF && strings.Join(got, " ") != strings.Join(want, " ") {
						t.Fatalf("whole answer %v, want %v", got, want)
					}
					if err != io.EOF && send.ProgressOf(err) != clementinewind.ProgressDispatched {
						t.Fatalf("error %v", err)
					}
					if err == io.EOF {
						whole++
					} else {
						failed++
					}
					break
				}
				if chunk.RequestID != requestID || chunk.Position != int64(len(got)) {
					t.Fatalf("chunk %v after %d tokens", chunk, len(got))
				}
				got = append(got, chunk.Tokens...)
			}
			stream.Close()
			for _, source := range sources {
				if !source.closed.Load() {
					t.Fatalf("a source was left open")
				}
			}
		})
	})
	t.Logf("answers=%d whole=%d failed=%d short=0", whole+failed, whole, failed)
}

// Guards against a stream that goes on resuming when the answer is gone, or that gives up without all its attempts.
func TestStreamGivesUp(t *testing.T) {
	tests := map[string]struct {
		err   error
		opens int
		takes time.Duration
	}{
		"gone":   {err: errors.Wrap(answer.ErrNotResumable, "status 404"), opens: 1},
		"broken": {err: errBroken, opens: 9, takes: 12700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, opens := time.Now(), 0
				stream := answer.NewStream(t.Context(), answer.StreamConfig{
					Reopen: func(context.Context, int64) (answer.Source, error) {
						opens++
						return nil, test.err
					},
				})
				_, err := stream.Next()
				quicktest.Assert(t, errors.Is(err, errors.Cause(test.err)), quicktest.IsTrue)
				quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressDispatched)
				quicktest.Assert(t, opens, quicktest.Equals, test.opens)
				quicktest.Assert(t, time.Since(start), quicktest.Equals, test.takes)
			})
		})
	}
}

// Guards against reading ahead of a slow reader, which would let one answer fill the router's memory.
func TestStreamSlowReader(t *testing.T) {
	source := &scripted{err: io.EOF}
	for position, token := range tokensOf(100) {
		source.chunks = append(source.chunks, answer.Chunk{Position: int64(position), Tokens: []string{token}})
	}
	stream := answer.NewStream(t.Context(), answer.StreamConfig{First: source})
	defer stream.Close()
	for read := 1; read <= 10; read++ {
		_, err := stream.Next()
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, source.taken, quicktest.Equals, read)
	}
}

// endless is a source of equal chunks at rising positions.
type endless struct {
	chunk answer.Chunk
}

func (endless *endless) Next() (answer.Chunk, error) {
	chunk := endless.chunk
	endless.chunk.Position++
	return chunk, nil
}

func (endless *endless) Close() error { return nil }

// BenchmarkStreamToken measures joining one token.
func BenchmarkStreamToken(b *testing.B) {
	source := &endless{chunk: answer.Chunk{Tokens: []string{"token "}}}
	stream := answer.NewStream(b.Context(), answer.StreamConfig{First: source})
	defer stream.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParseToken measures one resume token.
func BenchmarkParseToken(b *testing.B) {
	text := answer.ResumeToken{Upstream: "engine-1", Organisation: "acme"}.String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := answer.ParseResumeToken(text, "acme"); err != nil {
			b.Fatal(err)
		}
	}
}
