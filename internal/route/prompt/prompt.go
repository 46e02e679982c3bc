// Package prompt identifies the prompt prefixes that requests share, for prefix caching.
package prompt

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is a section of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// PartHash identifies a part of a prompt, whatever stands before it. All routers compute the same hash.
type PartHash uint64

// String returns the hash in hexadecimal.
func (hash PartHash) String() string { return fmt.Sprintf("%016x", uint64(hash)) }

// Prompt describes a prompt without its text. It is the zero value for requests to services without a model.
type Prompt struct {
	Model string
	// Parts are in order. The last one is specific to the request or to its session.
	Parts []Part
	// InputTokens is the length of the whole prompt.
	InputTokens int
	// OutputTokens is the expected or the maximum length of the answer.
	OutputTokens int
}

// Prefix is the start of a prompt up to the end of one of its parts.
type Prefix struct {
	// Hash identifies the model and all parts of the prefix. All routers compute the same hash.
	Hash uint32
	// Tokens is the length of the whole prefix.
	Tokens int
}

// SharedPrefixes returns the prefixes that other prompts may share, shortest first. They exclude the last part.
func (prompt Prompt) SharedPrefixes() []Prefix {
	if len(prompt.Parts) < 2 {
		return nil
	}
	digest := xxhash.New()
	// Writes to a digest never fail.
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

// SharedParts returns the hashes of the parts that other prompts may share, each once and in order. They exclude the last part.
func (prompt Prompt) SharedParts() []PartHash {
	if len(prompt.Parts) < 2 {
		return nil
	}
	hashes := make([]PartHash, 0, len(prompt.Parts)-1)
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		// Identifiers are hexadecimal numbers, in which case does not matter.
		hash := PartHash(xxhash.Sum64String(strings.ToLower(part.ID)))
		if !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}
