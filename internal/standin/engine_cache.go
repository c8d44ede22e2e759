package standin

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// PrefixBlockBytes is the block size of the prefix cache, in bytes: the cacheable
// prefixes of a prompt end at its multiples.
const PrefixBlockBytes = 256

// maxCacheEvents bounds the retained cache events; beyond it the older half is
// dropped.
const maxCacheEvents = 1 << 16

// PrefixDigests returns the hex digests of a prompt's cacheable prefixes, shortest
// prefix first.
func PrefixDigests(prompt string) []string {
	var digests []string
	h := sha256.New()
	for len(prompt) >= PrefixBlockBytes {
		_, _ = h.Write([]byte(prompt[:PrefixBlockBytes]))
		digests = append(digests, hex.EncodeToString(h.Sum(nil)))
		prompt = prompt[PrefixBlockBytes:]
	}
	return digests
}

// cacheEvent is one event in the response to GET /v1/cache/events.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`   // "stored" or "removed"
	Prefix string `json:"prefix"` // digest of the prefix
	at     time.Time
}

// prefixCache is an LRU cache of prompt prefixes, held as digests.
type prefixCache struct {
	capacity int           // prefixes
	eventLag time.Duration // delay before an event is sent

	mu      sync.Mutex
	entries map[string]*list.Element
	recency *list.List // digests (string), most recently used first
	events  []cacheEvent
	lastSeq uint64
}

func newPrefixCache(capacity int, eventLag time.Duration) *prefixCache {
	return &prefixCache{capacity: capacity, eventLag: eventLag, entries: make(map[string]*list.Element), recency: list.New()}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = make(map[string]*list.Element)
	c.recency = list.New()
	c.events = nil
}

// countCachedTokens returns the number of tokens in the longest cached prefix of a
// prompt.
func (c *prefixCache) countCachedTokens(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBytes := 0
	for _, d := range PrefixDigests(prompt) {
		if c.entries[d] == nil {
			break
		}
		cachedBytes += PrefixBlockBytes
	}
	return CountPromptTokens(prompt[:cachedBytes])
}

func (c *prefixCache) store(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range PrefixDigests(prompt) {
		if el := c.entries[d]; el != nil {
			c.recency.MoveToFront(el)
			continue
		}
		c.entries[d] = c.recency.PushFront(d)
		c.addEvent("stored", d)
	}
	for c.recency.Len() > c.capacity {
		d := c.recency.Remove(c.recency.Back()).(string)
		delete(c.entries, d)
		c.addEvent("removed", d)
	}
}

// addEvent appends an event. Every cacheEventDropPeriod-th event is dropped, so that
// its sequence number is missing. The caller holds c.mu.
func (c *prefixCache) addEvent(kind, digest string) {
	c.lastSeq++
	if c.lastSeq%cacheEventDropPeriod == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.lastSeq, Kind: kind, Prefix: digest, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the events after sequence number afterSeq that are at least
// eventLag old.
func (c *prefixCache) eventsAfter(afterSeq uint64) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cacheEvent
	for _, e := range c.events {
		if e.Seq > afterSeq && time.Since(e.at) >= c.eventLag {
			out = append(out, e)
		}
	}
	return out
}

// usedFraction returns the fraction of the cache that is in use, from 0 to 1.
func (c *prefixCache) usedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.recency.Len()) / float64(c.capacity)
}
