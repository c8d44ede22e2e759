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
	var out []string
	h := sha256.New()
	for len(prompt) >= PrefixBlockBytes {
		_, _ = h.Write([]byte(prompt[:PrefixBlockBytes]))
		out = append(out, hex.EncodeToString(h.Sum(nil)))
		prompt = prompt[PrefixBlockBytes:]
	}
	return out
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
	lag      time.Duration

	mu      sync.Mutex
	entries map[string]*list.Element
	order   *list.List // of string, most recent first
	events  []cacheEvent
	seq     uint64
}

func newPrefixCache(capacity int, lag time.Duration) *prefixCache {
	return &prefixCache{capacity: capacity, lag: lag, entries: make(map[string]*list.Element), order: list.New()}
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = make(map[string]*list.Element)
	c.order = list.New()
	c.events = nil
}

// lookup returns the number of a prompt's tokens that are cached.
func (c *prefixCache) lookup(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := 0
	for _, d := range PrefixDigests(prompt) {
		if c.entries[d] == nil {
			break
		}
		bytes += PrefixBlockBytes
	}
	return PromptTokens(prompt[:bytes])
}

func (c *prefixCache) store(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range PrefixDigests(prompt) {
		if el := c.entries[d]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.entries[d] = c.order.PushFront(d)
		c.emit("stored", d)
	}
	for c.order.Len() > c.capacity {
		d := c.order.Remove(c.order.Back()).(string)
		delete(c.entries, d)
		c.emit("removed", d)
	}
}

// emit adds an event; one in cacheEventGap leaves only a gap in the sequence.
func (c *prefixCache) emit(kind, digest string) {
	c.seq++
	if c.seq%cacheEventGap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: digest, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// after returns the events above a sequence number that are old enough to be
// told.
func (c *prefixCache) after(seq uint64) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cacheEvent
	for _, e := range c.events {
		if e.Seq > seq && time.Since(e.at) >= c.lag {
			out = append(out, e)
		}
	}
	return out
}

// used returns the share of the cache that is occupied.
func (c *prefixCache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.order.Len()) / float64(c.capacity)
}
