package infer

import "github.com/cespare/xxhash/v2"

// prefixBlock is the length of a block of the prompt, in bytes, whose KV cache an engine keeps or drops as a whole.
const prefixBlock = 64

// completion is an event of a completions stream. An event carries one choice with tokens, or the usage at the end.
type completion struct {
	ID       string         `json:"id"`
	Position int64          `json:"position"`
	Choices  []choice       `json:"choices"`
	Usage    *usage         `json:"usage"`
	Error    *upstreamError `json:"error"`
}

type choice struct {
	Text string `json:"text"`
}

type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
}

type upstreamError struct {
	Message string `json:"message"`
}

// completionRequest is the body of a completions request.
type completionRequest struct {
	Model     string `json:"model,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	// StreamOptions ask for the usage event, which proves that an answer is whole.
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Load is the load report of an engine. Its counts and events lag behind.
type Load struct {
	BootID string
	// Model and Role are what the latest orders set.
	Model, Role string

	Running int
	Waiting int
	// CachedBlocks is the number of prefix blocks in the cache.
	CachedBlocks int
	// Events are cache events in rising order of Sequence. A gap in Sequence means that events were lost.
	Events []CacheEvent
}

// CacheEvent reports that a prefix block was stored in, or dropped from, the prefix cache of an engine.
type CacheEvent struct {
	Sequence int64
	Block    uint64
	Dropped  bool
}

// PrefixBlocks returns the hashes of the whole prefix blocks of a prompt; each covers the prompt up to its end.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/prefixBlock)
	digest := xxhash.New()
	for ; len(prompt) >= prefixBlock; prompt = prompt[prefixBlock:] {
		digest.WriteString(prompt[:prefixBlock])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
