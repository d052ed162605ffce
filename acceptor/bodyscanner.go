package acceptor

// bodyScanner finds the end of a request body that arrives in pieces.
type bodyScanner struct {
	// chunked is set if the body is in chunks and has not ended.
	chunked bool
	// left is how many bytes of the body, or of the current chunk and its line end, have
	// yet to come.
	left int64
	// state is the part of a chunked body that comes next.
	state chunkState
	// size is the size of the next chunk as far as it is known, and digits the number of
	// its digits.
	size   int64
	digits int
	// lineBytes counts the bytes of the current chunk or trailer line, and last is the last
	// one of them.
	lineBytes int
	last      byte
}

// chunkState is a part of a chunked body.
type chunkState int

// The parts of a chunked body: the digits of a chunk's size, the rest of that line, and the
// lines after the last chunk.
const (
	chunkSize chunkState = iota
	chunkExtension
	chunkTrailer
)

const (
	// maxChunkLine bounds a line that has a chunk's size or a trailer, in bytes. It is the
	// same as in net/http.
	maxChunkLine = 4096
	// maxChunkDigits bounds the digits of a chunk's size.
	maxChunkDigits = 15
)

// ended reports whether the whole body was scanned.
func (b *bodyScanner) ended() bool { return !b.chunked && b.left == 0 }

// scan scans the next bytes and returns how many of them belong to the body. ok is false if
// the body is malformed.
func (b *bodyScanner) scan(p []byte) (n int, ok bool) {
	for n < len(p) && !b.ended() {
		if b.left > 0 {
			skip := min(b.left, int64(len(p)-n))
			b.left -= skip
			n += int(skip)
			continue
		}
		if !b.lineByte(p[n]) {
			return n, false
		}
		n++
	}
	return n, true
}

// lineByte scans one byte between chunks and reports whether it may be there.
func (b *bodyScanner) lineByte(c byte) bool {
	b.lineBytes++
	if b.lineBytes > maxChunkLine {
		return false
	}
	if c == '\n' {
		return b.endLine()
	}
	digit, isDigit := hexDigit(c)
	switch {
	case b.state == chunkSize && isDigit:
		b.size = b.size<<4 | digit
		b.digits++
	case b.state == chunkSize:
		b.state = chunkExtension
	}
	b.last = c
	return b.digits <= maxChunkDigits
}

// endLine ends a line of a chunk's size or of a trailer. Lines must end with CR and LF.
func (b *bodyScanner) endLine() bool {
	if b.last != '\r' {
		return false
	}
	empty := b.lineBytes == len("\r\n")
	b.lineBytes, b.last = 0, 0
	switch {
	case b.state == chunkTrailer:
		b.chunked = !empty
	case b.digits == 0:
		return false
	case b.size == 0:
		b.state = chunkTrailer
	default:
		b.state, b.left = chunkSize, b.size+int64(len("\r\n"))
	}
	b.size, b.digits = 0, 0
	return true
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
