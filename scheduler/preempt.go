package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// minRunTime is how long a run is not preempted after it has started or resumed, to
// prevent thrashing.
const minRunTime = time.Second

// preempt cancels one resumable run of a kind above its guaranteed share when another
// kind waits that has less than its share of the slots, and serves that kind if this
// leaves capacity for it.
func (s *Scheduler) preempt(now identifier.Instant, acts *Actions) {
	if s.cfg.PreemptInterval <= 0 || s.draining || s.paused || now.Sub(s.preemptChecked) < s.cfg.PreemptInterval {
		return
	}
	if s.grantableCount(now) > 0 {
		return
	}
	s.preemptChecked = now // Set whether or not there is a victim.
	kind, found := s.kindBelowShare()
	if !found {
		return
	}
	r, u := s.victim(now)
	if u == nil {
		return
	}
	u.atTarget = false
	s.running--
	c := s.class(now, u.class)
	c.preempted = append(c.preempted, r)
	s.refundUnused(u)
	acts.Preempts = append(acts.Preempts, r)
	s.startQueued(now, acts)
	if next := s.chooseClass(kind); next != nil && s.grantableCount(now) > 0 {
		s.serveClass(now, kind, next, acts)
	}
}

// kindBelowShare returns the waiting kind that is furthest below its guaranteed share
// of the slots, if any is at least one slot below.
func (s *Scheduler) kindBelowShare() (identifier.Kind, bool) {
	slots := s.slotsByKind()
	waiting := s.waitingKinds()
	var kind identifier.Kind
	largest := 0.0
	for _, k := range s.cfg.kindNames() {
		deficit := s.cfg.Kinds[k].Share*float64(s.limiter.slots) - float64(slots[k])
		if waiting[k] && deficit >= 1 && deficit > largest {
			kind, largest = k, deficit
		}
	}
	return kind, largest > 0
}

// slotsByKind returns how many slots each kind occupies or will occupy through queued
// requests and outstanding grants.
func (s *Scheduler) slotsByKind() map[identifier.Kind]int {
	slots := map[identifier.Kind]int{}
	for _, u := range s.runs {
		if !s.isPreempted(u) {
			slots[u.class.Kind]++
		}
	}
	for _, g := range s.grants {
		slots[g.class.Kind]++
	}
	return slots
}

// isPreempted reports whether the run was started and then preempted.
func (s *Scheduler) isPreempted(u *run) bool { return !u.atTarget && u.started != 0 }

// victim returns the most recently started resumable run of the kind that is furthest
// above its guaranteed share, or nil if no kind is at least one slot above. Runs
// younger than minRunTime are skipped.
func (s *Scheduler) victim(now identifier.Instant) (identifier.Request, *run) {
	slots := s.slotsByKind()
	var id identifier.Request
	var best *run
	var bestExcess float64
	for r, u := range s.runs {
		excess := float64(slots[u.class.Kind]) - s.cfg.Kinds[u.class.Kind].Share*float64(s.limiter.slots)
		if !u.atTarget || !u.resumable || excess < 1 || now.Sub(u.started) < minRunTime {
			continue
		}
		if best == nil || excess > bestExcess || (excess == bestExcess && startedLater(r, u, id, best)) {
			id, best, bestExcess = r, u, excess
		}
	}
	return id, best
}

// startedLater reports whether run u of request r started after run best of request id.
// Request ids break ties.
func startedLater(r identifier.Request, u *run, id identifier.Request, best *run) bool {
	if u.started != best.started {
		return u.started > best.started
	}
	return r < id
}

// resume starts the first preempted request of class c again, charges the rest of its
// estimate to the flow, and reports whether a slot was free for it.
func (s *Scheduler) resume(now identifier.Instant, flow identifier.Kind, c *class, acts *Actions) bool {
	if s.running >= s.limiter.usableSlots() {
		return false
	}
	r := c.preempted[0]
	c.preempted = c.preempted[1:]
	u := s.runs[r]
	u.flow = flow
	cost := max(u.estimate-u.used, 0)
	u.charged += cost
	s.charge(c.id.Workspace, cost)
	s.flows.charge(flow, cost)
	s.dropIfEmpty(now, c)
	s.start(now, r, acts)
	return true
}
