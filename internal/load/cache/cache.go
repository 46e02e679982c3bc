// Package cache tracks which prompt prefixes an upstream is expected to have cached.
package cache

import "container/list"

// Prefixes is an LRU set of the prefixes that an upstream is expected to have cached. It is not safe for concurrent
// use.
type Prefixes struct {
	capacityTokens int
	tokens         int
	lru            *list.List
	byHash         map[uint32]*list.Element
}

type entry struct {
	hash   uint32
	tokens int
}

// New returns an empty set.
func New(capacityTokens int) *Prefixes {
	return &Prefixes{capacityTokens: capacityTokens, lru: list.New(), byHash: map[uint32]*list.Element{}}
}

// Add marks a prefix as the most recently used one, and evicts the least recently used prefixes beyond the capacity.
// The size of a prefix excludes the tokens of the shorter prefix that it extends.
func (prefixes *Prefixes) Add(hash uint32, tokens int) {
	if element, ok := prefixes.byHash[hash]; ok {
		prefixes.lru.MoveToFront(element)
		return
	}
	prefixes.byHash[hash] = prefixes.lru.PushFront(entry{hash: hash, tokens: tokens})
	prefixes.tokens += tokens
	for prefixes.tokens > prefixes.capacityTokens && prefixes.lru.Len() > 1 {
		oldest := prefixes.lru.Back()
		prefixes.lru.Remove(oldest)
		evicted, ok := oldest.Value.(entry)
		if !ok {
			continue
		}
		delete(prefixes.byHash, evicted.hash)
		prefixes.tokens -= evicted.tokens
	}
}

// Contains reports whether a prefix is expected to be cached.
func (prefixes *Prefixes) Contains(hash uint32) bool {
	_, ok := prefixes.byHash[hash]
	return ok
}

// Clear removes all prefixes, for an upstream that has restarted.
func (prefixes *Prefixes) Clear() {
	prefixes.lru.Init()
	clear(prefixes.byHash)
	prefixes.tokens = 0
}
