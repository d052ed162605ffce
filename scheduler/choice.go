package scheduler

import "buckthorndrum/identifier"

// tieWindowDivisor is the part of the credit window within which levels count as
// equal, so that urgency and locality may decide.
const tieWindowDivisor = 8

// serveNext starts a parked request or issues one grant, and reports whether
// it found work to do so for.
func (s *Scheduler) serveNext(now identifier.Instant, acts *Actions) bool {
	waiting := s.waitingKinds()
	if len(waiting) == 0 {
		return false
	}
	for _, flow := range s.flows.order(waiting) {
		c := s.chooseClass(flow)
		if c == nil {
			continue
		}
		return s.serveClass(now, flow, c, acts)
	}
	return false
}

// waitingKinds returns the kinds that have work which may be taken now.
func (s *Scheduler) waitingKinds() map[identifier.Kind]bool {
	waiting := map[identifier.Kind]bool{}
	for id, c := range s.classes {
		if !waiting[id.Kind] && s.eligible(c) {
			waiting[id.Kind] = true
		}
	}
	return waiting
}

// eligible tells whether class c has work that may be taken now. A draining
// target, or one that no longer serves the kind, only resumes what it has
// preempted itself.
func (s *Scheduler) eligible(c *class) bool {
	if s.draining || !s.serves(c.id.Kind) {
		return len(c.preempted) > 0
	}
	return c.hasWork()
}

// chooseClass returns the class of the lane whose workspace is furthest behind.
// Workspaces within the tie window are ordered by urgency, prefix and age.
func (s *Scheduler) chooseClass(flow identifier.Kind) *class {
	found, lowest := s.candidates(flow)
	limit := lowest + s.cfg.CreditWindow/tieWindowDivisor
	var best candidate
	for _, c := range found {
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

// candidates returns the classes that the lane may take, and their lowest level.
func (s *Scheduler) candidates(flow identifier.Kind) ([]candidate, identifier.Cost) {
	found := s.scratch[:0]
	var lowest identifier.Cost
	for _, c := range s.classes {
		if !s.inFlow(c, flow) {
			continue
		}
		l := s.effectiveLevel(c.contender)
		if len(found) == 0 || l < lowest {
			lowest = l
		}
		found = append(found, candidate{c, l})
	}
	s.scratch = found
	return found, lowest
}

func (s *Scheduler) inFlow(c *class, flow identifier.Kind) bool {
	return (flow == unreservedFlow || c.id.Kind == flow) && s.eligible(c)
}

// before orders two classes whose workspaces are equally far behind.
func (s *Scheduler) before(x, y candidate) bool {
	a, b := x.class, y.class
	if ua, ub := s.cfg.Kinds[a.id.Kind].Urgency, s.cfg.Kinds[b.id.Kind].Urgency; ua != ub {
		return ua > ub
	}
	if ha, hb := s.holdsPrefix(a), s.holdsPrefix(b); ha != hb {
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

// holdsPrefix tells whether the target holdsPrefix the prefix of an open offer of c.
func (s *Scheduler) holdsPrefix(c *class) bool {
	if c.openOffers == 0 {
		return false
	}
	for _, o := range c.offers {
		if o.open() && o.prefix != 0 && s.prefixes.contains(o.prefix) {
			return true
		}
	}
	return false
}

// serveClass resumes a parked request of c, or grants one to a router.
func (s *Scheduler) serveClass(now identifier.Instant, flow identifier.Kind, c *class, acts *Actions) bool {
	if len(c.preempted) > 0 {
		return s.resume(now, flow, c, acts)
	}
	r, o := c.pickOffer(s.prefixes.contains)
	if o == nil {
		return false
	}
	cost := s.cfg.estimate(c.id.Kind, o.hint)
	c.updateOffer(o, func() { o.granted++ })
	s.lastNumber++
	g := &grant{class: c.id, router: r, flow: flow, cost: cost, prefix: o.prefix, issued: now, expires: now.Add(s.cfg.GrantTTL)}
	s.grants[s.lastNumber] = g
	s.charge(g.class.Workspace, cost)
	s.flows.charge(flow, cost)
	id := identifier.Grant{Origin: s.cfg.Self, Number: s.lastNumber}
	acts.Grants = append(acts.Grants, Grant{ID: id, To: r, Class: c.id})
	return true
}

// charge counts c of service for workspace w, divided by its weight.
func (s *Scheduler) charge(w identifier.Workspace, c identifier.Cost) {
	s.table.Charge(w, s.normalize(w, c))
}

func (s *Scheduler) refund(w identifier.Workspace, c identifier.Cost) {
	s.table.Refund(w, s.normalize(w, c))
}

func (s *Scheduler) normalize(w identifier.Workspace, c identifier.Cost) identifier.Cost {
	return identifier.Cost(float64(c) / s.cfg.weight(w))
}
