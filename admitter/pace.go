package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// paceMemory is how long a reported pace counts at least. Targets that share their
	// instances are slowed down again and again, and a stream meets the slowest pace of
	// its whole time.
	paceMemory = 10 * time.Second
	// maxPace bounds a reported pace, so that one target cannot make its whole pool
	// unusable.
	maxPace = 4
)

// paceWindow holds the slowest pace that was reported within paceMemory and, in part, up
// to twice that. A pace is how many times as long as usual work takes at a target. The
// zero value has none.
type paceWindow struct {
	// since is from when on current holds the slowest pace. previous is that of the
	// window before.
	since             identifier.Instant
	current, previous float64
}

// record records a pace that a target has reported.
func (w *paceWindow) record(now identifier.Instant, pace float64) {
	w.advance(now)
	w.current = max(w.current, min(pace, maxPace))
}

// advance begins a new window if the current one is longer than paceMemory.
func (w *paceWindow) advance(now identifier.Instant) {
	if now.Sub(w.since) <= paceMemory {
		return
	}
	w.previous = w.current
	if now.Sub(w.since) > 2*paceMemory {
		w.previous = 0
	}
	w.since, w.current = now, 0
}

// slowest returns the slowest pace, zero if none was reported.
func (w *paceWindow) slowest() float64 { return max(w.current, w.previous) }

// RecordPace records the pace that the target of an attempt has reported: how many times
// as long as usual work takes there now.
func (a *Admitter) RecordPace(now identifier.Instant, attempt *Attempt, pace float64) {
	if t := attempt.target; t != nil && a.pools[t.Pool] != nil && pace > 0 {
		a.pools[t.Pool].pace.record(now, pace)
	}
}
