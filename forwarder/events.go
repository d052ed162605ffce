package forwarder

import "bytes"

// eventBuffer is what was read of a stream and not passed on yet.
type eventBuffer struct {
	memory *reservation
	data []byte
	// consumed is up to where events were consumed, and scanned up to where there is no
	// end of another one.
	consumed, scanned int
}

// add appends what was read. It fails if there is no memory for it.
func (p *eventBuffer) add(b []byte) error {
	if required := len(p.data) + len(b); required > cap(p.data) {
		size := max(required, 2*cap(p.data))
		if !p.memory.grow(size - cap(p.data)) {
			return errNoMemory
		}
		p.data = append(make([]byte, 0, size), p.data...)
	}
	p.data = append(p.data, b...)
	return nil
}

// next takes the next whole event, or returns nil.
func (p *eventBuffer) next() []byte {
	start := max(p.consumed, p.scanned-len("\n\r"))
	length := eventEnd(p.data[start:])
	if length < 0 {
		p.scanned = len(p.data)
		return nil
	}
	event := p.data[p.consumed : start+length]
	p.consumed = start + length
	p.scanned = p.consumed
	return event
}

// compact drops what was taken.
func (p *eventBuffer) compact() {
	n := copy(p.data, p.data[p.consumed:])
	p.data = p.data[:n]
	p.scanned = max(0, p.scanned-p.consumed)
	p.consumed = 0
}

// empty tells whether nothing but white space is left.
func (p *eventBuffer) empty() bool { return len(bytes.TrimSpace(p.data[p.consumed:])) == 0 }

// eventEnd returns the length of the first event with its empty line, or -1.
func eventEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		if rest := b[at:]; bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
	}
}

// hasContent tells whether an event has an id or data, and is not a comment or empty.
func hasContent(event []byte) bool {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
