package journal

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// keyHash identifies a key: the first half of the SHA-256 of its parts.
type keyHash [16]byte

func hashKey(k Key) keyHash {
	h := sha256.New()
	writePart(h.Write, string(k.Organisation))
	writePart(h.Write, string(k.Service))
	writePart(h.Write, k.Value)
	return keyHash(h.Sum(nil)[:16])
}

// writePart writes a string after its length, so that different keys never give
// the same hash input.
func writePart(write func([]byte) (int, error), s string) {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(s)))
	_, _ = write(size[:])
	_, _ = write([]byte(s))
}

// shard returns the number of the key's shard. It uses other bits of the hash
// than position.
func (h keyHash) shard(shards int) int {
	return int(binary.BigEndian.Uint64(h[8:]) % uint64(shards))
}

// position returns the key's position in the order of a segment.
func (h keyHash) position() uint64 { return binary.BigEndian.Uint64(h[:8]) }

const (
	// shardPartition holds the shards' rows, which every daemon polls.
	shardPartition = "journal"
	// manifestPartition holds the shards' manifests, under the same sort keys.
	manifestPartition = "journal/manifest"
)

func shardSortKey(shard int) string { return fmt.Sprintf("shard/%02d", shard) }

func batchPartition(shard int) string { return fmt.Sprintf("journal/%02d", shard) }

// batchSortKey orders the batch rows of a shard by epoch, then by sequence
// number.
func batchSortKey(epoch, sequence uint64) string { return fmt.Sprintf("%012x/%012x", epoch, sequence) }
