package hatchstandin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the number of prompt bytes that one cache block covers.
const blockBytes = 64

// maxCacheEvents limits the published cache events; beyond it the older half is
// discarded.
const maxCacheEvents = 4096

// CacheEvent reports that a prefix block was added to or evicted from an engine's
// cache.
type CacheEvent struct {
	Sequence int       `json:"sequence"`
	Block    uint64    `json:"block"` // hash of the prompt up to the block's end
	Evicted  bool      `json:"evicted"`
	At       time.Time `json:"at"`
}

// prefixCache caches prompt prefixes by block and evicts the oldest block first.
// The engine's mutex guards it.
type prefixCache struct {
	maxBlocks      int
	insertionOrder []uint64
	blocks         map[uint64]bool
	events         []CacheEvent
	nextSequence   int
}

func newPrefixCache(maxBlocks int) prefixCache {
	return prefixCache{maxBlocks: maxBlocks, blocks: make(map[uint64]bool)}
}

// addMissing adds the prompt's missing blocks to the cache and returns how many
// were missing.
func (cache *prefixCache) addMissing(prompt string, now time.Time, drop bool) int {
	missing := 0
	for end := blockBytes; end < len(prompt)+blockBytes; end += blockBytes {
		block := xxhash.Sum64String(prompt[:min(end, len(prompt))])
		if cache.blocks[block] {
			continue
		}
		missing++
		cache.add(block, now, drop)
	}
	return missing
}

func (cache *prefixCache) add(block uint64, now time.Time, drop bool) {
	if cache.maxBlocks == 0 {
		return
	}
	if len(cache.insertionOrder) == cache.maxBlocks {
		oldest := cache.insertionOrder[0]
		cache.insertionOrder = cache.insertionOrder[1:]
		delete(cache.blocks, oldest)
		cache.publish(CacheEvent{Block: oldest, Evicted: true, At: now}, drop)
	}
	cache.blocks[block] = true
	cache.insertionOrder = append(cache.insertionOrder, block)
	cache.publish(CacheEvent{Block: block, At: now}, drop)
}

// publish numbers and stores the event; with drop, every second one is discarded.
func (cache *prefixCache) publish(event CacheEvent, drop bool) {
	event.Sequence = cache.nextSequence
	cache.nextSequence++
	if drop && event.Sequence%2 == 1 {
		return
	}
	cache.events = append(cache.events, event)
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[maxCacheEvents/2:]
	}
}

// visible returns the events that are at least lag old.
func (cache *prefixCache) visible(now time.Time, lag time.Duration) []CacheEvent {
	for i, event := range cache.events {
		if now.Sub(event.At) < lag {
			return cache.events[:i]
		}
	}
	return cache.events
}
