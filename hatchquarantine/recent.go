package hatchquarantine

import (
	"time"

	"dragonflyhatch"
)

const (
	// maxRecentParts bounds the parts of one generation, and
	// maxRecentPerOrganisation those of one organisation.
	maxRecentParts           = 2048
	maxRecentPerOrganisation = 512
)

// recentParts remembers which parts were answered lately. It holds two generations of
// parts; when the newer one is full or old, the older one is dropped.
type recentParts struct {
	newer, older map[dragonflyhatch.PromptPart]time.Time
	started      time.Time      // of the newer generation
	byCaller     map[string]int // parts of the newer generation, by organisation
}

// add records an answer to a prompt with the part.
func (recent *recentParts) add(now time.Time, part dragonflyhatch.PromptPart, organisation string) {
	if recent.newer == nil || now.Sub(recent.started) > soundValidity || len(recent.newer) >= maxRecentParts {
		recent.older, recent.newer = recent.newer, make(map[dragonflyhatch.PromptPart]time.Time)
		recent.started, recent.byCaller = now, make(map[string]int)
	}
	if _, known := recent.newer[part]; !known {
		if recent.byCaller[organisation] >= maxRecentPerOrganisation {
			return
		}
		recent.byCaller[organisation]++
	}
	recent.newer[part] = now
}

// latest returns when the part was last answered, or the zero time if that is not known.
func (recent *recentParts) latest(part dragonflyhatch.PromptPart) time.Time {
	if at, ok := recent.newer[part]; ok {
		return at
	}
	return recent.older[part]
}
