package admitter

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// PromptSegment is a segment of a prompt. Requests may share segments.
type PromptSegment struct {
	// ID is the same in all requests that share the segment.
	ID uint64
	// Tokens is its length in tokens.
	Tokens int
}

// prefixKey identifies a segment together with the model and all segments before it,
// since a segment is only cached behind the same ones.
type prefixKey uint64

// prefixKeys returns the key of the prefix that ends with each segment.
func prefixKeys(model string, segments []PromptSegment) []prefixKey {
	keys := make([]prefixKey, len(segments))
	h := xxhash.Sum64String(model)
	var b [16]byte
	for i, p := range segments {
		binary.LittleEndian.PutUint64(b[:8], h)
		binary.LittleEndian.PutUint64(b[8:], p.ID)
		h = xxhash.Sum64(b[:])
		keys[i] = prefixKey(h)
	}
	return keys
}

// prefixTTL is how long a prefix is assumed to be cached after its last use.
const prefixTTL = 60 * time.Second

// prefixCache holds the prefixes that one target is assumed to have cached, with the time
// of their last use.
type prefixCache map[prefixKey]identifier.Instant

// uncachedTokens returns how many tokens of a prompt the target has to prefill, at least
// 1.
func (c prefixCache) uncachedTokens(now identifier.Instant, segments []PromptSegment, keys []prefixKey, promptTokens int) int {
	for i, k := range keys {
		lastUse, ok := c[k]
		if !ok || now.Sub(lastUse) > prefixTTL {
			return max(promptTokens, 1)
		}
		promptTokens -= segments[i].Tokens
	}
	return max(promptTokens, 1)
}

// touch records that the target uses the prefixes with the given keys. The last one
// belongs to one request and is kept too, as a retry of the request may use it.
func (c prefixCache) touch(now identifier.Instant, keys []prefixKey) {
	for _, k := range keys {
		c[k] = now
	}
}

// prune drops the prefixes that were not used for prefixTTL.
func (c prefixCache) prune(now identifier.Instant) {
	for k, lastUse := range c {
		if now.Sub(lastUse) > prefixTTL {
			delete(c, k)
		}
	}
}
