package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of parts that a Sync compares one by one.
const bucketCount = 32

// digest sums up which members and news a daemon holds, at which versions. It
// is the exclusive or of a hash of each entry, so that entries can be put in
// and taken out in any order. Dead members and dropped news are not in it.
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

// toggle puts a member's present version in, or takes it out.
func (d *digest) toggle(r *row) {
	version := uint64(r.Incarnation) << 1
	if r.suspected {
		version |= 1
	}
	key := memberHash(r)
	d.buckets[key%bucketCount] ^= mix(key, version)
}

// toggleNews does the same for a piece of news.
func (d *digest) toggleNews(n *newsRow) {
	key := newsHash(n.newsKey)
	d.buckets[key%bucketCount] ^= mix(key, n.Version)
}

func memberHash(r *row) uint64 { return xxhash.Sum64String(string(r.ID)) }

func newsHash(k newsKey) uint64 {
	return xxhash.Sum64String("news\x00" + string(rune(k.Topic)) + k.Key)
}

func mix(key, version uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], version)
	return xxhash.Sum64(b[:])
}
