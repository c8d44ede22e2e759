package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
)

// CrashMarker in a prompt makes an engine die.
const CrashMarker = "CRASH-ENGINE"

// ExpectedText returns the whole answer that an engine without a variant gives.
func ExpectedText(prompt string, seed uint64, maxTokens int) string {
	return strings.Join(ExpectedTokens(prompt, seed, maxTokens), "")
}

// ExpectedTokens returns the tokens of that answer.
func ExpectedTokens(prompt string, seed uint64, maxTokens int) []string {
	g := newGenerator(prompt, seed, "")
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = g.token(i + 1)
	}
	return tokens
}

// PromptTokens returns the number of tokens that the engines count in a prompt.
func CountPromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// PromptDigest returns the hex digest that runs are recorded under.
func PromptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])
}

// generator produces the tokens of one answer: each depends on the prompt, the
// seed, the variant and its index alone.
type generator struct {
	seedHash uint64
}

func newGenerator(prompt string, seed uint64, variant string) generator {
	h := sha256.New()
	_, _ = h.Write([]byte(prompt))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(variant))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, seed))
	return generator{seedHash: binary.BigEndian.Uint64(h.Sum(nil))}
}

// token returns the token with an index counted from 1.
func (g generator) token(index int) string {
	x := mixBits(g.seedHash + uint64(index))
	return "t" + strconv.FormatUint(x&0xffff, 16) + " "
}

// mix is the finaliser of splitmix64 (Steele, Lea and Flood, 2014).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
