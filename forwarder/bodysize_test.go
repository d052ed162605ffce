package forwarder

import (
	"bytes"
	"testing"
)

// TestMaxHeldBodyIsWhatReadAllHolds guards against a stated maximum that differs from what
// a budget lets through, should the growth of buffers change: the longest body must be read,
// and one byte more must be refused.
func TestMaxHeldBodyIsWhatReadAllHolds(t *testing.T) {
	for _, limit := range []int64{0, 100, initialBodySize - 1, initialBodySize, 3 * initialBodySize, 30 << 20} {
		longest := MaxHeldBody(limit)
		if limit < initialBodySize {
			if longest != 0 {
				t.Errorf("limit %d: %d bytes, want 0", limit, longest)
			}
			continue
		}
		for _, length := range []int64{longest, longest + 1} {
			r := &reservation{budget: &memoryBudget{limit: limit}}
			body := &wholeReader{bytes.NewReader(make([]byte, length))}
			_, err := r.readAll(body, length, 1<<40)
			if held := err == nil; held != (length == longest) {
				t.Errorf("limit %d: body of %d bytes: %v, longest %d", limit, length, err, longest)
			}
		}
	}
}

// wholeReader returns the end of its bytes together with the last of them, as the body of a
// request with a declared length does.
type wholeReader struct{ *bytes.Reader }

func (r *wholeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == nil && r.Len() == 0 {
		_, err = r.Reader.Read(p[:1])
	}
	return n, err
}
