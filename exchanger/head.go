package exchanger

import (
	"io"

	"github.com/pkg/errors"
)

// maxHead bounds the head of an answer together with the interim answers before it, in
// bytes.
const maxHead = 64 << 10

// errHeadTooLong means that the head of an answer, with the interim answers before it,
// does not end within maxHead bytes.
var errHeadTooLong = errors.Errorf("head of the answer has more than %d bytes", maxHead)

// headLimiter reads from a connection and fails with errHeadTooLong when its limit is
// reached. It is needed because http.ReadResponse does not limit the size of a head.
type headLimiter struct {
	r io.Reader
	// limited reports whether a limit is set, and remaining is how many bytes may still
	// be read.
	limited   bool
	remaining int
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
