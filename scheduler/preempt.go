package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// minRunTime is how long a run is left alone once it has started or resumed, so
// that preemption cannot thrash.
const minRunTime = time.Second

// preempt cancels one borrowed, resumable run when a kind waits that holds
// less than its guaranteed share of the slots, and gives that kind the room.
func (s *Scheduler) preempt(now identifier.Instant, acts *Actions) {
	if s.cfg.PreemptInterval <= 0 || s.draining || s.paused || now.Sub(s.preemptChecked) < s.cfg.PreemptInterval {
		return
	}
	if s.grantableCount(now) > 0 {
		return
	}
	s.preemptChecked = now // Looked at, whether or not there is a victim.
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

// kindBelowShare returns a kind that waits and holds less than its share of slots,
// the one that lacks most.
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

// slotsByKind returns how many slots each kind holds or is about to hold.
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

func (s *Scheduler) isPreempted(u *run) bool { return !u.atTarget && u.started != 0 }

// victim returns the latest started resumable run of the kind that holds most
// beyond its share, or nil if no kind holds more than its share.
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

func startedLater(r identifier.Request, u *run, id identifier.Request, best *run) bool {
	if u.started != best.started {
		return u.started > best.started
	}
	return r < id
}

// resume starts the oldest parked request of class c again.
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
