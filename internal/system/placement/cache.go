package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxCachedParts is the largest number of prompt parts remembered for one
// backend server.
const maxCachedParts = 4096

// Part is a part of a prompt. Two requests that start with the same parts in
// the same order share what a model engine has cached of them.
type Part struct {
	ID     uint64
	Tokens entity.Tokens
}

// CachedPart identifies a part together with all parts before it.
type CachedPart struct {
	Key    uint64        `cbor:"1,keyasint"`
	Tokens entity.Tokens `cbor:"2,keyasint"`           // of the part itself
	Before entity.Tokens `cbor:"3,keyasint,omitempty"` // of the parts before it
}

// chainKeys returns the keys of the parts. Each key also depends on the parts
// before it.
func chainKeys(parts []Part) []CachedPart {
	out := make([]CachedPart, len(parts))
	var key uint64
	var before entity.Tokens
	for i, part := range parts {
		var buf [16]byte
		binary.LittleEndian.PutUint64(buf[:8], key)
		binary.LittleEndian.PutUint64(buf[8:], part.ID)
		key = xxhash.Sum64(buf[:])
		out[i] = CachedPart{Key: key, Tokens: part.Tokens, Before: before}
		before += part.Tokens
	}
	return out
}

// SharedParts returns the keys of the parts that other requests may share. The
// last part is specific to the request.
func SharedParts(parts []Part) []CachedPart {
	if len(parts) < 2 {
		return nil
	}
	return chainKeys(parts[:len(parts)-1])
}

// promptCache estimates what a model engine has cached: the parts of the
// prompts last placed there, up to half of the engine's capacity.
type promptCache struct {
	capacity entity.Tokens // of the engine's memory
	parts    map[uint64]cacheEntry
	tokens   entity.Tokens // sum over parts
}

type cacheEntry struct {
	tokens   entity.Tokens
	lastUsed time.Time
}

func newPromptCache(capacity entity.Tokens) promptCache {
	return promptCache{capacity: capacity, parts: make(map[uint64]cacheEntry)}
}

// uncached returns how many tokens of a prompt the engine must read, given the
// keys of its parts.
func (c *promptCache) uncached(prompt entity.Tokens, keys []CachedPart) entity.Tokens {
	for i := len(keys) - 1; i >= 0; i-- {
		if _, ok := c.parts[keys[i].Key]; ok {
			return max(prompt-keys[i].Before-keys[i].Tokens, 1)
		}
	}
	return max(prompt, 1)
}

// add remembers the shared parts of a prompt placed on this backend server.
func (c *promptCache) add(now time.Time, parts []Part) {
	c.addKeys(now, SharedParts(parts))
}

func (c *promptCache) addKeys(now time.Time, keys []CachedPart) {
	for _, k := range keys {
		if _, ok := c.parts[k.Key]; !ok {
			c.tokens += k.Tokens
		}
		c.parts[k.Key] = cacheEntry{tokens: k.Tokens, lastUsed: now}
	}
	for (c.tokens > c.capacity/2 || len(c.parts) > maxCachedParts) && len(c.parts) > 0 {
		c.evict()
	}
}

// evict removes the part that was used least recently.
func (c *promptCache) evict() {
	var oldest uint64
	var at time.Time
	for key, part := range c.parts {
		if at.IsZero() || part.lastUsed.Before(at) || part.lastUsed.Equal(at) && key < oldest {
			oldest, at = key, part.lastUsed
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
