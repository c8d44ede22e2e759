// Package rendezvous chooses nodes for a key by rendezvous hashing: all daemons that know the
// same nodes choose the same ones, and a node more or less changes few choices.
package rendezvous

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key. The nodes with the highest ones are chosen.
func Weight(node, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(node) // a hash returns no error
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// Compare orders two nodes for a key: by descending weight, and by name where these are equal.
func Compare(a, b, key string) int {
	return cmp.Or(cmp.Compare(Weight(b, key), Weight(a, key)), cmp.Compare(a, b))
}
