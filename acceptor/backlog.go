package acceptor

import (
	"sync/atomic"
	"time"

	"buckthorndrum/identifier"
)

// pollInterval is the minimum time between two checks for pending connections while none
// is known to be pending.
const pollInterval = 20 * time.Millisecond

// backlog tracks since when the accept queue of the kernel has been continuously
// non-empty. The kernel does not report when a connection arrived.
type backlog struct {
	// earliestArrival is, as an Instant, when the accept queue was found to fill, or
	// when a connection was last accepted if none is pending.
	earliestArrival atomic.Int64
	// polledAt is when the queue was last checked, and pending whether a connection was
	// found in it. Only the accepting goroutine uses them.
	polledAt identifier.Instant
	pending  bool
}

// accepted records that a connection was accepted at now. While connections are pending
// it checks on every call whether any still are, because no call follows the last one.
func (b *backlog) accepted(now identifier.Instant, hasPending func() bool) {
	wasPending := b.pending
	if wasPending || b.polledAt == 0 || now.Sub(b.polledAt) >= pollInterval {
		b.polledAt, b.pending = now, hasPending()
	}
	if !wasPending || !b.pending {
		b.earliestArrival.Store(int64(now))
	}
}
