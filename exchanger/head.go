package exchanger

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxHead bounds the head of an answer together with the interim answers before it, in
// bytes.
const maxHead = 64 << 10

// maxHeadLines bounds the lines of these heads, of which each takes up more memory than its
// bytes. It applies before each read, so that a read of readBuffer bytes may exceed it.
const maxHeadLines = 1000

// errHeadTooLong means that the head of an answer, with the interim answers before it,
// does not end within maxHead bytes and maxHeadLines lines.
var errHeadTooLong = errors.Errorf("head of the answer has more than %d bytes or %d lines", maxHead, maxHeadLines)

// headLimiter reads from a connection and fails with errHeadTooLong when its limit is
// reached. It is needed because http.ReadResponse does not limit the size of a head.
type headLimiter struct {
	r io.Reader
	// limited reports whether a limit is set, and remaining is how many bytes may still
	// be read. lines counts the lines that were read since the limit was set.
	limited   bool
	remaining int
	lines     int
}

func (h *headLimiter) setLimit(n int) { h.limited, h.remaining, h.lines = true, n, 0 }

func (h *headLimiter) clearLimit() { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(b []byte) (int, error) {
	if !h.limited {
		return h.r.Read(b)
	}
	if h.remaining <= 0 || h.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(b[:min(len(b), h.remaining)])
	h.remaining -= n
	h.lines += bytes.Count(b[:n], []byte{'\n'})
	return n, err
}
