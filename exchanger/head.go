package exchanger

import (
	"io"

	"github.com/pkg/errors"
)

// maxHead bounds the head of an answer together with the interim answers before
// it, in bytes.
const maxHead = 64 << 10

// errHeadTooLong means that the head of an answer does not end.
var errHeadTooLong = errors.Errorf("head of the answer has more than %d bytes", maxHead)

// headLimiter reads from a connection, and fails when the bound that is set is
// reached. The parser of heads has none of its own.
type headLimiter struct {
	r io.Reader
	// limited tells that a bound is set, and left how many bytes may still be read.
	limited bool
	remaining    int
}

func (h *headLimiter) setLimit(n int) { h.limited, h.remaining = true, n }

func (h *headLimiter) clearLimit() { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(b []byte) (int, error) {
	if !h.limited {
		return h.r.Read(b)
	}
	if h.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(b[:min(len(b), h.remaining)])
	h.remaining -= n
	return n, err
}
