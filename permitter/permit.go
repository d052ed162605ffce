package permitter

import (
	"time"

	"buckthorndrum/identifier"
)

// Reason is why a target is given no new work, empty if it is.
type Reason string

// The reasons.
const (
	// Open means that the target may be given new work.
	Open Reason = ""
	// ListedLeaving means that the list of targets says that it leaves.
	ListedLeaving Reason = "listed as leaving"
	// ReportedLeaving means that it has said in an answer that it leaves.
	ReportedLeaving Reason = "said that it leaves"
	// Pausing means that it has asked for a pause.
	Pausing Reason = "asked for a pause"
	// RampingUp means that it has as much work as is given so soon after a pause.
	RampingUp Reason = "returns from a pause"
	// ConnectionsFailed means that connections to it failed.
	ConnectionsFailed Reason = "connections failed"
)

// Reasons returns all reasons but Open.
func Reasons() []Reason {
	return []Reason{ListedLeaving, ReportedLeaving, Pausing, RampingUp, ConnectionsFailed}
}

// Decision tells whether a target may be given new work.
type Decision struct {
	Reason Reason
	// Since is when the reason arose, zero if that is not known.
	Since identifier.Instant
	// Until is when it ends, zero if that is not known.
	Until identifier.Instant
}

// Open tells that the target may be given new work.
func (d Decision) Open() bool { return d.Reason == Open }

const (
	// MaxPause bounds a pause. A target that asks for a longer one is asked again
	// after that, by one request.
	MaxPause = 10 * time.Minute
	// DefaultPause is the pause of a target that asks for one that cannot be read.
	DefaultPause = time.Second
	// pauseSpread is the part of a pause over which the returns of many processes are
	// spread, and leastSpread the least time.
	pauseSpread = 4
	leastSpread = 250 * time.Millisecond
	// returnStep is how long after a pause the target is given one request at a time,
	// and after how long each one more, returnSteps times.
	returnStep  = 100 * time.Millisecond
	returnSteps = 16
	// brokenFirst is for how long a target gets no work after a first failure of its
	// connection, doubled with each further one up to brokenMost.
	brokenFirst = 250 * time.Millisecond
	brokenMost  = 2 * time.Second
	// PeerNoticeTTL is how long a peer's word that a target leaves counts.
	PeerNoticeTTL = 10 * time.Second
)

// span is the time in which a reason holds.
type span struct{ since, until identifier.Instant }

// AdmissionState is what one process knows about one boot of a target: whether it may be
// given new work. Another boot has another permit. The zero AdmissionState is that of a target
// that may. It is not safe for concurrent use.
type AdmissionState struct {
	listed bool
	// leaving is since when the target is known to leave from itself, zero if it is
	// not. It is never unset.
	leaving identifier.Instant
	// told is until when a peer's word that it leaves counts.
	told identifier.Instant
	// paused is the pause that the target has asked for, and draw where in the spread
	// this process returns, from 0 to 1. Invariant: the end never moves back.
	paused span
	draw   float64
	// broken is how long it gets no work as its connections failed, and faults how
	// many did so in a row.
	broken span
	faults int
}

// Decide decides at an instant for a process that has so many requests under way at the
// target.
func (p *AdmissionState) Decide(now identifier.Instant, running int) Decision {
	switch {
	case p.leaving != 0:
		return Decision{Reason: ReportedLeaving, Since: p.leaving}
	case p.listed:
		return Decision{Reason: ListedLeaving}
	case now < p.paused.until:
		return Decision{Reason: Pausing, Since: p.paused.since, Until: p.paused.until}
	case now < p.broken.until:
		return Decision{Reason: ConnectionsFailed, Since: p.broken.since, Until: p.broken.until}
	}
	return p.returning(now, running)
}

// returning holds work back for a while after a pause, less and less.
func (p *AdmissionState) returning(now identifier.Instant, running int) Decision {
	if p.paused.until == 0 {
		return Decision{}
	}
	step := int(now.Sub(p.paused.until) / returnStep)
	if step >= returnSteps || running <= step {
		return Decision{}
	}
	return Decision{Reason: RampingUp, Since: p.paused.until, Until: p.paused.until.Add(time.Duration(step+1) * returnStep)}
}

// SetListedLeaving notes whether the list of targets says that the target leaves.
func (p *AdmissionState) SetListedLeaving(leaving bool) { p.listed = leaving }

// ListedLeaving tells whether the list of targets says that it leaves.
func (p *AdmissionState) ListedLeaving() bool { return p.listed }

// RecordLeaving notes that the target has said that it leaves, and tells whether that is new.
func (p *AdmissionState) RecordLeaving(at identifier.Instant) (isNew bool) {
	if p.leaving != 0 {
		return false
	}
	p.leaving = max(at, 1)
	return true
}

// LeavingSince returns since when the target is known to leave from itself, zero if it
// is not.
func (p *AdmissionState) LeavingSince() identifier.Instant { return p.leaving }

// RecordPause notes that the target wants no work for a time, and tells whether it did not
// pause before. draw, from 0 to 1, spreads the returns of many processes.
func (p *AdmissionState) RecordPause(now identifier.Instant, d time.Duration, draw float64) (isNew bool) {
	if d <= 0 {
		return false
	}
	d = min(d, MaxPause)
	if isNew = now >= p.paused.until; isNew {
		p.paused.since, p.draw = now, draw
	}
	spread := max(leastSpread, d/pauseSpread)
	p.paused.until = max(p.paused.until, now.Add(d+time.Duration(p.draw*float64(spread))))
	return isNew
}

// RecordConnectionFailure notes that a connection to the target failed.
func (p *AdmissionState) RecordConnectionFailure(now identifier.Instant) {
	d := brokenFirst
	for n := 0; n < p.faults && d < brokenMost; n++ {
		d *= 2
	}
	p.faults++
	if now >= p.broken.until {
		p.broken.since = now
	}
	p.broken.until = max(p.broken.until, now.Add(min(d, brokenMost)))
}

// RecordAnswer notes that the target has answered.
func (p *AdmissionState) RecordAnswer() { p.faults = 0 }

// RecordPeerNotice notes that a peer says that the target leaves, and tells whether that is new.
// Others are preferred to such a target, which may be given work all the same.
func (p *AdmissionState) RecordPeerNotice(now identifier.Instant) (isNew bool) {
	isNew = !p.PeerReportsLeaving(now)
	p.told = now.Add(PeerNoticeTTL)
	return isNew
}

// PeerReportsLeaving tells whether a peer says that the target leaves.
func (p *AdmissionState) PeerReportsLeaving(now identifier.Instant) bool { return now < p.told }
