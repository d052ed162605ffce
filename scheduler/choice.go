package scheduler

import "buckthorndrum/identifier"

// tieFraction is the part of the credit window within which levels count as
// equal, so that urgency and locality may decide.
const tieFraction = 8

// grantNext starts a parked request or issues one grant, and reports whether
// it found work to do so for.
func (s *Scheduler) grantNext(now identifier.Instant, acts *Actions) bool {
	waiting := s.waitingKinds()
	if len(waiting) == 0 {
		return false
	}
	for _, lane := range s.lanes.order(waiting) {
		c := s.choose(lane)
		if c == nil {
			continue
		}
		return s.serve(now, lane, c, acts)
	}
	return false
}

// waitingKinds returns the kinds that have work which may be taken now.
func (s *Scheduler) waitingKinds() map[identifier.Kind]bool {
	waiting := map[identifier.Kind]bool{}
	for id, c := range s.classes {
		if !waiting[id.Kind] && s.takeable(c) {
			waiting[id.Kind] = true
		}
	}
	return waiting
}

// takeable tells whether class c has work that may be taken now. A draining
// target only resumes what it has preempted itself.
func (s *Scheduler) takeable(c *class) bool {
	if s.draining {
		return len(c.parked) > 0
	}
	return c.open()
}

// choose returns the class of the lane whose workspace is furthest behind.
// Workspaces within the tie window are ordered by urgency, prefix and age.
func (s *Scheduler) choose(lane identifier.Kind) *class {
	floor := s.floor()
	lowest, ok := s.lowest(lane, floor)
	if !ok {
		return nil
	}
	limit := lowest + s.cfg.CreditWindow/tieFraction
	var best *class
	for _, c := range s.classes {
		if !s.inLane(c, lane) || s.level(c.id.Workspace, floor) > limit {
			continue
		}
		if best == nil || s.before(c, best, floor) {
			best = c
		}
	}
	return best
}

func (s *Scheduler) inLane(c *class, lane identifier.Kind) bool {
	return (lane == commons || c.id.Kind == lane) && s.takeable(c)
}

func (s *Scheduler) lowest(lane identifier.Kind, floor identifier.Cost) (identifier.Cost, bool) {
	var lowest identifier.Cost
	found := false
	for _, c := range s.classes {
		if !s.inLane(c, lane) {
			continue
		}
		if l := s.level(c.id.Workspace, floor); !found || l < lowest {
			lowest, found = l, true
		}
	}
	return lowest, found
}

// before orders two classes whose workspaces are equally far behind.
func (s *Scheduler) before(a, b *class, floor identifier.Cost) bool {
	if ua, ub := s.cfg.Kinds[a.id.Kind].Urgency, s.cfg.Kinds[b.id.Kind].Urgency; ua != ub {
		return ua > ub
	}
	if ha, hb := s.holds(a), s.holds(b); ha != hb {
		return ha
	}
	la, lb := s.level(a.id.Workspace, floor), s.level(b.id.Workspace, floor)
	if la != lb {
		return la < lb
	}
	if a.id.Workspace != b.id.Workspace {
		return a.id.Workspace < b.id.Workspace
	}
	return a.id.Kind < b.id.Kind
}

// holds tells whether the target holds the prefix of an open offer of c.
func (s *Scheduler) holds(c *class) bool {
	if c.opened == 0 {
		return false
	}
	for _, o := range c.offers {
		if o.open() && o.prefix != 0 && s.prefixes.held(o.prefix) {
			return true
		}
	}
	return false
}

// serve resumes a parked request of c, or grants one to a router.
func (s *Scheduler) serve(now identifier.Instant, lane identifier.Kind, c *class, acts *Actions) bool {
	if len(c.parked) > 0 {
		return s.resume(now, lane, c, acts)
	}
	r, o := c.pick(s.prefixes.held)
	if o == nil {
		return false
	}
	cost := s.cfg.estimate(c.id.Kind, o.hint)
	c.change(o, func() { o.granted++ })
	s.number++
	g := &grant{class: c.id, router: r, lane: lane, cost: cost, prefix: o.prefix, issued: now, expires: now.Add(s.cfg.GrantTTL)}
	s.grants[s.number] = g
	s.charge(g.class.Workspace, cost)
	s.lanes.charge(lane, cost)
	id := identifier.Grant{Origin: s.cfg.Self, Number: s.number}
	acts.Grants = append(acts.Grants, Grant{ID: id, To: r, Class: c.id})
	return true
}

// charge counts c of service for workspace w, divided by its weight.
func (s *Scheduler) charge(w identifier.Workspace, c identifier.Cost) {
	s.table.Charge(w, s.weighted(w, c))
}

func (s *Scheduler) refund(w identifier.Workspace, c identifier.Cost) {
	s.table.Refund(w, s.weighted(w, c))
}

func (s *Scheduler) weighted(w identifier.Workspace, c identifier.Cost) identifier.Cost {
	return identifier.Cost(float64(c) / s.cfg.weight(w))
}
