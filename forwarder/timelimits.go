package forwarder

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// maxLimitKinds bounds the kinds of requests whose time limits are remembered.
	maxLimitKinds = 256
	// minLimitsSeen is the number of requests from which on the longest time limit counts as
	// that of all callers.
	minLimitsSeen = 5
)

// timeLimits holds the longest time limit that callers have stated in requests for new streams,
// for each kind of request. Its zero value is empty.
type timeLimits struct {
	kinds map[identifier.Kind]limitsSeen
}

// limitsSeen is the number of time limits that were seen and the longest of them.
type limitsSeen struct {
	count   int
	longest time.Duration
}

// record records a time limit, zero if the request stated none.
func (l *timeLimits) record(k identifier.Kind, limit time.Duration) {
	seen, known := l.kinds[k]
	if limit <= 0 || !known && len(l.kinds) >= maxLimitKinds {
		return
	}
	if l.kinds == nil {
		l.kinds = map[identifier.Kind]limitsSeen{}
	}
	l.kinds[k] = limitsSeen{count: seen.count + 1, longest: max(seen.longest, limit)}
}

// elapsed returns the longest time for which a caller can have waited that states the time it
// has left. ok is false if that is not known.
func (l *timeLimits) elapsed(k identifier.Kind, left time.Duration) (elapsed time.Duration, ok bool) {
	seen := l.kinds[k]
	if left <= 0 || seen.count < minLimitsSeen || left > seen.longest {
		return 0, false
	}
	return seen.longest - left, true
}
