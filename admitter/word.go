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
func (a *Admitter) ApplyNotice(now identifier.Instant, s *Attempt, w TargetNotice, draw float64) NoticeChange {
	t := s.state
	if t == nil {
		return NoticeChange{}
	}
	n := NoticeChange{Leaving: w.Leaving && t.permit.Leave(now), Pausing: t.permit.Pause(now, w.Pause, draw)}
	if n != (NoticeChange{}) {
		a.stale(t)
	}
	return n
}

// stale has the summary of a target's pool worked out anew.
func (a *Admitter) stale(t *state) {
	if p := a.pools[t.Pool]; p != nil {
		p.worked = 0
	}
}

// RecheckAdmission decides whether a request that was chosen for a target may still be sent to
// it, as it counts as under way there already.
func (a *Admitter) RecheckAdmission(now identifier.Instant, s *Attempt) permitter.Decision {
	t := s.state
	if t == nil {
		return permitter.Decision{}
	}
	return t.permit.At(now, t.own.Running-s.load.Running)
}

// CountUnavailable counts the targets that are given no new work, by reason.
func (a *Admitter) CountUnavailable(now identifier.Instant) map[permitter.Reason]int {
	counts := map[permitter.Reason]int{}
	for _, t := range a.targets {
		if d := t.decide(now); !d.Open() {
			counts[d.Reason]++
		}
	}
	return counts
}

// PoolRefusal is the refusal of requests that no target of a pool may be given: Pausing if none
// takes work, and when the first one will is known.
func (a *Admitter) PoolRefusal(now identifier.Instant, id identifier.Pool) Choice {
	if p := a.pools[id]; p != nil {
		return p.closed(now)
	}
	return Choice{}
}

// closed is the refusal of requests that no target of the pool may be given.
func (p *pool) closed(now identifier.Instant) Choice {
	c := Choice{Refused: NoTarget, Wait: noTargetWait}
	soonest := identifier.Instant(0)
	for _, t := range p.targets {
		d := t.decide(now)
		if d.Open() || d.Reason == permitter.Broken {
			return c
		}
		if d.Until != 0 && (soonest == 0 || d.Until < soonest) {
			soonest = d.Until
		}
	}
	if soonest == 0 {
		return c
	}
	return Choice{Refused: TargetsPausing, Wait: soonest.Sub(now)}
}

// leftLife is how long it is remembered that a boot has said that it leaves which is
// not listed any more.
const leftLife = 10 * time.Minute

// rememberLeft keeps what the targets that are not on the next list have said. Where
// starts are not known an entry that comes back may be of the next one.
func (a *Admitter) rememberLeft(next map[identifier.Target]*state) {
	for id, t := range a.targets {
		if since := t.permit.LeavingSince(); since != 0 && t.Incarnation != 0 && next[id] != t {
			a.left[t.boot()] = since
		}
	}
}

// recall gives a target back what its boot has said before its entry was gone.
func (a *Admitter) recall(t Target, s *state) {
	if since, known := a.left[t.boot()]; known {
		s.permit.Leave(since)
		delete(a.left, t.boot())
	}
}

// forgetLeft drops the boots that left long ago.
func (a *Admitter) forgetLeft(now identifier.Instant) {
	for b, since := range a.left {
		if now.Sub(since) > leftLife {
			delete(a.left, b)
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

// maxNotices bounds the notices of one message. The oldest are left out: their targets
// are listed as leaving soon.
const maxNotices = 64

// LeavingReports returns those targets that have said to this router that they leave, and are
// not listed so.
func (a *Admitter) LeavingReports(now identifier.Instant) LeavingReports {
	found := LeavingReports{}
	for id, t := range a.targets {
		if since := t.permit.LeavingSince(); since != 0 && !t.permit.Listed() {
			found.Add(id, LeavingReport{Incarnation: t.Incarnation, Age: max(0, now.Sub(since))})
		}
	}
	return found
}

// ApplyLeavingReports takes in what other routers were told. It returns the targets of which
// that is new.
func (a *Admitter) ApplyLeavingReports(now identifier.Instant, list LeavingReports) []identifier.Target {
	var fresh []identifier.Target
	for id, n := range list {
		t := a.targets[id]
		if t == nil || t.Incarnation != n.Incarnation || n.Age > leftLife || t.permit.LeavingSince() != 0 || t.permit.Listed() {
			continue
		}
		if t.permit.Tell(now) {
			a.stale(t)
			fresh = append(fresh, id)
		}
	}
	return fresh
}

// LeavingReports are what routers tell each other of targets that leave.
type LeavingReports map[identifier.Target]LeavingReport

// Add adds a notice. Of two of one target that of the later start counts, and of one
// start the older. Beyond maxNotices the oldest is left out.
func (l LeavingReports) Add(id identifier.Target, n LeavingReport) {
	if old, is := l[id]; is && (old.Incarnation > n.Incarnation || old.Incarnation == n.Incarnation && old.Age >= n.Age) {
		return
	}
	l[id] = n
	if len(l) > maxNotices {
		delete(l, l.oldest())
	}
}

func (l LeavingReports) oldest() identifier.Target {
	var oldest identifier.Target
	age := time.Duration(-1)
	for id, n := range l {
		if n.Age > age {
			oldest, age = id, n.Age
		}
	}
	return oldest
}
