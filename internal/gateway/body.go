package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyBudget bounds the memory for the bodies and long heads of all requests in flight, of the
// responses that are buffered and of long events that are not complete.
type bodyBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

// reserve adds n bytes to the usage unless that exceeds the limit.
func (b *bodyBudget) reserve(n int64) bool {
	if b.usedBytes.Add(n) > b.limitBytes {
		b.usedBytes.Add(-n)
		return false
	}
	return true
}

// release undoes a reserve of n bytes.
func (b *bodyBudget) release(n int64) { b.usedBytes.Add(-n) }

// resize changes what is held of the budget to n bytes, and reports false if there is no room.
func (b *bodyBudget) resize(held *int64, n int64) bool {
	if n > *held && !b.reserve(n-*held) {
		return false
	}
	if n < *held {
		b.release(*held - n)
	}
	*held = n
	return true
}

// errNoMemory: the budget has no room for more of a body.
var errNoMemory = errors.New("no memory for the body")

// heldBody is a body in memory. All of its memory is reserved in the budget.
type heldBody struct {
	budget *bodyBudget
	bytes  []byte
	// announced: the limit of read is the length that the sender has announced.
	announced bool
	// makeRoom frees some of the budget's memory, or returns false; nil: it is not tried.
	makeRoom func() bool
}

// read reads to the end of a body, or its first limit bytes, into an array of size bytes at first,
// which grows. After an error, what has been read until then is held.
func (b *heldBody) read(r io.Reader, size, limit int64) error {
	if err := b.grow(min(size, limit)); err != nil {
		return err
	}
	for int64(len(b.bytes)) < limit {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(b.nextSize(limit)); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// nextSize returns twice the present size, or the limit if that was announced or if little more would be left.
func (b *heldBody) nextSize(limit int64) int64 {
	size := int64(cap(b.bytes))
	if b.announced || 2*size >= limit-size/2 {
		return limit
	}
	return 2 * size
}

// grow moves the body to a larger array. While it is copied, both are reserved.
func (b *heldBody) grow(size int64) error {
	for !b.budget.reserve(size) {
		if b.makeRoom == nil || !b.makeRoom() {
			return errNoMemory
		}
	}
	former := b.bytes
	b.bytes = append(make([]byte, 0, size), former...)
	b.budget.release(int64(cap(former)))
	return nil
}

// release gives the body's memory back. It must not be used any more.
func (b *heldBody) release() {
	b.budget.release(int64(cap(b.bytes)))
	b.bytes = nil
}
