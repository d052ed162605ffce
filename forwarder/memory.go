package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errNoMemory means that the memory budget has no bytes left for what a peer sends.
var errNoMemory = errors.New("no memory is left for bodies")

// errBodyTooLong means that a body exceeds its size limit.
var errBodyTooLong = errors.New("body is too long")

// memoryBudget bounds the bytes of request bodies, answers and events that are in
// memory at a time.
type memoryBudget struct {
	// limit is the bound in bytes, zero for none.
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether they were available.
func (b *memoryBudget) reserve(n int64) bool {
	if used := b.used.Add(n); b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// reservation is the part of a memory budget that one request has reserved. It is not
// safe for concurrent use.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow reserves n more bytes and reports whether they were available.
func (m *reservation) grow(n int) bool {
	if !m.budget.reserve(int64(n)) {
		return false
	}
	m.bytes += int64(n)
	return true
}

// release returns all bytes to the budget.
func (m *reservation) release() {
	m.budget.used.Add(-m.bytes)
	m.bytes = 0
}

// initialBodySize is the largest buffer allocated for a body before any of it is read,
// in bytes.
const initialBodySize = 4 << 10

// readAll reads r to its end and returns what it read. declared is the body's declared
// length, negative if there is none. No more than initialBodySize is allocated on the
// strength of the declared length. The error is errBodyTooLong beyond limit bytes, and
// errNoMemory if the budget is used up.
func (m *reservation) readAll(r io.Reader, declared, limit int64) ([]byte, error) {
	size := int64(initialBodySize)
	if declared >= 0 {
		size = min(size, declared+1)
	}
	if !m.grow(int(size)) {
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
		if !m.grow(cap(body)) {
			return nil, errNoMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
