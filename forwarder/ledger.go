package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errMemory means that the process has no memory left for what a peer sends.
var errMemory = errors.New("no memory is left for bodies")

// errLong means that a body is longer than it may be.
var errLong = errors.New("body is too long")

// ledger bounds the bytes of bodies, answers and events that are held at a time.
type ledger struct {
	// most is the bound in bytes, zero for none.
	most int64
	used atomic.Int64
}

// take takes n bytes, and tells whether they were left.
func (l *ledger) take(n int64) bool {
	if used := l.used.Add(n); l.most > 0 && used > l.most {
		l.used.Add(-n)
		return false
	}
	return true
}

// holding is what one request holds of a ledger. One goroutine uses it.
type holding struct {
	ledger *ledger
	bytes  int64
}

// grow takes n bytes more, and tells whether they were left.
func (h *holding) grow(n int) bool {
	if !h.ledger.take(int64(n)) {
		return false
	}
	h.bytes += int64(n)
	return true
}

// release gives all bytes back.
func (h *holding) release() {
	h.ledger.used.Add(-h.bytes)
	h.bytes = 0
}

// firstBody is the room that a body of unknown length gets at first, in bytes.
const firstBody = 4 << 10

// read reads a body of at most a number of bytes to its end. length is what is
// stated of it, negative if nothing is; no room is made for what is only stated.
func (h *holding) read(r io.Reader, length, most int64) ([]byte, error) {
	size := int64(firstBody)
	if length >= 0 {
		size = min(size, length+1)
	}
	if !h.grow(int(size)) {
		return nil, errMemory
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return nil, errLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		if !h.grow(cap(body)) {
			return nil, errMemory
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}
