package scheduler

import "buckthorndrum/identifier"

// preempt cancels one borrowed, resumable run when a kind waits that holds
// less than its guaranteed share of the slots.
func (s *Scheduler) preempt(now identifier.Instant, acts *Actions) {
	if s.cfg.PreemptAfter <= 0 || s.draining || now.Sub(s.preempted) < s.cfg.PreemptAfter {
		return
	}
	if s.room(now) > 0 || !s.deprived() {
		return
	}
	r, u := s.victim()
	if u == nil {
		return
	}
	s.preempted = now
	u.atTarget = false
	s.running--
	c := s.class(u.class)
	c.parked = append(c.parked, r)
	s.settle(u)
	acts.Preempts = append(acts.Preempts, r)
	s.startQueued(now, acts)
	if s.room(now) > 0 {
		s.grantNext(now, acts)
	}
}

// deprived tells whether a kind waits that holds less than its share of slots.
func (s *Scheduler) deprived() bool {
	held := s.held()
	for k := range s.waitingKinds() {
		if float64(held[k]+1) <= s.cfg.Kinds[k].Share*float64(s.pace.slots) {
			return true
		}
	}
	return false
}

// held returns how many slots each kind holds or is about to hold.
func (s *Scheduler) held() map[identifier.Kind]int {
	held := map[identifier.Kind]int{}
	for _, u := range s.runs {
		if !s.isParked(u) {
			held[u.class.Kind]++
		}
	}
	for _, g := range s.grants {
		held[g.class.Kind]++
	}
	return held
}

func (s *Scheduler) isParked(u *run) bool { return !u.atTarget && u.started != 0 }

// victim returns the latest started resumable run of the kind that holds most
// beyond its share, or nil if no kind holds more than its share.
func (s *Scheduler) victim() (identifier.Request, *run) {
	held := s.held()
	var id identifier.Request
	var best *run
	var bestOver float64
	for r, u := range s.runs {
		over := float64(held[u.class.Kind]) - s.cfg.Kinds[u.class.Kind].Share*float64(s.pace.slots)
		if !u.atTarget || !u.resumable || over < 1 {
			continue
		}
		if best == nil || over > bestOver || (over == bestOver && laterRun(r, u, id, best)) {
			id, best, bestOver = r, u, over
		}
	}
	return id, best
}

func laterRun(r identifier.Request, u *run, id identifier.Request, best *run) bool {
	if u.started != best.started {
		return u.started > best.started
	}
	return r < id
}

// resume starts the oldest parked request of class c again.
func (s *Scheduler) resume(now identifier.Instant, lane identifier.Kind, c *class, acts *Actions) bool {
	if s.running >= s.pace.slots {
		return false
	}
	r := c.parked[0]
	c.parked = c.parked[1:]
	u := s.runs[r]
	u.lane = lane
	cost := s.cfg.estimate(c.id.Kind, 0)
	u.charged += cost
	s.charge(c.id.Workspace, cost)
	s.lanes.charge(lane, cost)
	s.tidy(now, c)
	s.start(now, r, acts)
	return true
}
