package standin

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

// PrefixBlockBytes is the unit in which engines cache prompts: a prompt's
// cacheable prefixes end at multiples of it.
const PrefixBlockBytes = 256

const maxCacheEvents = 1 << 16

// PrefixDigests returns the hex digests under which an engine caches a prompt,
// shortest prefix first.
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

// cacheEvent is an event of GET /v1/cache/events.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // stored or removed
	Prefix string `json:"prefix"`
	at     time.Time
}

// prefixCache holds digests of prompt prefixes, least recently used first out.
type prefixCache struct {
	capacity int
	eventLag time.Duration

	mu      sync.Mutex
	entries map[string]*list.Element
	recency *list.List // of string, most recent first
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

// lookup returns the number of a prompt's tokens that are cached.
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

// emit adds an event; one in cacheEventGap leaves only a gap in the sequence.
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

// after returns the events above a sequence number that are old enough to be
// told.
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

// used returns the share of the cache that is occupied.
func (c *prefixCache) usedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.recency.Len()) / float64(c.capacity)
}
