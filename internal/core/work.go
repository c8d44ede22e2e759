// Package core is the deterministic state machine of a daemon: tables of
// requests, and the systems that process them in each tick. It does no I/O,
// reads no clock and starts no goroutine. Its caller passes inputs to Tick and
// performs what the returned Outbox contains.
package core

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// bytesPerToken is the number of bytes of prompt text counted as one token
	// when the tokens of a prompt are estimated.
	bytesPerToken = 4
	// prefixBlockBytes is the length of the blocks of a prompt. The prefixes
	// that end at a block boundary are hashed for cache affinity.
	prefixBlockBytes = 256
	// maxPrefixHashes bounds the number of prefix hashes of one request.
	maxPrefixHashes = 16
)

// Completion is a request to a model engine.
type Completion struct {
	Model     string `cbor:"1,keyasint,omitempty"`
	Prompt    string `cbor:"2,keyasint"`
	MaxTokens int    `cbor:"3,keyasint"`
	Seed      uint64 `cbor:"4,keyasint,omitempty"`
}

// HeaderField is one header field of a plain call or its reply.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// PlainCall is an HTTP request to a plain service.
type PlainCall struct {
	Method string        `cbor:"1,keyasint"`
	Path   string        `cbor:"2,keyasint"` // with the leading slash
	Query  string        `cbor:"3,keyasint,omitempty"`
	Header []HeaderField `cbor:"4,keyasint,omitempty"`
	Body   []byte        `cbor:"5,keyasint,omitempty"`
}

// Work is what a caller asks for. Exactly one of Completion and Call is set.
type Work struct {
	Service      entity.ServiceName    `cbor:"1,keyasint"`
	Organisation entity.OrganisationID `cbor:"2,keyasint"`
	Completion   *Completion           `cbor:"3,keyasint,omitempty"`
	Call         *PlainCall            `cbor:"4,keyasint,omitempty"`
	Priority     entity.Priority       `cbor:"5,keyasint,omitempty"`
	Stream       bool                  `cbor:"6,keyasint,omitempty"`
	Repeatable   bool                  `cbor:"7,keyasint,omitempty"`
	Key          string                `cbor:"8,keyasint,omitempty"` // idempotency key
	Digest       entity.Digest         `cbor:"9,keyasint"`
}

// valid reports whether work received from another daemon is well formed.
func (w *Work) valid() bool {
	if (w.Completion == nil) == (w.Call == nil) || w.Priority >= entity.PriorityCount {
		return false
	}
	return w.Completion == nil || w.Completion.MaxTokens > 0
}

// cost estimates the tokens that the work will use; a plain call counts as one.
func (w *Work) cost() entity.Tokens {
	if w.Completion == nil {
		return 1
	}
	return entity.Tokens(len(w.Completion.Prompt)/bytesPerToken + w.Completion.MaxTokens)
}

// computeDigest hashes the fields that define the content of a request.
// Requests with the same digest have the same content.
func (w *Work) computeDigest() entity.Digest {
	h := sha256.New()
	part := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	part([]byte(w.Service))
	if c := w.Completion; c != nil {
		part([]byte(c.Model))
		part([]byte(c.Prompt))
		var n [16]byte
		binary.BigEndian.PutUint64(n[:8], uint64(c.MaxTokens))
		binary.BigEndian.PutUint64(n[8:], c.Seed)
		part(n[:])
	}
	if c := w.Call; c != nil {
		part([]byte(c.Method))
		part([]byte(c.Path))
		part([]byte(c.Query))
		part(c.Body)
	}
	var d entity.Digest
	h.Sum(d[:0])
	return d
}

// prefixes returns hashes of the growing prefixes of the prompt: the first 64
// bits of their SHA-256, by which engines name prefixes in cache events.
func (w *Work) prefixes() []uint64 {
	if w.Completion == nil {
		return nil
	}
	h := sha256.New()
	p := w.Completion.Prompt
	var sum [sha256.Size]byte
	var out []uint64
	for len(p) >= prefixBlockBytes && len(out) < maxPrefixHashes {
		_, _ = io.WriteString(h, p[:prefixBlockBytes])
		out = append(out, binary.BigEndian.Uint64(h.Sum(sum[:0])))
		p = p[prefixBlockBytes:]
	}
	return out
}

// Usage counts the tokens of one answer.
type Usage struct {
	Prompt     int `cbor:"1,keyasint,omitempty" json:"prompt_tokens"`
	Completion int `cbor:"2,keyasint,omitempty" json:"completion_tokens"`
	Cached     int `cbor:"3,keyasint,omitempty" json:"cached_tokens"`
	Recomputed int `cbor:"4,keyasint,omitempty" json:"recomputed_tokens"`
}

// Answer is the complete answer to a request.
type Answer struct {
	Tokens       []string      `cbor:"1,keyasint,omitempty"`
	FinishReason string        `cbor:"2,keyasint,omitempty"`
	Usage        Usage         `cbor:"3,keyasint,omitempty"`
	Status       int           `cbor:"4,keyasint,omitempty"` // HTTP status of a plain service's reply
	Header       []HeaderField `cbor:"5,keyasint,omitempty"`
	Body         []byte        `cbor:"6,keyasint,omitempty"`
}

// Progress describes a run that another daemon has started, or that was
// suspended.
type Progress struct {
	Attempt entity.AttemptNumber  `cbor:"1,keyasint,omitempty"`
	Backend *entity.BackendServer `cbor:"2,keyasint,omitempty"` // where the run is; nil: on no backend server
	Tokens  []string              `cbor:"3,keyasint,omitempty"`
	Handle  string                `cbor:"4,keyasint,omitempty"` // name of the latest exported KV cache
	// MayHaveRun: an attempt was sent, or may have been sent by a daemon that
	// has not reported it.
	MayHaveRun bool `cbor:"5,keyasint,omitempty"`
}

// toMicros returns a duration in the unit of messages, microseconds.
func toMicros(d time.Duration) int64 { return d.Microseconds() }

// fromMicros returns the duration of a number of microseconds.
func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
