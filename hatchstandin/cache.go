package hatchstandin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of prompt that one cache block covers.
const blockBytes = 64

// maxEvents bounds the published cache events.
const maxEvents = 4096

// CacheEvent says that an engine holds, or no longer holds, a prefix block.
type CacheEvent struct {
	Sequence int       `json:"sequence"`
	Block    uint64    `json:"block"` // hash of the prompt up to the block's end
	Evicted  bool      `json:"evicted"`
	At       time.Time `json:"at"`
}

// prefixCache holds prompt prefixes by block, oldest first. The engine's mutex
// guards it.
type prefixCache struct {
	limit  int
	order  []uint64
	held   map[uint64]bool
	events []CacheEvent
	next   int
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, held: make(map[uint64]bool)}
}

// touch caches the prompt's blocks and returns how many were missing.
func (cache *prefixCache) touch(prompt string, now time.Time, drop bool) int {
	missing := 0
	for end := blockBytes; end < len(prompt)+blockBytes; end += blockBytes {
		block := xxhash.Sum64String(prompt[:min(end, len(prompt))])
		if cache.held[block] {
			continue
		}
		missing++
		cache.add(block, now, drop)
	}
	return missing
}

func (cache *prefixCache) add(block uint64, now time.Time, drop bool) {
	if cache.limit == 0 {
		return
	}
	if len(cache.order) == cache.limit {
		oldest := cache.order[0]
		cache.order = cache.order[1:]
		delete(cache.held, oldest)
		cache.publish(CacheEvent{Block: oldest, Evicted: true, At: now}, drop)
	}
	cache.held[block] = true
	cache.order = append(cache.order, block)
	cache.publish(CacheEvent{Block: block, At: now}, drop)
}

// publish numbers the event; with drop, every second one is not shown.
func (cache *prefixCache) publish(event CacheEvent, drop bool) {
	event.Sequence = cache.next
	cache.next++
	if drop && event.Sequence%2 == 1 {
		return
	}
	cache.events = append(cache.events, event)
	if len(cache.events) > maxEvents {
		cache.events = cache.events[maxEvents/2:]
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
