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
func (e *eventBuffer) add(b []byte) error {
	if required := len(e.data) + len(b); required > cap(e.data) {
		size := max(required, 2*cap(e.data))
		if !e.memory.grow(size - cap(e.data)) {
			return errNoMemory
		}
		e.data = append(make([]byte, 0, size), e.data...)
	}
	e.data = append(e.data, b...)
	return nil
}

// next consumes and returns the next complete event with its final empty line, or
// returns nil if there is none. The event is valid until the next call of compact.
func (e *eventBuffer) next() []byte {
	start := max(e.consumed, e.scanned-len("\n\r"))
	length := eventEnd(e.data[start:])
	if length < 0 {
		e.scanned = len(e.data)
		return nil
	}
	event := e.data[e.consumed : start+length]
	e.consumed = start + length
	e.scanned = e.consumed
	return event
}

// compact removes the consumed events from the buffer.
func (e *eventBuffer) compact() {
	n := copy(e.data, e.data[e.consumed:])
	e.data = e.data[:n]
	e.scanned = max(0, e.scanned-e.consumed)
	e.consumed = 0
}

// empty reports whether nothing but white space is left to consume.
func (e *eventBuffer) empty() bool { return len(bytes.TrimSpace(e.data[e.consumed:])) == 0 }

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
