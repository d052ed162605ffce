package acceptor

import (
	"bytes"
	"strconv"

	"buckthorndrum/validator"
)

// headScanner finds the end of a request head that arrives in pieces, and how long the body
// after it is. It reads header fields in the same way as net/http and rejects what net/http
// would reject or could read in another way, so that both agree on where a request ends.
// The zero value is ready to scan one head.
type headScanner struct {
	// lineStart is the offset of the first line that is not complete.
	lineStart int
	// scanned is the offset up to which no further line end was found.
	scanned int
	// lines counts the complete lines, including the request line.
	lines int
	// framed is set if the last line was a field that determines the body's length. Such a
	// field must not be folded.
	framed bool
	http10 bool
	// chunked is set if the body is in chunks. encodings counts the fields that name a
	// transfer encoding.
	chunked   bool
	encodings int
	// length is the declared length of the body in bytes, if hasLength is set.
	length    int64
	hasLength bool
}

// scan scans a head, which must begin with the bytes of the previous call. It returns the
// offset of the first byte after the head, zero if the head is not complete. ok is false if
// the head is malformed.
func (s *headScanner) scan(head []byte) (end int, ok bool) {
	for {
		n := bytes.IndexByte(head[s.scanned:], '\n')
		if n < 0 {
			s.scanned = len(head)
			return 0, true
		}
		line := head[s.lineStart : s.scanned+n]
		s.scanned += n + 1
		s.lineStart = s.scanned
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			return s.scanned, s.lines > 0
		}
		if !s.line(line) {
			return 0, false
		}
		s.lines++
	}
}

// line scans one line without its end and reports whether it is well-formed.
func (s *headScanner) line(line []byte) bool {
	if s.lines == 0 {
		s.http10 = bytes.HasSuffix(line, []byte(" HTTP/1.0"))
		return true
	}
	if line[0] == ' ' || line[0] == '\t' {
		return s.lines > 1 && !s.framed
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !validator.IsFieldName(name) {
		return false
	}
	s.framed = true
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return s.declareLength(string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.encodings++
		s.chunked = s.encodings == 1 && bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked"))
	default:
		s.framed = false
	}
	return true
}

// declareLength records a declared length of the body. It reports false if the length is not
// a number or differs from one that was declared before.
func (s *headScanner) declareLength(value string) bool {
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || s.hasLength && int64(n) != s.length {
		return false
	}
	s.length, s.hasLength = int64(n), true
	return true
}

// body returns the extent of the body after a complete head. Transfer encodings have no
// effect in HTTP/1.0.
func (s *headScanner) body() bodyScanner {
	if s.encodings > 0 && !s.http10 {
		// Requests with another encoding are rejected by net/http.
		return bodyScanner{chunked: s.chunked}
	}
	return bodyScanner{left: s.length}
}
