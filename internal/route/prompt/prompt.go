// Package prompt describes prompts by the parts that they share.
package prompt

import "github.com/cespare/xxhash/v2"

// Part is a section of a prompt that other prompts may begin with too.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a prompt without its text. The zero value belongs to requests that are not for model engines.
type Prompt struct {
	Model string
	// Parts are in order; the last one belongs to the request or to its session.
	Parts []Part
	// InputTokens is the size of the whole prompt.
	InputTokens int
	// OutputTokens is the expected or the largest size of the answer.
	OutputTokens int
}

// Prefix is the beginning of a prompt up to one of its parts.
type Prefix struct {
	// Hash identifies the model and all parts of the prefix. It is the same in every process.
	Hash uint32
	// Tokens is the size of the whole prefix.
	Tokens int
}

// SharedPrefixes returns the prefixes that other prompts may have too, shortest first.
func (prompt Prompt) SharedPrefixes() []Prefix {
	if len(prompt.Parts) < 2 {
		return nil
	}
	digest := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = digest.WriteString(prompt.Model)
	prefixes := make([]Prefix, 0, len(prompt.Parts)-1)
	tokens := 0
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		_, _ = digest.WriteString("\x00" + part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, Prefix{Hash: uint32(digest.Sum64()), Tokens: tokens})
	}
	return prefixes
}
