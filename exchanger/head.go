package exchanger

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxHead bounds the head of an answer together with the interim answers before it, in
// bytes.
const maxHead = 64 << 10

// maxHeadLines bounds the lines of these heads, of which each takes up more memory than its
// bytes.
const maxHeadLines = 1000

// errHeadTooLong means that the head of an answer, with the interim answers before it,
// does not end within maxHead bytes and maxHeadLines lines.
var errHeadTooLong = errors.Errorf("head of the answer has more than %d bytes or %d lines", maxHead, maxHeadLines)

// headReader reads from a connection and checks the heads of answers on their way, since
// http.ReadResponse neither limits the size of a head nor refuses all that are malformed. It
// is safe for concurrent use by one reader and one caller of expect.
type headReader struct {
	r io.Reader
	// unread are bytes that were read and have to be read again. Only the reader uses it.
	unread []byte
	// mu guards the fields below.
	mu sync.Mutex
	// expected reports whether the next bytes belong to a head. size and lines count what
	// was read of it and the interim heads before it, and line holds its last line as far
	// as it was read.
	expected    bool
	size, lines int
	line        []byte
	rule        headRule
	// fault is the fault of a head. All reads after it fail, as nothing that follows it
	// belongs to an answer.
	fault error
}

// expect makes the reader check the next bytes as the head of an answer.
func (h *headReader) expect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected, h.size, h.lines = true, 0, 0
	h.line, h.rule = nil, headRule{}
}

// Read implements io.Reader. It fails once a head is malformed or too long.
func (h *headReader) Read(b []byte) (int, error) {
	n, err := h.readAny(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	for rest := b[:n]; h.expected && h.fault == nil && len(rest) > 0; {
		rest, h.fault = h.checkLine(rest)
	}
	if h.fault != nil {
		return 0, h.fault
	}
	return n, err
}

// readAny reads bytes of any kind.
func (h *headReader) readAny(b []byte) (int, error) {
	if len(h.unread) == 0 {
		return h.r.Read(b)
	}
	n := copy(b, h.unread)
	h.unread = h.unread[n:]
	return n, nil
}

// checkLine checks the line of a head that b begins with or goes on with, and returns what
// follows it. The caller holds mu.
func (h *headReader) checkLine(b []byte) (rest []byte, err error) {
	line, rest, ended := bytes.Cut(b, []byte("\n"))
	if h.size += len(b) - len(rest); h.size > maxHead || h.lines >= maxHeadLines {
		return nil, errHeadTooLong
	}
	if len(h.line) > 0 || !ended {
		h.line = append(h.line, line...)
		line = h.line
	}
	if !ended {
		return nil, nil
	}
	h.lines++
	last, err := h.rule.next(bytes.TrimSuffix(line, []byte("\r")))
	h.line = h.line[:0]
	if last {
		h.expected, h.line = false, nil
	}
	return rest, err
}
