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
	// pauseSpreadDivisor is the part of a pause over which the returns of many processes are
	// spread, and leastSpread the least time.
	pauseSpreadDivisor = 4
	minPauseSpread     = 250 * time.Millisecond
	// rampStep is how long after a pause the target is given one request at a time,
	// and after how long each one more, returnSteps times.
	rampStep  = 100 * time.Millisecond
	rampSteps = 16
	// initialBackoff is for how long a target gets no work after a first failure of its
	// connection, doubled with each further one up to brokenMost.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// PeerNoticeTTL is how long a peer's word that a target leaves counts.
	PeerNoticeTTL = 10 * time.Second
)

// interval is the time in which a reason holds.
type interval struct{ since, until identifier.Instant }

// AdmissionState is what one process knows about one boot of a target: whether it may be
// given new work. Another boot has another permit. The zero AdmissionState is that of a target
// that may. It is not safe for concurrent use.
type AdmissionState struct {
	listedLeaving bool
	// leavingSince is since when the target is known to leave from itself, zero if it is
	// not. It is never unset.
	leavingSince identifier.Instant
	// peerNoticeUntil is until when a peer's word that it leaves counts.
	peerNoticeUntil identifier.Instant
	// pause is the pause that the target has asked for, and draw where in the spread
	// this process returns, from 0 to 1. Invariant: the end never moves back.
	pause  interval
	jitter float64
	// backoff is how long it gets no work as its connections failed, and faults how
	// many did so in a row.
	backoff  interval
	failures int
}

// Decide decides at an instant for a process that has so many requests under way at the
// target.
func (p *AdmissionState) Decide(now identifier.Instant, running int) Decision {
	switch {
	case p.leavingSince != 0:
		return Decision{Reason: ReportedLeaving, Since: p.leavingSince}
	case p.listedLeaving:
		return Decision{Reason: ListedLeaving}
	case now < p.pause.until:
		return Decision{Reason: Pausing, Since: p.pause.since, Until: p.pause.until}
	case now < p.backoff.until:
		return Decision{Reason: ConnectionsFailed, Since: p.backoff.since, Until: p.backoff.until}
	}
	return p.rampUp(now, running)
}

// rampUp holds work back for a while after a pause, less and less.
func (p *AdmissionState) rampUp(now identifier.Instant, running int) Decision {
	if p.pause.until == 0 {
		return Decision{}
	}
	step := int(now.Sub(p.pause.until) / rampStep)
	if step >= rampSteps || running <= step {
		return Decision{}
	}
	return Decision{Reason: RampingUp, Since: p.pause.until, Until: p.pause.until.Add(time.Duration(step+1) * rampStep)}
}

// SetListedLeaving notes whether the list of targets says that the target leaves.
func (p *AdmissionState) SetListedLeaving(leaving bool) { p.listedLeaving = leaving }

// ListedLeaving tells whether the list of targets says that it leaves.
func (p *AdmissionState) ListedLeaving() bool { return p.listedLeaving }

// RecordLeaving notes that the target has said that it leaves, and tells whether that is new.
func (p *AdmissionState) RecordLeaving(at identifier.Instant) (isNew bool) {
	if p.leavingSince != 0 {
		return false
	}
	p.leavingSince = max(at, 1)
	return true
}

// LeavingSince returns since when the target is known to leave from itself, zero if it
// is not.
func (p *AdmissionState) LeavingSince() identifier.Instant { return p.leavingSince }

// RecordPause notes that the target wants no work for a time, and tells whether it did not
// pause before. draw, from 0 to 1, spreads the returns of many processes.
func (p *AdmissionState) RecordPause(now identifier.Instant, d time.Duration, jitter float64) (isNew bool) {
	if d <= 0 {
		return false
	}
	d = min(d, MaxPause)
	if isNew = now >= p.pause.until; isNew {
		p.pause.since, p.jitter = now, jitter
	}
	spread := max(minPauseSpread, d/pauseSpreadDivisor)
	p.pause.until = max(p.pause.until, now.Add(d+time.Duration(p.jitter*float64(spread))))
	return isNew
}

// RecordConnectionFailure notes that a connection to the target failed.
func (p *AdmissionState) RecordConnectionFailure(now identifier.Instant) {
	d := initialBackoff
	for n := 0; n < p.failures && d < maxBackoff; n++ {
		d *= 2
	}
	p.failures++
	if now >= p.backoff.until {
		p.backoff.since = now
	}
	p.backoff.until = max(p.backoff.until, now.Add(min(d, maxBackoff)))
}

// RecordAnswer notes that the target has answered.
func (p *AdmissionState) RecordAnswer() { p.failures = 0 }

// RecordPeerNotice notes that a peer says that the target leaves, and tells whether that is new.
// Others are preferred to such a target, which may be given work all the same.
func (p *AdmissionState) RecordPeerNotice(now identifier.Instant) (isNew bool) {
	isNew = !p.PeerReportsLeaving(now)
	p.peerNoticeUntil = now.Add(PeerNoticeTTL)
	return isNew
}

// PeerReportsLeaving tells whether a peer says that the target leaves.
func (p *AdmissionState) PeerReportsLeaving(now identifier.Instant) bool {
	return now < p.peerNoticeUntil
}
