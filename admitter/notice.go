package admitter

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// TargetNotice is what a target announces in an answer about the work that it accepts.
type TargetNotice struct {
	// Leaving reports whether it leaves.
	Leaving bool
	// Pause is how long it wants no work, zero if it does not ask for a pause.
	Pause time.Duration
}

// NoticeChange reports which parts of a notice were not known before.
type NoticeChange struct{ Leaving, Pausing bool }

// ApplyNotice records a notice that a target sent in its answer to an attempt, and
// returns what of it was not known before. The notice applies to the incarnation that the
// request was sent to. jitter, from 0 to 1, spreads the times at which many routers
// return after a pause.
func (a *Admitter) ApplyNotice(now identifier.Instant, attempt *Attempt, notice TargetNotice, jitter float64) NoticeChange {
	t := attempt.target
	if t == nil {
		return NoticeChange{}
	}
	change := NoticeChange{Leaving: notice.Leaving && t.admission.RecordLeaving(now), Pausing: t.admission.RecordPause(now, notice.Pause, jitter)}
	if change != (NoticeChange{}) {
		a.invalidateSummary(t)
	}
	return change
}

// invalidateSummary marks the summary of the pool of target t as out of date.
func (a *Admitter) invalidateSummary(t *targetState) {
	if p := a.pools[t.Pool]; p != nil {
		p.summarisedAt = 0
	}
}

// RecheckAdmission decides whether a request may still be sent to the target that was
// chosen for it. The attempt itself, which already counts as running, is not counted, and the
// permit that it took counts as its own. If the target was not listed the request may be
// sent.
func (a *Admitter) RecheckAdmission(now identifier.Instant, attempt *Attempt) permitter.Decision {
	t := attempt.target
	if t == nil {
		return permitter.Decision{}
	}
	if d := t.admission.Decide(now, t.ownLoad.Running-attempt.load.Running); !d.Open() {
		return d
	}
	return t.warmUp.Recheck(now, attempt.permitUntil)
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

// PoolRefusal returns the refusal of requests that no target of a pool can take. It is, in
// this order: TargetsDisallowed if no target is in an allowed region; SoftwareUnavailable if
// none of those has the software that the request is pinned to; NoTarget if a target accepts
// work or its connections failed; TargetsPausing or TargetsWarmingUp if it is known
// when the first target accepts work again; TargetsEvacuated if a target is evacuated; else
// NoTarget. For an unknown pool it returns the zero Choice.
func (a *Admitter) PoolRefusal(now identifier.Instant, req Request) Choice {
	if p := a.pools[req.Pool]; p != nil {
		return p.refusal(now, &req)
	}
	return Choice{}
}

// refusal returns the refusal of requests that no target of the pool can take, as
// PoolRefusal does. That of a large pool is computed once for each summary.
func (p *pool) refusal(now identifier.Instant, req *Request) Choice {
	if len(p.targets) <= maxScanned || p.restricts(req) {
		return p.currentRefusal(now, req)
	}
	if p.summarisedAt == 0 || p.refusedAt == 0 || now < p.refusedAt || now.Sub(p.refusedAt) >= summaryTTL {
		p.refused, p.refusedAt = p.currentRefusal(now, &Request{}), now
	}
	c := p.refused
	c.Wait = max(0, c.Wait-now.Sub(p.refusedAt))
	return c
}

// currentRefusal visits all targets to find the refusal.
func (p *pool) currentRefusal(now identifier.Instant, req *Request) Choice {
	c := Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	earliest, evacuated, kind := identifier.Instant(0), false, TargetsPausing
	found := false
	for _, t := range p.targets {
		if !req.permits(t) {
			continue
		}
		found = true
		d := t.admissionDecision(now)
		if d.Open() || d.Reason == permitter.ConnectionsFailed {
			return c
		}
		if d.Until != 0 && (earliest == 0 || d.Until < earliest) {
			earliest, kind = d.Until, TargetsPausing
			if d.Reason == permitter.WarmingUp {
				kind = TargetsWarmingUp
			}
		}
		evacuated = evacuated || d.Reason == permitter.Evacuated
	}
	switch {
	case !found:
		return p.noneRefusal(req)
	case earliest == 0 && evacuated:
		return Choice{Refused: TargetsEvacuated, Wait: noTargetRetryAfter}
	case earliest == 0:
		return c
	}
	return Choice{Refused: kind, Wait: earliest.Sub(now)}
}

// noneRefusal returns the refusal of a request that may go to none of the targets of the pool.
func (p *pool) noneRefusal(req *Request) Choice {
	c := Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	for _, t := range p.targets {
		if req.AllowedRegions.Allows(t.Region) {
			return Choice{Refused: SoftwareUnavailable, Wait: noTargetRetryAfter}
		}
		c.Refused = TargetsDisallowed
	}
	return c
}

// departedTTL is how long an incarnation is remembered that has announced that it leaves
// and is no longer listed.
const departedTTL = 10 * time.Minute

// rememberDeparted remembers which targets that are not on the next list have announced
// that they leave. Without a known incarnation nothing is remembered, since an entry that
// is listed again may belong to the next incarnation.
func (a *Admitter) rememberDeparted(next map[identifier.Target]*targetState) {
	for id, t := range a.targets {
		if since := t.admission.LeavingSince(); since != 0 && t.Incarnation != 0 && next[id] != t {
			a.departed[t.incarnation()] = since
		}
	}
}

// restoreDeparted marks a target as leaving if its incarnation has announced that it
// leaves before its entry was removed from the list.
func (a *Admitter) restoreDeparted(t Target, s *targetState) {
	if since, known := a.departed[t.incarnation()]; known {
		s.admission.RecordLeaving(since)
		delete(a.departed, t.incarnation())
	}
}

// pruneDeparted drops the incarnations that announced more than departedTTL ago that they
// leave.
func (a *Admitter) pruneDeparted(now identifier.Instant) {
	for inc, since := range a.departed {
		if now.Sub(since) > departedTTL {
			delete(a.departed, inc)
		}
	}
}

// LeavingReport is what a router reports to others about a target that has announced to
// it that it leaves.
type LeavingReport struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the incarnation of the target.
	Incarnation int64
	// Age is the time since the announcement.
	Age time.Duration
}

// maxLeavingReports limits the reports of one message. The oldest are left out: their
// targets will soon be listed as leaving.
const maxLeavingReports = 64

// LeavingReports returns a report on each target that has announced to this router that
// it leaves, and is not listed as leaving.
func (a *Admitter) LeavingReports(now identifier.Instant) LeavingReports {
	reports := LeavingReports{}
	for id, t := range a.targets {
		if since := t.admission.LeavingSince(); since != 0 && !t.admission.ListedLeaving() {
			reports.Add(id, LeavingReport{Incarnation: t.Incarnation, Age: max(0, now.Sub(since))})
		}
	}
	return reports
}

// ApplyLeavingReports records the reports of other routers, except those on other
// incarnations and those older than departedTTL. It returns the targets for which the
// report is new.
func (a *Admitter) ApplyLeavingReports(now identifier.Instant, reports LeavingReports) []identifier.Target {
	var changed []identifier.Target
	for id, report := range reports {
		t := a.targets[id]
		if t == nil || t.Incarnation != report.Incarnation || report.Age > departedTTL || t.admission.LeavingSince() != 0 || t.admission.ListedLeaving() {
			continue
		}
		if t.admission.RecordPeerNotice(now) {
			a.invalidateSummary(t)
			changed = append(changed, id)
		}
	}
	return changed
}

// LeavingReports holds the reports of routers on targets that leave, by target.
type LeavingReports map[identifier.Target]LeavingReport

// Add adds a report. Of two reports on one target, that of the later incarnation is kept,
// and for the same incarnation the older report. If there are more than
// maxLeavingReports, the oldest is dropped.
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
