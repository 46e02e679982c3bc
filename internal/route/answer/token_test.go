package answer_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
)

// Guards against a token that names another answer after a round trip, or that serves another organisation.
func TestTokenProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := answer.ResumeToken{
			RequestID:    clementinewind.NewRequestID(),
			Upstream:     clementinewind.Upstream(rapid.StringN(0, 40, 200).Draw(t, "upstream")),
			Organisation: clementinewind.Organisation(rapid.StringN(0, 40, 200).Draw(t, "organisation")),
		}
		parsed, err := answer.ParseResumeToken(token.String(), token.Organisation)
		if err != nil || parsed != token {
			t.Fatalf("parsed %v: %v", parsed, err)
		}
		if _, err := answer.ParseResumeToken(token.String(), token.Organisation+"x"); err != answer.ErrOrganisation {
			t.Fatalf("other organisation: %v", err)
		}
		text := []byte(token.String())
		index := rapid.IntRange(0, len(text)-1).Draw(t, "index")
		text[index] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
		if _, err := answer.ParseResumeToken(string(text), token.Organisation); err == nil {
			t.Fatalf("damaged token accepted")
		}
	})
}

// Guards against a token parser that panics, or that accepts two texts for one token.
func FuzzParseToken(f *testing.F) {
	f.Add(answer.ResumeToken{Upstream: "engine-1", Organisation: "acme"}.String())
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := answer.ParseResumeToken(text, "acme"); err == nil {
			quicktest.Assert(t, token.String(), quicktest.Equals, text)
		}
	})
}

func ExampleParseResumeToken() {
	token := answer.ResumeToken{Upstream: "engine-1", Organisation: "acme"}
	_, err := answer.ParseResumeToken(token.String(), "other")
	fmt.Println(err)
	// Output: resume token belongs to another organisation
}
