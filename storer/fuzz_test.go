package storer

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// FuzzRead checks that an answer that cannot be read is never taken for a call
// without effect, and one without an entry never for one that succeeded.
func FuzzRead(f *testing.F) {
	f.Add(200, []byte(`{"value":"YQ==","version":3}`))
	f.Add(412, []byte(`{`))
	f.Add(503, []byte(``))
	f.Add(200, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, raw []byte) {
		e, err := read("PUT", "k", &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(raw))})
		taken := status == http.StatusOK || status == http.StatusPreconditionFailed
		if taken && (errors.Is(err, ErrRefused) || errors.Is(err, ErrAbsent)) {
			t.Fatalf("status %d with %q counts as %v", status, raw, err)
		}
		if !taken && err == nil {
			t.Fatalf("status %d counts as an answer", status)
		}
		if err == nil && e.Version == 0 {
			t.Fatalf("%q counts as an entry", raw)
		}
	})
}
