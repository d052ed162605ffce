package forwarder

import "bytes"

// pending is what was read of a stream and not passed on yet.
type pending struct {
	held *holding
	data []byte
	// taken is up to where events were taken, and searched up to where there is no
	// end of another one.
	taken, searched int
}

// add appends what was read. It fails if there is no memory for it.
func (p *pending) add(b []byte) error {
	if need := len(p.data) + len(b); need > cap(p.data) {
		room := max(need, 2*cap(p.data))
		if !p.held.grow(room - cap(p.data)) {
			return errMemory
		}
		p.data = append(make([]byte, 0, room), p.data...)
	}
	p.data = append(p.data, b...)
	return nil
}

// next takes the next whole event, or returns nil.
func (p *pending) next() []byte {
	from := max(p.taken, p.searched-len("\n\r"))
	n := eventEnd(p.data[from:])
	if n < 0 {
		p.searched = len(p.data)
		return nil
	}
	event := p.data[p.taken : from+n]
	p.taken = from + n
	p.searched = p.taken
	return event
}

// compact drops what was taken.
func (p *pending) compact() {
	n := copy(p.data, p.data[p.taken:])
	p.data = p.data[:n]
	p.searched = max(0, p.searched-p.taken)
	p.taken = 0
}

// empty tells whether nothing but white space is left.
func (p *pending) empty() bool { return len(bytes.TrimSpace(p.data[p.taken:])) == 0 }

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

// carries tells whether an event has an id or data, and is not a comment or empty.
func carries(event []byte) bool {
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
