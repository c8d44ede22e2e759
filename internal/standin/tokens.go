package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
)

// CrashMarker makes the backend server crash that receives it in a prompt or in the
// body of a plain call.
const CrashMarker = "CRASH-ENGINE"

// ExpectedText returns the complete answer of an engine without a variant.
func ExpectedText(prompt string, seed uint64, maxTokens int) string {
	return strings.Join(ExpectedTokens(prompt, seed, maxTokens), "")
}

// ExpectedTokens returns the tokens of the complete answer of an engine without a
// variant.
func ExpectedTokens(prompt string, seed uint64, maxTokens int) []string {
	g := newGenerator(prompt, seed, "")
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = g.token(i + 1)
	}
	return tokens
}

// CountPromptTokens returns the number of tokens that the engines count in a prompt.
func CountPromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// PromptDigest returns the hex digest that identifies a prompt in a Run. For a plain
// call, the request body counts as its prompt.
func PromptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])
}

// generator generates the tokens of one answer. A token depends only on the prompt, the
// seed, the variant and the token's index.
type generator struct {
	seedHash uint64 // hash of prompt, variant and seed
}

func newGenerator(prompt string, seed uint64, variant string) generator {
	h := sha256.New()
	_, _ = h.Write([]byte(prompt))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(variant))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, seed))
	return generator{seedHash: binary.BigEndian.Uint64(h.Sum(nil))}
}

// token returns the token at an index, counted from 1.
func (g generator) token(index int) string {
	x := mixBits(g.seedHash + uint64(index))
	return "t" + strconv.FormatUint(x&0xffff, 16) + " "
}

// mixBits is the finaliser of splitmix64 (Steele, Lea and Flood, 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
