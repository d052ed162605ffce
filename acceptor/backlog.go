package acceptor

import (
	"sync/atomic"
	"time"

	"buckthorndrum/identifier"
)

// pollInterval is how often it is looked whether connections wait while none is known to.
const pollInterval = 20 * time.Millisecond

// backlog knows since when connections have waited in the kernel's queue without a pause.
// The kernel does not tell when one of them came.
type backlog struct {
	// earliestArrival is when the queue began to fill, or when a connection was last taken if none
	// waits, as an Instant.
	earliestArrival atomic.Int64
	// polledAt is when it was polledAt last, and waiting what was found. One goroutine uses
	// them.
	polledAt  identifier.Instant
	pending bool
}

// accepted notes that a connection was accepted. While others wait it looks each time whether
// they still do, as nobody looks after the last one.
func (b *backlog) accepted(now identifier.Instant, hasPending func() bool) {
	wasPending := b.pending
	if wasPending || b.polledAt == 0 || now.Sub(b.polledAt) >= pollInterval {
		b.polledAt, b.pending = now, hasPending()
	}
	if !wasPending || !b.pending {
		b.earliestArrival.Store(int64(now))
	}
}
