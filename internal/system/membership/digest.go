package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets into which a digest splits the entries.
// A Sync message compares them one by one.
const bucketCount = 32

// digest summarises which members and gossip records a daemon holds, and at
// which versions. Each bucket is the exclusive or of the hashes of its entries,
// so that entries can be added and removed in any order. Dead members and
// dropped records are not part of it.
type digest struct {
	buckets [bucketCount]uint64
}

func (d *digest) root() uint64 {
	var sum uint64
	for _, b := range d.buckets {
		sum ^= b
	}
	return sum
}

// xorMember adds the member at its present version to the digest or, if it has
// been added, removes it.
func (d *digest) xorMember(r *row) {
	version := uint64(r.Incarnation) << 1
	if r.suspected {
		version |= 1
	}
	key := memberHash(r)
	d.buckets[key%bucketCount] ^= entryHash(key, version)
}

// xorRecord adds a gossip record to the digest or, if it has been added,
// removes it.
func (d *digest) xorRecord(r *recordRow) {
	key := recordHash(r.recordKey)
	d.buckets[key%bucketCount] ^= entryHash(key, r.Version)
}

func memberHash(r *row) uint64 { return xxhash.Sum64String(string(r.ID)) }

func recordHash(k recordKey) uint64 {
	return xxhash.Sum64String("news\x00" + string(rune(k.Topic)) + k.Key)
}

func entryHash(key, version uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], version)
	return xxhash.Sum64(b[:])
}
