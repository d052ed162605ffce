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
// has left, given the time limit of the route. ok is false if that is not known. The limits that
// were seen may all be of callers that had waited before, so that the route's counts if it is
// longer.
func (l *timeLimits) elapsed(k identifier.Kind, routeLimit, left time.Duration) (elapsed time.Duration, ok bool) {
	seen := l.kinds[k]
	longest := max(seen.longest, routeLimit)
	if left <= 0 || routeLimit <= 0 || seen.count < minLimitsSeen || left > longest {
		return 0, false
	}
	return longest - left, true
}
