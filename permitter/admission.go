package permitter

import (
	"time"

	"buckthorndrum/identifier"
)

// Reason is why a target is given no new work. It is empty if it may be given work.
type Reason string

// Reasons of a Decision.
const (
	// Open means that the target may be given new work.
	Open Reason = ""
	// ListedLeaving means that the list of targets marks the target as leaving.
	ListedLeaving Reason = "listed as leaving"
	// ReportedLeaving means that the target has reported in an answer that it is leaving.
	ReportedLeaving Reason = "said that it leaves"
	// Pausing means that the target has asked for a pause.
	Pausing Reason = "asked for a pause"
	// RampingUp means that the target has as many requests as it is given this soon after
	// a pause.
	RampingUp Reason = "returns from a pause"
	// Evacuated means that the operator has evacuated the data centre of the target.
	Evacuated Reason = "data centre is evacuated"
	// WarmingUp means that the target is cold and that the process has no permit for it.
	WarmingUp Reason = "warms up"
	// ConnectionsFailed means that connections to the target failed.
	ConnectionsFailed Reason = "connections failed"
)

// Reasons returns all reasons but Open.
func Reasons() []Reason {
	return []Reason{ListedLeaving, ReportedLeaving, Evacuated, Pausing, RampingUp, WarmingUp, ConnectionsFailed}
}

// Decision is whether a target may be given new work, and why not.
type Decision struct {
	Reason Reason
	// Since is when the reason arose, zero if that is not known.
	Since identifier.Instant
	// Until is when the reason ends, zero if that is not known.
	Until identifier.Instant
}

// Open reports whether the target may be given new work.
func (d Decision) Open() bool { return d.Reason == Open }

const (
	// MaxPause is the maximum of a pause. A target that asks for a longer one is tried
	// again after MaxPause, with one request.
	MaxPause = 10 * time.Minute
	// DefaultPause is the pause of a target that asks for one that cannot be parsed.
	DefaultPause = time.Second
	// pauseSpreadDivisor sets the time over which the returns of many processes are
	// spread: the pause divided by pauseSpreadDivisor, but at least minPauseSpread.
	pauseSpreadDivisor = 4
	minPauseSpread     = 250 * time.Millisecond
	// rampStep is how long after a pause a process gives the target one request at a
	// time. The limit then rises by one every rampStep, and ends after rampSteps of them.
	rampStep  = 100 * time.Millisecond
	rampSteps = 16
	// initialBackoff is how long a target gets no work after a first connection failure.
	// It doubles with each further failure in a row, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// PeerNoticeTTL is how long a peer's notice that a target is leaving counts.
	PeerNoticeTTL = 10 * time.Second
)

// interval is the time during which a reason holds.
type interval struct{ since, until identifier.Instant }

// AdmissionState is what one process knows about whether one boot of a target may be
// given new work. Another boot of the target has another AdmissionState. The zero
// AdmissionState allows new work. It is not safe for concurrent use.
type AdmissionState struct {
	// listedLeaving is whether the list of targets marks the target as leaving.
	listedLeaving bool
	// leavingSince is when the target first reported that it is leaving, zero if it has
	// not. It is never reset.
	leavingSince identifier.Instant
	// evacuated is whether the data centre of the target is evacuated.
	evacuated bool
	// peerNoticeUntil is until when a peer's notice that the target is leaving counts.
	peerNoticeUntil identifier.Instant
	// pause is the pause that the target has asked for. Its end never moves back. jitter,
	// from 0 to 1, is where in the spread of returns this process returns.
	pause  interval
	jitter float64
	// backoff is the time during which the target gets no work because connections to it
	// failed, and failures is how many failed in a row.
	backoff  interval
	failures int
}

// Decide returns whether the target may be given new work at the instant now. running is
// the number of requests that the process has in progress at the target.
func (s *AdmissionState) Decide(now identifier.Instant, running int) Decision {
	switch {
	case s.leavingSince != 0:
		return Decision{Reason: ReportedLeaving, Since: s.leavingSince}
	case s.listedLeaving:
		return Decision{Reason: ListedLeaving}
	case s.evacuated:
		return Decision{Reason: Evacuated}
	case now < s.pause.until:
		return Decision{Reason: Pausing, Since: s.pause.since, Until: s.pause.until}
	case now < s.backoff.until:
		return Decision{Reason: ConnectionsFailed, Since: s.backoff.since, Until: s.backoff.until}
	}
	return s.rampUp(now, running)
}

// rampUp decides for a target after a pause: for a while the number of running requests
// is limited, less and less strictly.
func (s *AdmissionState) rampUp(now identifier.Instant, running int) Decision {
	if s.pause.until == 0 {
		return Decision{}
	}
	step := int(now.Sub(s.pause.until) / rampStep)
	if step >= rampSteps || running <= step {
		return Decision{}
	}
	return Decision{Reason: RampingUp, Since: s.pause.until, Until: s.pause.until.Add(time.Duration(step+1) * rampStep)}
}

// SetListedLeaving records whether the list of targets marks the target as leaving.
func (s *AdmissionState) SetListedLeaving(leaving bool) { s.listedLeaving = leaving }

// ListedLeaving reports whether the list of targets marks the target as leaving.
func (s *AdmissionState) ListedLeaving() bool { return s.listedLeaving }

// SetEvacuated records whether the data centre of the target is evacuated.
func (s *AdmissionState) SetEvacuated(evacuated bool) { s.evacuated = evacuated }

// Evacuated reports whether the data centre of the target is evacuated.
func (s *AdmissionState) Evacuated() bool { return s.evacuated }

// RecordLeaving records that the target has reported at the instant at that it is
// leaving. It reports whether that is new.
func (s *AdmissionState) RecordLeaving(at identifier.Instant) (isNew bool) {
	if s.leavingSince != 0 {
		return false
	}
	s.leavingSince = max(at, 1)
	return true
}

// LeavingSince returns when the target first reported that it is leaving, zero if it has
// not.
func (s *AdmissionState) LeavingSince() identifier.Instant { return s.leavingSince }

// RecordPause records that the target wants no work for the duration d, capped at
// MaxPause. It reports whether a pause begins: that is, d is positive and no earlier
// pause is in effect. jitter, from 0 to 1, spreads the returns of many processes.
func (s *AdmissionState) RecordPause(now identifier.Instant, d time.Duration, jitter float64) (isNew bool) {
	if d <= 0 {
		return false
	}
	d = min(d, MaxPause)
	if isNew = now >= s.pause.until; isNew {
		s.pause.since, s.jitter = now, jitter
	}
	spread := max(minPauseSpread, d/pauseSpreadDivisor)
	s.pause.until = max(s.pause.until, now.Add(d+time.Duration(s.jitter*float64(spread))))
	return isNew
}

// RecordConnectionFailure records that a connection to the target failed, so that the
// target gets no work until the backoff has passed.
func (s *AdmissionState) RecordConnectionFailure(now identifier.Instant) {
	d := initialBackoff
	for n := 0; n < s.failures && d < maxBackoff; n++ {
		d *= 2
	}
	s.failures++
	if now >= s.backoff.until {
		s.backoff.since = now
	}
	s.backoff.until = max(s.backoff.until, now.Add(min(d, maxBackoff)))
}

// RecordAnswer records that the target has answered, which resets the backoff for the
// next connection failure.
func (s *AdmissionState) RecordAnswer() { s.failures = 0 }

// RecordPeerNotice records a peer's notice that the target is leaving, and reports
// whether that is new. Other targets are preferred to such a target, but it may still be
// given work.
func (s *AdmissionState) RecordPeerNotice(now identifier.Instant) (isNew bool) {
	isNew = !s.PeerReportsLeaving(now)
	s.peerNoticeUntil = now.Add(PeerNoticeTTL)
	return isNew
}

// PeerReportsLeaving reports whether a peer's notice that the target is leaving counts at
// the instant now.
func (s *AdmissionState) PeerReportsLeaving(now identifier.Instant) bool {
	return now < s.peerNoticeUntil
}
