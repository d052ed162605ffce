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

// chainKey names a part together with all parts before it, since a part is only
// kept behind the same ones.
type chainKey uint64

// chainKeys returns the key of each part of a chain.
func chainKeys(model string, chain []PromptSegment) []chainKey {
	keys := make([]chainKey, len(chain))
	h := xxhash.Sum64String(model)
	var b [16]byte
	for i, p := range chain {
		binary.LittleEndian.PutUint64(b[:8], h)
		binary.LittleEndian.PutUint64(b[8:], p.ID)
		h = xxhash.Sum64(b[:])
		keys[i] = chainKey(h)
	}
	return keys
}

// partLife is how long a part counts as held after its last use.
const partLife = 60 * time.Second

// held is the parts that one target keeps, by when they were last used.
type held map[chainKey]identifier.Instant

// missing returns how many tokens of a prompt the target has to read.
func (h held) missing(now identifier.Instant, chain []PromptSegment, keys []chainKey, prompt int) int {
	for i, k := range keys {
		used, ok := h[k]
		if !ok || now.Sub(used) > partLife {
			return max(prompt, 1)
		}
		prompt -= chain[i].Tokens
	}
	return max(prompt, 1)
}

// use notes that the target reads a chain. The last part belongs to one request
// and is kept too, as a request sent again may use it.
func (h held) use(now identifier.Instant, keys []chainKey) {
	for _, k := range keys {
		h[k] = now
	}
}

// forget drops parts that were not used for long.
func (h held) forget(now identifier.Instant) {
	for k, used := range h {
		if now.Sub(used) > partLife {
			delete(h, k)
		}
	}
}
