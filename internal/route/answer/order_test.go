package answer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
)

// tokensOf returns the tokens of an answer, each different from its neighbours.
func tokensOf(count int) []string {
	tokens := make([]string, count)
	for index := range tokens {
		tokens[index] = fmt.Sprint("t", index)
	}
	return tokens
}

// Guards against answers with tokens of another request, with repeated or missing tokens, or out of order, and against
// a complete answer that is not recognised.
func TestOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 16
		want := tokensOf(rapid.IntRange(0, 60).Draw(t, "length"))
		requestID, other := clementinewind.NewRequestID(), clementinewind.NewRequestID()
		var chunks []answer.Chunk
		repeated := 0
		for position := 0; position < len(want); {
			end := min(position+rapid.IntRange(1, 4).Draw(t, "size"), len(want))
			chunk := answer.Chunk{RequestID: requestID, Position: int64(position), Tokens: want[position:end]}
			chunks = append(chunks, chunk)
			if rapid.Bool().Draw(t, "repeated") {
				chunks = append(chunks, chunk)
				repeated += len(chunk.Tokens)
			}
			if rapid.Bool().Draw(t, "foreign") {
				chunks = append(chunks, answer.Chunk{RequestID: other, Position: chunk.Position, Tokens: []string{"foreign"}, End: true})
			}
			position = end
		}
		chunks = append(chunks, answer.Chunk{RequestID: requestID, Position: int64(len(want)), End: true})
		chunks = rapid.Permutation(chunks).Draw(t, "chunks")
		order := answer.NewReorderBuffer(answer.ReorderBufferConfig{RequestID: requestID, WindowTokens: window})
		var got []string
		for _, chunk := range chunks {
			tokens, err := order.Add(chunk)
			if err == answer.ErrWindow && chunk.Position+int64(len(chunk.Tokens)) > int64(len(got)+window) {
				return
			}
			if err != nil {
				t.Fatalf("unexpected error %v", err)
			}
			got = append(got, tokens...)
			if strings.Join(got, " ") != strings.Join(want[:len(got)], " ") {
				t.Fatalf("got %v", got)
			}
			if order.Complete() && len(got) != len(want) {
				t.Fatalf("complete with %d of %d tokens", len(got), len(want))
			}
		}
		if !order.Complete() || order.Repeated != repeated {
			t.Fatalf("not complete with %d of %d tokens, %d of %d repeated", len(got), len(want), order.Repeated, repeated)
		}
	})
}

// Guards against chunks that contradict each other being joined into an answer, and against unbounded buffering.
func TestOrderErrors(t *testing.T) {
	tests := map[string]struct {
		chunks []answer.Chunk
		want   error
	}{
		"different tokens":    {chunks: []answer.Chunk{{Position: 1, Tokens: []string{"a"}}, {Position: 1, Tokens: []string{"b"}}}, want: answer.ErrConflict},
		"different lengths":   {chunks: []answer.Chunk{{Position: 3, End: true}, {Position: 4, End: true}}, want: answer.ErrConflict},
		"token after the end": {chunks: []answer.Chunk{{Position: 3, End: true}, {Position: 3, Tokens: []string{"a"}}}, want: answer.ErrConflict},
		"end before a token":  {chunks: []answer.Chunk{{Position: 3, Tokens: []string{"a"}}, {Position: 3, End: true}}, want: answer.ErrConflict},
		"negative position":   {chunks: []answer.Chunk{{Position: -1, Tokens: []string{"a"}}}, want: answer.ErrConflict},
		"window tokens":       {chunks: []answer.Chunk{{Position: 4, Tokens: []string{"a"}}}, want: answer.ErrWindow},
		"window bytes":        {chunks: []answer.Chunk{{Position: 1, Tokens: []string{"123456789"}}}, want: answer.ErrWindow},
		"within the window":   {chunks: []answer.Chunk{{Position: 3, Tokens: []string{"12345678"}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			order := answer.NewReorderBuffer(answer.ReorderBufferConfig{WindowTokens: 4, WindowBytes: 8})
			var last error
			for _, chunk := range test.chunks {
				_, last = order.Add(chunk)
			}
			quicktest.Assert(t, last, quicktest.Equals, test.want)
		})
	}
}
