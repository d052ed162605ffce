package admitter

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// TargetNotice is what a target has said in an answer of the work that it wants.
type TargetNotice struct {
	// Leaving tells that it leaves.
	Leaving bool
	// Pause is for how long it wants no work, zero if it does not say.
	Pause time.Duration
}

// NoticeChange is what of a word was not known before.
type NoticeChange struct{ Leaving, Pausing bool }

// ApplyNotice takes in what a target has said in its answer to a request that was sent to it.
// It is about the boot that the request went to. draw, from 0 to 1, spreads the returns
// of many routers after a pause.
func (a *Admitter) ApplyNotice(now identifier.Instant, attempt *Attempt, notice TargetNotice, jitter float64) NoticeChange {
	t := attempt.target
	if t == nil {
		return NoticeChange{}
	}
	change := NoticeChange{Leaving: notice.Leaving && t.admission.Leave(now), Pausing: t.admission.Pause(now, notice.Pause, jitter)}
	if change != (NoticeChange{}) {
		a.invalidateSummary(t)
	}
	return change
}

// invalidateSummary has the summary of a target's pool worked out anew.
func (a *Admitter) invalidateSummary(t *targetState) {
	if p := a.pools[t.Pool]; p != nil {
		p.summarisedAt = 0
	}
}

// RecheckAdmission decides whether a request that was chosen for a target may still be sent to
// it, as it counts as under way there already.
func (a *Admitter) RecheckAdmission(now identifier.Instant, attempt *Attempt) permitter.Decision {
	t := attempt.target
	if t == nil {
		return permitter.Decision{}
	}
	return t.admission.At(now, t.ownLoad.Running-attempt.load.Running)
}

// CountUnavailable counts the targets that are given no new work, by reason.
func (a *Admitter) CountUnavailable(now identifier.Instant) map[permitter.Reason]int {
	counts := map[permitter.Reason]int{}
	for _, t := range a.targets {
		if d := t.admissionDecision(now); !d.Open() {
			counts[d.Reason]++
		}
	}
	return counts
}

// PoolRefusal is the refusal of requests that no target of a pool may be given: Pausing if none
// takes work, and when the first one will is known.
func (a *Admitter) PoolRefusal(now identifier.Instant, id identifier.Pool) Choice {
	if p := a.pools[id]; p != nil {
		return p.refusal(now)
	}
	return Choice{}
}

// refusal is the refusal of requests that no target of the pool may be given.
func (p *pool) refusal(now identifier.Instant) Choice {
	c := Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	earliest := identifier.Instant(0)
	for _, t := range p.targets {
		d := t.admissionDecision(now)
		if d.Open() || d.Reason == permitter.Broken {
			return c
		}
		if d.Until != 0 && (earliest == 0 || d.Until < earliest) {
			earliest = d.Until
		}
	}
	if earliest == 0 {
		return c
	}
	return Choice{Refused: TargetsPausing, Wait: earliest.Sub(now)}
}

// departedTTL is how long it is remembered that a boot has said that it leaves which is
// not listed any more.
const departedTTL = 10 * time.Minute

// rememberDeparted keeps what the targets that are not on the next list have said. Where
// starts are not known an entry that comes back may be of the next one.
func (a *Admitter) rememberDeparted(next map[identifier.Target]*targetState) {
	for id, t := range a.targets {
		if since := t.admission.LeavingSince(); since != 0 && t.Incarnation != 0 && next[id] != t {
			a.departed[t.incarnation()] = since
		}
	}
}

// restoreDeparted gives a target back what its boot has said before its entry was gone.
func (a *Admitter) restoreDeparted(t Target, s *targetState) {
	if since, known := a.departed[t.incarnation()]; known {
		s.admission.Leave(since)
		delete(a.departed, t.incarnation())
	}
}

// pruneDeparted drops the boots that left long ago.
func (a *Admitter) pruneDeparted(now identifier.Instant) {
	for inc, since := range a.departed {
		if now.Sub(since) > departedTTL {
			delete(a.departed, inc)
		}
	}
}

// LeavingReport is what a router tells others of a target that has said to it that it leaves.
type LeavingReport struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the target's.
	Incarnation int64
	// Age is how long ago it said so.
	Age time.Duration
}

// maxLeavingReports bounds the notices of one message. The oldest are left out: their targets
// are listed as leaving soon.
const maxLeavingReports = 64

// LeavingReports returns those targets that have said to this router that they leave, and are
// not listed so.
func (a *Admitter) LeavingReports(now identifier.Instant) LeavingReports {
	reports := LeavingReports{}
	for id, t := range a.targets {
		if since := t.admission.LeavingSince(); since != 0 && !t.admission.Listed() {
			reports.Add(id, LeavingReport{Incarnation: t.Incarnation, Age: max(0, now.Sub(since))})
		}
	}
	return reports
}

// ApplyLeavingReports takes in what other routers were told. It returns the targets of which
// that is new.
func (a *Admitter) ApplyLeavingReports(now identifier.Instant, reports LeavingReports) []identifier.Target {
	var changed []identifier.Target
	for id, report := range reports {
		t := a.targets[id]
		if t == nil || t.Incarnation != report.Incarnation || report.Age > departedTTL || t.admission.LeavingSince() != 0 || t.admission.Listed() {
			continue
		}
		if t.admission.Tell(now) {
			a.invalidateSummary(t)
			changed = append(changed, id)
		}
	}
	return changed
}

// LeavingReports are what routers tell each other of targets that leave.
type LeavingReports map[identifier.Target]LeavingReport

// Add adds a notice. Of two of one target that of the later start counts, and of one
// start the older. Beyond maxNotices the oldest is left out.
func (r LeavingReports) Add(id identifier.Target, report LeavingReport) {
	if old, exists := r[id]; exists && (old.Incarnation > report.Incarnation || old.Incarnation == report.Incarnation && old.Age >= report.Age) {
		return
	}
	r[id] = report
	if len(r) > maxLeavingReports {
		delete(r, r.oldest())
	}
}

func (r LeavingReports) oldest() identifier.Target {
	var oldest identifier.Target
	age := time.Duration(-1)
	for id, report := range r {
		if report.Age > age {
			oldest, age = id, report.Age
		}
	}
	return oldest
}
