package relayer

import "sync"

const (
	// maxEntries and maxBytes bound what a log keeps.
	maxEntries = 512
	maxBytes   = 128 << 10
	// maxTold bounds the values of one message, in bytes. What is larger the others
	// read from the store themselves.
	maxTold = 32 << 10
)

// Log holds the latest changes without a gap. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// floor and top are the positions between which all changes are held.
	floor, top int64
	entries    []Change
	bytes      int
}

// Reset drops everything: the store was listed anew at a position.
func (l *Log) Reset(position int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor, l.top = position, position
	l.entries, l.bytes = nil, 0
}

// Append notes all changes between the last position and another one.
func (l *Log) Append(entries []Change, upTo int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.entries = append(l.entries, e)
		l.bytes += len(e.Value)
	}
	l.top = max(l.top, upTo)
	l.trim()
}

// trim drops the oldest changes beyond the bounds.
func (l *Log) trim() {
	n := 0
	for n < len(l.entries) && (len(l.entries)-n > maxEntries || l.bytes > maxBytes) {
		l.floor = l.entries[n].Position
		l.bytes -= len(l.entries[n].Value)
		n++
	}
	if n > 0 {
		l.entries = append([]Change(nil), l.entries[n:]...)
	}
}

// After returns what has changed after a position. ok is false if that is nothing.
func (l *Log) After(position int64) (n ChangeSet, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if position <= 0 || position >= l.top {
		return ChangeSet{}, false
	}
	n = ChangeSet{After: position, UpTo: l.top}
	if position < l.floor {
		n.Incomplete = true
		return n, true
	}
	told := 0
	for _, e := range l.entries {
		if e.Position <= position {
			continue
		}
		if told += len(e.Value); told > maxTold {
			n.Changes, n.Incomplete = nil, true
			return n, true
		}
		n.Changes = append(n.Changes, e)
	}
	return n, true
}
