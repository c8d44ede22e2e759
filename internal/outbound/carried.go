package outbound

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is the number of requests after which a connection is replaced, so that what it has
// carried is remembered whole.
const maxCarriedIDs = 512

// idHash is the hash by which the ID of a request is remembered.
type idHash uint32

// noID is the hash of a request without an ID, which is not remembered.
const noID idHash = 0

var idSeed = maphash.MakeSeed()

// hashID returns the hash of an ID.
func hashID(id string) idHash {
	if id == "" {
		return noID
	}
	return idHash(maphash.String(idSeed, id)) | 1 // is not noID
}

// carriedIDs are the IDs of the requests that a connection has carried. It carries an ID once: a backend
// server may write an answer once more, and only on a connection that carries its ID once does the ID
// identify the exchange that an answer belongs to.
type carriedIDs []idHash

// contains reports whether a request with this ID has been carried. Two IDs with the same hash pass
// for one.
func (c carriedIDs) contains(id idHash) bool { return id != noID && slices.Contains(c, id) }

// add remembers a request.
func (c *carriedIDs) add(id idHash) {
	if id != noID {
		*c = append(*c, id)
	}
}

// mayCarry reports whether a connection that has carried these may carry another request.
func (c carriedIDs) mayCarry(id idHash) bool { return len(c) < maxCarriedIDs && !c.contains(id) }
