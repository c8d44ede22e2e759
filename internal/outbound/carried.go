package outbound

import (
	"hash/maphash"
	"slices"
)

// maxCarriedRequests is the number of requests after which a connection is closed, so that what it has
// carried is remembered whole.
const maxCarriedRequests = 512

// carriedRequests are the requests that a connection has carried, as hashes of their IDs. A connection
// carries an ID once: a backend server may write an answer once more, and only on a connection that
// carries its ID once does the ID tell which exchange an answer belongs to.
type carriedRequests []uint32

var carriedSeed = maphash.MakeSeed()

// hashID returns the hash by which a request is remembered.
func hashID(id string) uint32 { return uint32(maphash.String(carriedSeed, id)) }

// contains reports whether a request with this ID has been carried. Two IDs with the same hash pass
// for one; requests without an ID are not remembered.
func (c carriedRequests) contains(id string) bool {
	return id != "" && slices.Contains(c, hashID(id))
}

// add remembers a request.
func (c *carriedRequests) add(id string) {
	if id != "" {
		*c = append(*c, hashID(id))
	}
}

// full reports whether no further request may be carried.
func (c carriedRequests) full() bool { return len(c) >= maxCarriedRequests }
