package exchanger

import (
	"io"

	"github.com/pkg/errors"
)

// maxHead bounds the head of an answer together with the interim answers before
// it, in bytes.
const maxHead = 64 << 10

// errHead means that the head of an answer does not end.
var errHead = errors.Errorf("head of the answer has more than %d bytes", maxHead)

// headBound reads from a connection, and fails when the bound that is set is
// reached. The parser of heads has none of its own.
type headBound struct {
	r io.Reader
	// bounded tells that a bound is set, and left how many bytes may still be read.
	bounded bool
	left    int
}

func (h *headBound) limit(n int) { h.bounded, h.left = true, n }

func (h *headBound) lift() { h.bounded = false }

// Read implements io.Reader.
func (h *headBound) Read(b []byte) (int, error) {
	if !h.bounded {
		return h.r.Read(b)
	}
	if h.left <= 0 {
		return 0, errHead
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}
