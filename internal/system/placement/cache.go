package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// maxParts bounds the prompt parts remembered for one backend server.
const maxParts = 4096

// Part is a part of a prompt. Requests with the same parts in the same order
// share what a model engine has cached of them.
type Part struct {
	ID     uint64
	Tokens entity.Tokens
}

// CachedPart is a part together with all parts before it.
type CachedPart struct {
	Key    uint64        `cbor:"1,keyasint"`
	Tokens entity.Tokens `cbor:"2,keyasint"`           // of the part itself
	Before entity.Tokens `cbor:"3,keyasint,omitempty"` // of the parts before it
}

// chain returns the keys of the parts. Each key covers the parts before it.
func chain(parts []Part) []CachedPart {
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

// Shared returns the keys of the parts that other requests may share. The last
// part belongs to the request alone.
func Shared(parts []Part) []CachedPart {
	if len(parts) < 2 {
		return nil
	}
	return chain(parts[:len(parts)-1])
}

// promptCache is what a model engine probably has cached: the parts placed
// there last, up to its memory.
type promptCache struct {
	capacity entity.Tokens
	parts    map[uint64]cached
	tokens   entity.Tokens
}

type cached struct {
	tokens entity.Tokens
	used   time.Time
}

func newPromptCache(capacity entity.Tokens) promptCache {
	return promptCache{capacity: capacity, parts: make(map[uint64]cached)}
}

// uncached returns how much of a prompt must be read.
func (c *promptCache) uncached(prompt entity.Tokens, keys []CachedPart) entity.Tokens {
	for i := len(keys) - 1; i >= 0; i-- {
		if _, ok := c.parts[keys[i].Key]; ok {
			return max(prompt-keys[i].Before-keys[i].Tokens, 1)
		}
	}
	return max(prompt, 1)
}

// add remembers the shared parts of a prompt placed here.
func (c *promptCache) add(now time.Time, parts []Part) {
	c.addKeys(now, Shared(parts))
}

func (c *promptCache) addKeys(now time.Time, keys []CachedPart) {
	for _, k := range keys {
		if _, ok := c.parts[k.Key]; !ok {
			c.tokens += k.Tokens
		}
		c.parts[k.Key] = cached{tokens: k.Tokens, used: now}
	}
	for (c.tokens > c.capacity/2 || len(c.parts) > maxParts) && len(c.parts) > 0 {
		c.evict()
	}
}

// evict forgets the part that was used longest ago.
func (c *promptCache) evict() {
	var oldest uint64
	var at time.Time
	for key, part := range c.parts {
		if at.IsZero() || part.used.Before(at) || part.used.Equal(at) && key < oldest {
			oldest, at = key, part.used
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
