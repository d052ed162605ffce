package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// adjustInterval is how often the slots are adjusted.
	adjustInterval = 500 * time.Millisecond
	// restoreRatio is how far below the token target the time must be, as a part
	// of the target, before a slot is given back.
	restoreRatio = 0.9
)

// slotLimiter adjusts how many requests the target runs at once by what it was seen
// to do, not by what it reports: reports lag and may be wrong.
type slotLimiter struct {
	// slots is how many requests may run now, from 1 to most.
	slots    int
	maxSlots int
	// foreignSlots is how many slots are taken by work that did not come from here,
	// at most half of them.
	foreignSlots int
	// peak is the most that ran since the last report, and before it.
	peak, lastPeak int
	// lastProgress is when running work last made progress.
	lastProgress identifier.Instant
	// windowStart is when the present windowStart began.
	windowStart identifier.Instant
	// windowTokens is how many windowTokens came in the present window, over all runs.
	windowTokens identifier.Cost
	// busyTime is the time in the window that was spent running, over all runs.
	busyTime    time.Duration
	lastAccrued identifier.Instant
	// grantLatency is the mean time from a grant to its request.
	grantLatency time.Duration
	// finishInterval is the mean time between two ends while all slots are taken.
	finishInterval time.Duration
	lastFinish     identifier.Instant
}

func newSlotLimiter(slots int) slotLimiter { return slotLimiter{slots: slots, maxSlots: slots} }

func (p *slotLimiter) configure(slots int) {
	if slots == p.maxSlots {
		return
	}
	p.maxSlots = slots
	p.slots = slots
}

// recordProgress notes n more tokens while running requests share the target.
func (p *slotLimiter) recordProgress(now identifier.Instant, n identifier.Cost, running int) {
	p.accrue(now, running)
	p.lastProgress = now
	p.windowTokens += n
}

func (p *slotLimiter) accrue(now identifier.Instant, running int) {
	p.peak = max(p.peak, running)
	if p.lastAccrued != 0 {
		p.busyTime += time.Duration(running) * now.Sub(p.lastAccrued)
	}
	p.lastAccrued = now
}

// recordReport corrects the slots by the target's own count, which lags. A target
// that lies loses half of its slots at most.
func (p *slotLimiter) recordReport(batch int) {
	own := max(p.peak, p.lastPeak)
	p.foreignSlots = min(max(batch-own, 0), p.slots/2)
	p.lastPeak, p.peak = p.peak, 0
}

// usableSlots returns the slots that are left for work from here.
func (p *slotLimiter) usableSlots() int { return p.slots - p.foreignSlots }

// averageWindow is over how many events a mean time is taken.
const averageWindow = 8

// recordAccept notes that a grant has come back as a request after d.
func (p *slotLimiter) recordAccept(d time.Duration) {
	p.grantLatency = movingAverage(p.grantLatency, d)
}

// recordFinish notes that one of running requests has ended.
func (p *slotLimiter) recordFinish(now identifier.Instant, running int) {
	if p.lastFinish != 0 && running >= p.slots {
		p.finishInterval = movingAverage(p.finishInterval, now.Sub(p.lastFinish))
	}
	p.lastFinish = now
}

func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/averageWindow
}

// overcommit is how many slots are likely to fall free while a grant is on its way,
// rounded, and at most limit. What is granted overcommit can no longer be ordered,
// so that it is no more than needed.
func (p *slotLimiter) overcommit(limit int) int {
	if p.finishInterval <= 0 {
		return min(1, limit)
	}
	return min(limit, int((p.grantLatency+p.finishInterval/2)/p.finishInterval))
}

// tick closes a window and moves the slots by one towards the token target.
func (p *slotLimiter) tick(now identifier.Instant, cfg Config, running int) {
	p.accrue(now, running)
	if now.Sub(p.windowStart) < adjustInterval {
		return
	}
	if cfg.TokenLatencyTarget > 0 && p.windowTokens > 0 {
		p.adjust(time.Duration(int64(p.busyTime)/int64(p.windowTokens)), cfg.TokenLatencyTarget)
	}
	p.windowStart = now
	p.windowTokens = 0
	p.busyTime = 0
}

func (p *slotLimiter) adjust(latency, target time.Duration) {
	switch {
	case latency > target:
		p.slots = max(1, p.slots-1)
	case float64(latency) < restoreRatio*float64(target):
		p.slots = min(p.maxSlots, p.slots+1)
	}
}

// stalled tells whether running work has made no progress for too long.
func (p *slotLimiter) stalled(now identifier.Instant, cfg Config, running int) bool {
	return running > 0 && cfg.StallTimeout > 0 && now.Sub(p.lastProgress) > cfg.StallTimeout
}
