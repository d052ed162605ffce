package clocker

import (
	"sync/atomic"
	"time"

	"buckthorndrum/identifier"
)

// coarseFor is how long Coarse goes on from one reading of the clock, and so how
// long after a suspension it may be behind.
const coarseFor = 10 * time.Millisecond

var (
	// ahead is by how much Now is ahead of the time since started.
	ahead atomic.Int64
	// read is when it was last found out, as time since started.
	read atomic.Int64
)

// Coarse returns Now without a system call most of the time. It is behind only
// just after a suspension, so that it serves for all but the age of a proof.
func Coarse() identifier.Instant {
	since := time.Since(started)
	if last := read.Load(); last != 0 && since-time.Duration(last) < coarseFor {
		return identifier.Instant(ahead.Load() + int64(since))
	}
	now := Now()
	ahead.Store(int64(now) - int64(since))
	read.Store(int64(since))
	return now
}
