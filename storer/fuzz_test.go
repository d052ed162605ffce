package storer

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// FuzzRead checks that an answer that cannot be read is never taken for a call
// without effect.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"value":"YQ==","version":3}`))
	f.Add(412, []byte(`{`))
	f.Add(503, []byte(``))
	f.Fuzz(func(t *testing.T, status int, raw []byte) {
		_, err := read("PUT", "k", &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(raw))})
		taken := status == http.StatusOK || status == http.StatusPreconditionFailed
		if taken && (errors.Is(err, ErrRefused) || errors.Is(err, ErrAbsent)) {
			t.Fatalf("status %d with %q counts as %v", status, raw, err)
		}
		if !taken && err == nil {
			t.Fatalf("status %d counts as an answer", status)
		}
	})
}
