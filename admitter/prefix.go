package admitter

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// PromptSegment is one piece of a prompt that requests may share.
type PromptSegment struct {
	// ID is the same in all requests that share the part.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// prefixKey names a part together with all parts before it, since a part is only
// kept behind the same ones.
type prefixKey uint64

// prefixKeys returns the key of each part of a chain.
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

// prefixTTL is how long a part counts as held after its last use.
const prefixTTL = 60 * time.Second

// prefixCache is the parts that one target keeps, by when they were last used.
type prefixCache map[prefixKey]identifier.Instant

// uncachedTokens returns how many tokens of a prompt the target has to read.
func (c prefixCache) uncachedTokens(now identifier.Instant, segments []PromptSegment, keys []prefixKey, prompt int) int {
	for i, k := range keys {
		lastUse, ok := c[k]
		if !ok || now.Sub(lastUse) > prefixTTL {
			return max(prompt, 1)
		}
		prompt -= segments[i].Tokens
	}
	return max(prompt, 1)
}

// touch notes that the target reads a chain. The last part belongs to one request
// and is kept too, as a request sent again may touch it.
func (c prefixCache) touch(now identifier.Instant, keys []prefixKey) {
	for _, k := range keys {
		c[k] = now
	}
}

// prune drops parts that were not used for long.
func (c prefixCache) prune(now identifier.Instant) {
	for k, lastUse := range c {
		if now.Sub(lastUse) > prefixTTL {
			delete(c, k)
		}
	}
}
