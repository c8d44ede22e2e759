package outbound

import (
	"hash/maphash"
	"slices"
)

// maxCarriedRequests bounds the requests that are remembered for one connection.
const maxCarriedRequests = 512

// carriedRequests are the requests that a connection has carried, as hashes of their IDs.
type carriedRequests []uint32

var carriedSeed = maphash.MakeSeed()

// hashID returns the hash by which a request is remembered.
func hashID(id string) uint32 { return uint32(maphash.String(carriedSeed, id)) }

// contains reports whether a request with this ID is remembered. Two IDs with the same hash pass
// for one.
func (c carriedRequests) contains(id string) bool { return slices.Contains(c, hashID(id)) }

// add remembers a request, unless there are maxCarriedRequests already.
func (c *carriedRequests) add(id string) {
	if len(*c) < maxCarriedRequests {
		*c = append(*c, hashID(id))
	}
}
