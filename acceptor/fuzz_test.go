package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"

	"buckthorndrum/validator"
)

// foldedFraming matches a folded field that determines the length of the body, which
// net/http accepts.
var foldedFraming = regexp.MustCompile(`(?im)^(content-length|transfer-encoding):[^\n]*\n[ \t]`)

// strictBody matches what a body may have only in net/http: a line of a trailer without CR, and
// a chunk's size with more than maxChunkDigits digits.
var strictBody = regexp.MustCompile(`(^|[^\r])\n|[0-9a-fA-F]{16}`)

// FuzzHead checks that the end of a request does not depend on how its bytes are divided
// into reads, and that it is where net/http ends it. Another end would lose or mix requests,
// or hide a head from the limits.
func FuzzHead(f *testing.F) {
	for _, e := range exchanges {
		f.Add([]byte(e.sent), byte(7))
	}
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n00a\r\n0123456789\r\n0\r\nX:\r\n\r\n"), byte(0))
	f.Add([]byte("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n"), byte(1))
	f.Fuzz(func(t *testing.T, raw []byte, step byte) {
		raw = bytes.TrimLeft(raw, "\r\n")
		end, length, ok := scanRequest(raw, len(raw)+1)
		stepEnd, stepLength, stepOK := scanRequest(raw, 1+int(step))
		if end != stepEnd || length != stepLength || ok != stepOK {
			t.Fatalf("at once: head %d, request %d, %v; in parts of %d: %d, %d, %v", end, length, ok, 1+int(step), stepEnd, stepLength, stepOK)
		}
		compareWithServer(t, raw, end, length, ok)
	})
}

// compareWithServer checks the ends of a head and of its body, as scanRequest returns them,
// against those that net/http finds.
func compareWithServer(t *testing.T, raw []byte, end, length int, ok bool) {
	t.Helper()
	rest := bufio.NewReaderSize(bytes.NewReader(raw), max(len(raw), 8<<10))
	req, err := http.ReadRequest(rest)
	if err != nil || req.ProtoMajor != 1 {
		return
	}
	if end == 0 {
		if !ok && validNames(req.Header) && !foldedFraming.Match(raw) {
			t.Fatalf("%q is rejected", raw)
		}
		return
	}
	if used := len(raw) - rest.Buffered(); used != end {
		t.Fatalf("the head of %q ends at %d, in net/http at %d", raw, end, used)
	}
	if !ok && strictBody.Match(raw[end:]) {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err == nil && length != len(raw)-rest.Buffered() {
		t.Fatalf("request %q ends at %d, in net/http at %d", raw, length, len(raw)-rest.Buffered())
	}
}

// scanRequest scans a request in parts of the given size and returns the ends of its head
// and its body. The first is zero if the head is not complete, the second if the body is
// not. ok is false if one of them is malformed.
func scanRequest(raw []byte, step int) (end, length int, ok bool) {
	var s headScanner
	for n := 0; end == 0; {
		if n == len(raw) {
			return 0, 0, true
		}
		n = min(n+step, len(raw))
		if end, ok = s.scan(raw[:n]); !ok {
			return 0, 0, false
		}
	}
	b := s.body()
	for length = end; !b.ended(); {
		n, ok := b.scan(raw[length:min(length+step, len(raw))])
		if length += n; !ok {
			return end, 0, false
		}
		if length == len(raw) && !b.ended() {
			return end, 0, true
		}
	}
	return end, length, true
}

// validNames reports whether a server accepts all names of a header.
func validNames(h http.Header) bool {
	for name := range h {
		if !validator.IsFieldName([]byte(name)) {
			return false
		}
	}
	return true
}
