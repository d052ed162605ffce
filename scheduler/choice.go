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
// target, or one that no longer serves the kind, only resumes what it has
// preempted itself.
func (s *Scheduler) takeable(c *class) bool {
	if s.draining || !s.serves(c.id.Kind) {
		return len(c.parked) > 0
	}
	return c.open()
}

// choose returns the class of the lane whose workspace is furthest behind.
// Workspaces within the tie window are ordered by urgency, prefix and age.
func (s *Scheduler) choose(lane identifier.Kind) *class {
	ranked, lowest := s.ranked(lane)
	limit := lowest + s.cfg.CreditWindow/tieFraction
	var best candidate
	for _, c := range ranked {
		if c.level <= limit && (best.class == nil || s.before(c, best)) {
			best = c
		}
	}
	return best.class
}

// candidate is a class with the level of its workspace.
type candidate struct {
	class *class
	level identifier.Cost
}

// ranked returns the classes that the lane may take, and their lowest level.
func (s *Scheduler) ranked(lane identifier.Kind) ([]candidate, identifier.Cost) {
	found := s.scratch[:0]
	var lowest identifier.Cost
	for _, c := range s.classes {
		if !s.inLane(c, lane) {
			continue
		}
		l := s.level(c.contender)
		if len(found) == 0 || l < lowest {
			lowest = l
		}
		found = append(found, candidate{c, l})
	}
	s.scratch = found
	return found, lowest
}

func (s *Scheduler) inLane(c *class, lane identifier.Kind) bool {
	return (lane == unreserved || c.id.Kind == lane) && s.takeable(c)
}

// before orders two classes whose workspaces are equally far behind.
func (s *Scheduler) before(x, y candidate) bool {
	a, b := x.class, y.class
	if ua, ub := s.cfg.Kinds[a.id.Kind].Urgency, s.cfg.Kinds[b.id.Kind].Urgency; ua != ub {
		return ua > ub
	}
	if ha, hb := s.holds(a), s.holds(b); ha != hb {
		return ha
	}
	if x.level != y.level {
		return x.level < y.level
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
