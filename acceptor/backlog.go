package acceptor

import (
	"sync/atomic"
	"time"

	"buckthorndrum/identifier"
)

// lookEvery is how often it is looked whether connections wait while none is known to.
const lookEvery = 20 * time.Millisecond

// backlog knows since when connections have waited in the kernel's queue without a pause.
// The kernel does not tell when one of them came.
type backlog struct {
	// since is when the queue began to fill, or when a connection was last taken if none
	// waits, as an Instant.
	since atomic.Int64
	// looked is when it was looked last, and waiting what was found. One goroutine uses
	// them.
	looked  identifier.Instant
	waiting bool
}

// taken notes that a connection was taken. While others wait it looks each time whether
// they still do, as nobody looks after the last one.
func (b *backlog) taken(now identifier.Instant, waits func() bool) {
	was := b.waiting
	if was || b.looked == 0 || now.Sub(b.looked) >= lookEvery {
		b.looked, b.waiting = now, waits()
	}
	if !was || !b.waiting {
		b.since.Store(int64(now))
	}
}
