package forwarder

import "bytes"

// eventBuffer holds the part of a stream that was read and not yet passed on.
type eventBuffer struct {
	memory *reservation
	data   []byte
	// data[:consumed] has been returned by next. No further event ends in
	// data[:scanned].
	consumed, scanned int
}

// add appends b. It returns errNoMemory if no memory can be reserved for it.
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

// next consumes and returns the next complete event with its final empty line, or
// returns nil if there is none. The event is valid until the next call of compact.
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

// compact removes the consumed events from the buffer.
func (p *eventBuffer) compact() {
	n := copy(p.data, p.data[p.consumed:])
	p.data = p.data[:n]
	p.scanned = max(0, p.scanned-p.consumed)
	p.consumed = 0
}

// empty reports whether nothing but white space is left to consume.
func (p *eventBuffer) empty() bool { return len(bytes.TrimSpace(p.data[p.consumed:])) == 0 }

// eventEnd returns the length of the first event in b with its final empty line, or -1
// if b holds no complete event.
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

// hasContent reports whether an event has an id or data field, and so is not just a
// comment or empty.
func hasContent(event []byte) bool {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, and whether it has one.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
