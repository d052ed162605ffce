package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// adjustInterval is the length of a measuring window. The slots are adjusted at its
	// end.
	adjustInterval = 500 * time.Millisecond
	// restoreRatio is the part of the latency target below which the inter-token
	// latency must be before a slot is given back.
	restoreRatio = 0.9
)

// slotLimiter limits the number of requests that the target runs at once by the
// progress observed here, not by what the target reports: reports lag and may be wrong.
type slotLimiter struct {
	// slots is the current limit, from 1 to maxSlots.
	slots int
	// maxSlots is the configured limit.
	maxSlots int
	// foreignSlots is the number of slots taken by work that was not started here, at
	// most half of them.
	foreignSlots int
	// peak is the most requests that ran since the latest report, and lastPeak the most
	// between the two latest reports.
	peak, lastPeak int
	// lastProgress is when running requests last made progress.
	lastProgress identifier.Instant
	// windowStart is when the current measuring window began.
	windowStart identifier.Instant
	// windowTokens is the progress of all runs in the current window, in weighted
	// tokens.
	windowTokens identifier.Cost
	// busyTime is the time that runs spent running in the current window, summed over
	// all runs up to lastAccrued.
	busyTime    time.Duration
	lastAccrued identifier.Instant
	// grantLatency is the average time from a grant to the handover of its request.
	grantLatency time.Duration
	// finishInterval is the average time between two finished requests while all slots
	// are taken.
	finishInterval time.Duration
	lastFinish     identifier.Instant
}

func newSlotLimiter(slots int) slotLimiter { return slotLimiter{slots: slots, maxSlots: slots} }

// configure sets the configured limit. If it changes, the current limit is reset to it.
func (l *slotLimiter) configure(slots int) {
	if slots == l.maxSlots {
		return
	}
	l.maxSlots = slots
	l.slots = slots
}

// recordProgress records n more tokens while the given number of requests is running.
func (l *slotLimiter) recordProgress(now identifier.Instant, n identifier.Cost, running int) {
	l.accrue(now, running)
	l.lastProgress = now
	l.windowTokens += n
}

// accrue adds the running time since the latest call to busyTime.
func (l *slotLimiter) accrue(now identifier.Instant, running int) {
	l.peak = max(l.peak, running)
	if l.lastAccrued != 0 {
		l.busyTime += time.Duration(running) * now.Sub(l.lastAccrued)
	}
	l.lastAccrued = now
}

// recordReport updates foreignSlots from the target's own count of running requests,
// which lags. A target that reports too much loses at most half of its slots.
func (l *slotLimiter) recordReport(batch int) {
	own := max(l.peak, l.lastPeak)
	l.foreignSlots = min(max(batch-own, 0), l.slots/2)
	l.lastPeak, l.peak = l.peak, 0
}

// usableSlots returns the number of slots for requests started here.
func (l *slotLimiter) usableSlots() int { return l.slots - l.foreignSlots }

// averageWindow is the number of events over which moving averages are taken: each new
// value has a weight of one in this many.
const averageWindow = 8

// recordAccept records that a grant came back as a request after d.
func (l *slotLimiter) recordAccept(d time.Duration) {
	l.grantLatency = movingAverage(l.grantLatency, d)
}

// recordFinish records that one of the running requests has finished.
func (l *slotLimiter) recordFinish(now identifier.Instant, running int) {
	if l.lastFinish != 0 && running >= l.slots {
		l.finishInterval = movingAverage(l.finishInterval, now.Sub(l.lastFinish))
	}
	l.lastFinish = now
}

// movingAverage returns the exponentially weighted moving average old updated with v. A
// zero old is no average yet.
func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/averageWindow
}

// overcommit returns how many slots are likely to become free while a grant is on its
// way, rounded, and at most limit. While the interval is not known yet, it is at most
// one. Granted work can no longer be reordered, so no more is granted than needed.
func (l *slotLimiter) overcommit(limit int) int {
	if l.finishInterval <= 0 {
		return min(1, limit)
	}
	return min(limit, int((l.grantLatency+l.finishInterval/2)/l.finishInterval))
}

// tick closes the measuring window if it is over, and moves the slots by at most one
// towards the latency target.
func (l *slotLimiter) tick(now identifier.Instant, cfg Config, running int) {
	l.accrue(now, running)
	if now.Sub(l.windowStart) < adjustInterval {
		return
	}
	if cfg.TokenLatencyTarget > 0 && l.windowTokens > 0 {
		l.adjust(time.Duration(int64(l.busyTime)/int64(l.windowTokens)), cfg.TokenLatencyTarget)
	}
	l.windowStart = now
	l.windowTokens = 0
	l.busyTime = 0
}

// adjust takes a slot away if the inter-token latency is above target, and gives one
// back if it is below restoreRatio of target.
func (l *slotLimiter) adjust(latency, target time.Duration) {
	switch {
	case latency > target:
		l.slots = max(1, l.slots-1)
	case float64(latency) < restoreRatio*float64(target):
		l.slots = min(l.maxSlots, l.slots+1)
	}
}

// stalled reports whether running requests have made no progress for longer than
// Config.StallTimeout.
func (l *slotLimiter) stalled(now identifier.Instant, cfg Config, running int) bool {
	return running > 0 && cfg.StallTimeout > 0 && now.Sub(l.lastProgress) > cfg.StallTimeout
}
