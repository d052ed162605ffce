package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errNoMemory means that the process has no memory left for what a peer sends.
var errNoMemory = errors.New("no memory is left for bodies")

// errBodyTooLong means that a body is longer than it may be.
var errBodyTooLong = errors.New("body is too long")

// memoryBudget bounds the bytes of bodies, answers and events that are held at a time.
type memoryBudget struct {
	// limit is the bound in bytes, zero for none.
	limit int64
	used atomic.Int64
}

// reserve takes n bytes, and tells whether they were left.
func (b *memoryBudget) reserve(n int64) bool {
	if used := b.used.Add(n); b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// reservation is what one request holds of a ledger. One goroutine uses it.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow takes n bytes more, and tells whether they were left.
func (r *reservation) grow(n int) bool {
	if !r.budget.reserve(int64(n)) {
		return false
	}
	r.bytes += int64(n)
	return true
}

// release gives all bytes back.
func (r *reservation) release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}

// initialBodySize is the room that a body of unknown length gets at first, in bytes.
const initialBodySize = 4 << 10

// readAll reads a body of at most a number of bytes to its end. length is what is
// stated of it, negative if nothing is; no room is made for what is only stated.
func (h *reservation) readAll(r io.Reader, declared, limit int64) ([]byte, error) {
	size := int64(initialBodySize)
	if declared >= 0 {
		size = min(size, declared+1)
	}
	if !h.grow(int(size)) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		if !h.grow(cap(body)) {
			return nil, errNoMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
