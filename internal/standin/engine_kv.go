package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

const kvHandlePrefix = "kv"

// newKVHandle returns the handle of an exported KV cache: the number of answer tokens
// that it covers, and a digest of the prompt, the seed and these tokens. The handle
// is self-contained, so that engines in different processes can use each other's
// exports without a shared store.
func newKVHandle(r completionRequest, tokens []string) string {
	return fmt.Sprintf("%s-%d-%s", kvHandlePrefix, len(tokens), kvHandleDigest(r, tokens))
}

// kvHandleTokens returns the number of answer tokens that a handle covers, and whether
// the handle matches the request's prompt, seed and prefix.
func kvHandleTokens(handle string, r completionRequest) (int, bool) {
	parts := strings.Split(handle, "-")
	if len(parts) != 3 || parts[0] != kvHandlePrefix {
		return 0, false
	}
	n, err := strconv.Atoi(parts[1])
	if err != nil || n < 0 || n > len(r.Prefix) {
		return 0, false
	}
	return n, kvHandleDigest(r, r.Prefix[:n]) == parts[2]
}

func kvHandleDigest(r completionRequest, tokens []string) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%s", r.Prompt, r.Seed, strings.Join(tokens, "\x00"))
	return hex.EncodeToString(h.Sum(nil))[:32]
}
