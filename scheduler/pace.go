package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// paceWindow is how often the slots are adjusted.
	paceWindow = 500 * time.Millisecond
	// paceSlack is how far below the token target the time must be, as a part
	// of the target, before a slot is given back.
	paceSlack = 0.9
)

// pace adjusts how many requests the target runs at once by what it was seen
// to do, not by what it reports: reports lag and may be wrong.
type pace struct {
	// slots is how many requests may run now, from 1 to most.
	slots int
	most  int
	// foreign is how many slots are taken by work that did not come from here,
	// at most half of them.
	foreign int
	// peak is the most that ran since the last report, and before it.
	peak, lastPeak int
	// progressed is when running work last made progress.
	progressed identifier.Instant
	// window is when the present window began.
	window identifier.Instant
	// tokens is how many tokens came in the present window, over all runs.
	tokens identifier.Cost
	// busy is the time in the window that was spent running, over all runs.
	busy time.Duration
	last identifier.Instant
	// trip is the mean time from a grant to its request.
	trip time.Duration
	// interval is the mean time between two ends while all slots are taken.
	interval time.Duration
	ended    identifier.Instant
}

func newPace(slots int) pace { return pace{slots: slots, most: slots} }

func (p *pace) configure(slots int) {
	if slots == p.most {
		return
	}
	p.most = slots
	p.slots = slots
}

// progress notes n more tokens while running requests share the target.
func (p *pace) progress(now identifier.Instant, n identifier.Cost, running int) {
	p.accrue(now, running)
	p.progressed = now
	p.tokens += n
}

func (p *pace) accrue(now identifier.Instant, running int) {
	p.peak = max(p.peak, running)
	if p.last != 0 {
		p.busy += time.Duration(running) * now.Sub(p.last)
	}
	p.last = now
}

// reported corrects the slots by the target's own count, which lags. A target
// that lies loses half of its slots at most.
func (p *pace) reported(batch int) {
	known := max(p.peak, p.lastPeak)
	p.foreign = min(max(batch-known, 0), p.slots/2)
	p.lastPeak, p.peak = p.peak, 0
}

// free returns the slots that are left for work from here.
func (p *pace) free() int { return p.slots - p.foreign }

// meanWindow is over how many events a mean time is taken.
const meanWindow = 8

// accepted notes that a grant has come back as a request after d.
func (p *pace) accepted(d time.Duration) { p.trip = mean(p.trip, d) }

// finished notes that one of running requests has ended.
func (p *pace) finished(now identifier.Instant, running int) {
	if p.ended != 0 && running >= p.slots {
		p.interval = mean(p.interval, now.Sub(p.ended))
	}
	p.ended = now
}

func mean(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/meanWindow
}

// ahead is how many slots are likely to fall free while a grant is on its way,
// rounded, and at most limit. What is granted ahead can no longer be ordered,
// so that it is no more than needed.
func (p *pace) ahead(limit int) int {
	if p.interval <= 0 {
		return min(1, limit)
	}
	return min(limit, int((p.trip+p.interval/2)/p.interval))
}

// tick closes a window and moves the slots by one towards the token target.
func (p *pace) tick(now identifier.Instant, cfg Config, running int) {
	p.accrue(now, running)
	if now.Sub(p.window) < paceWindow {
		return
	}
	if cfg.TokenLatencyTarget > 0 && p.tokens > 0 {
		p.adjust(time.Duration(int64(p.busy)/int64(p.tokens)), cfg.TokenLatencyTarget)
	}
	p.window = now
	p.tokens = 0
	p.busy = 0
}

func (p *pace) adjust(between, target time.Duration) {
	switch {
	case between > target:
		p.slots = max(1, p.slots-1)
	case float64(between) < paceSlack*float64(target):
		p.slots = min(p.most, p.slots+1)
	}
}

// stuck tells whether running work has made no progress for too long.
func (p *pace) stuck(now identifier.Instant, cfg Config, running int) bool {
	return running > 0 && cfg.StallTimeout > 0 && now.Sub(p.progressed) > cfg.StallTimeout
}
