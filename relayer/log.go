package relayer

import (
	"sync"

	"buckthorndrum/identifier"
)

const (
	// maxChanges and maxBytes bound the changes that a log keeps and the size of their
	// values in bytes.
	maxChanges = 512
	maxBytes   = 128 << 10
	// maxSentBytes bounds the values of one change set, in bytes. If they are larger,
	// the other routers read the changes from the store themselves.
	maxSentBytes = 32 << 10
)

// Log holds the latest changes of the store without a gap. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// All changes of an era after position after, up to and including position upTo, are held.
	era, after, upTo int64
	changes          []Change
	bytes            int
}

// Reset drops all changes, after the whole store was read again at a position.
func (l *Log) Reset(position identifier.StorePosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era, l.after, l.upTo = position.Era, position.Revision, position.Revision
	l.changes, l.bytes = nil, 0
}

// Append adds all changes after the last position up to upTo, in the same era.
func (l *Log) Append(changes []Change, upTo int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		l.changes = append(l.changes, c)
		l.bytes += len(c.Value)
	}
	l.upTo = max(l.upTo, upTo)
	l.trim()
}

// trim drops the oldest changes until the log is within maxChanges and maxBytes.
func (l *Log) trim() {
	n := 0
	for n < len(l.changes) && (len(l.changes)-n > maxChanges || l.bytes > maxBytes) {
		l.after = l.changes[n].Position
		l.bytes -= len(l.changes[n].Value)
		n++
	}
	if n > 0 {
		l.changes = append([]Change(nil), l.changes[n:]...)
	}
}

// After returns the changes after a position. The set is incomplete if the log no longer
// holds all of them, or if their values exceed maxSentBytes. ok is false if there are no
// changes, if position is of another era, or if its revision is 0: a router that has read
// nothing of the era yet reads the store.
func (l *Log) After(position identifier.StorePosition) (set ChangeSet, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := position.Revision
	if position.Era != l.era || revision <= 0 || revision >= l.upTo {
		return ChangeSet{}, false
	}
	set = ChangeSet{Era: l.era, After: revision, UpTo: l.upTo}
	if revision < l.after {
		set.Incomplete = true
		return set, true
	}
	size := 0
	for _, c := range l.changes {
		if c.Position <= revision {
			continue
		}
		if size += len(c.Value); size > maxSentBytes {
			set.Changes, set.Incomplete = nil, true
			return set, true
		}
		set.Changes = append(set.Changes, c)
	}
	return set, true
}
