package stand

import (
	"container/list"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/infer"
)

// cacheEventLimit is the number of cache events that are kept for readers; the older half is dropped at the limit.
const cacheEventLimit = 256

// prefixCache is an LRU cache of prompt prefix blocks. It publishes its changes as events, with a delay and with gaps.
type prefixCache struct {
	size int
	// loseEvery drops each event whose sequence number is a multiple of it; 0 drops none.
	loseEvery int64
	lru       *list.List
	blocks    map[uint64]*list.Element
	sequence  int64
	events    []timedEvent
}

type timedEvent struct {
	infer.CacheEvent
	time time.Time
}

func newPrefixCache(size int, loseEvery int64) *prefixCache {
	return &prefixCache{size: size, loseEvery: loseEvery, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookUpAndStore stores the missing blocks of a prompt and returns the number of leading blocks that were cached.
func (cache *prefixCache) lookUpAndStore(blocks []uint64) int {
	cached := 0
	for cached < len(blocks) && cache.blocks[blocks[cached]] != nil {
		cached++
	}
	for _, block := range blocks {
		if element := cache.blocks[block]; element != nil {
			cache.lru.MoveToFront(element)
			continue
		}
		cache.blocks[block] = cache.lru.PushFront(block)
		cache.publish(block, false)
		if cache.lru.Len() > cache.size {
			oldest := cache.lru.Remove(cache.lru.Back()).(uint64)
			delete(cache.blocks, oldest)
			cache.publish(oldest, true)
		}
	}
	return cached
}

// clear drops all blocks without events, as a restarted engine does.
func (cache *prefixCache) clear() {
	cache.lru.Init()
	clear(cache.blocks)
}

func (cache *prefixCache) publish(block uint64, dropped bool) {
	cache.sequence++
	if cache.loseEvery > 0 && cache.sequence%cache.loseEvery == 0 {
		return
	}
	if len(cache.events) >= cacheEventLimit {
		cache.events = append([]timedEvent(nil), cache.events[cacheEventLimit/2:]...)
	}
	event := infer.CacheEvent{Sequence: cache.sequence, Block: block, Dropped: dropped}
	cache.events = append(cache.events, timedEvent{CacheEvent: event, time: time.Now()})
}

// published returns the events after a sequence number that are at least lag old.
func (cache *prefixCache) published(after int64, lag time.Duration) []infer.CacheEvent {
	var events []infer.CacheEvent
	for _, event := range cache.events {
		if event.Sequence > after && time.Since(event.time) >= lag {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}
