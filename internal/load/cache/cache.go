// Package cache keeps what a router believes of the prompts in the memory of an upstream.
package cache

import "container/list"

// Prefixes holds the prefixes that an upstream is believed to keep, least recently used last. It is not safe for use by
// many goroutines.
type Prefixes struct {
	capacity int
	tokens   int
	order    *list.List
	byHash   map[uint32]*list.Element
}

type held struct {
	hash   uint32
	tokens int
}

// New returns an empty set that forgets the least recently used prefixes beyond capacity tokens.
func New(capacity int) *Prefixes {
	return &Prefixes{capacity: capacity, order: list.New(), byHash: map[uint32]*list.Element{}}
}

// Use records that an upstream read a prefix, which adds own tokens to the prefix it extends.
func (prefixes *Prefixes) Use(hash uint32, tokens int) {
	if element, ok := prefixes.byHash[hash]; ok {
		prefixes.order.MoveToFront(element)
		return
	}
	prefixes.byHash[hash] = prefixes.order.PushFront(held{hash: hash, tokens: tokens})
	prefixes.tokens += tokens
	for prefixes.tokens > prefixes.capacity && prefixes.order.Len() > 1 {
		oldest := prefixes.order.Back()
		prefixes.order.Remove(oldest)
		forgotten, ok := oldest.Value.(held)
		if !ok {
			continue
		}
		delete(prefixes.byHash, forgotten.hash)
		prefixes.tokens -= forgotten.tokens
	}
}

// Holds reports whether a prefix is believed to be kept.
func (prefixes *Prefixes) Holds(hash uint32) bool {
	_, ok := prefixes.byHash[hash]
	return ok
}

// Clear forgets everything, for an upstream that started anew.
func (prefixes *Prefixes) Clear() {
	prefixes.order.Init()
	clear(prefixes.byHash)
	prefixes.tokens = 0
}
