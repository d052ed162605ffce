package scheduler

import "buckthorndrum/identifier"

// tieWindowDivisor sets the tie window, the difference up to which levels count as
// equal so that urgency and locality decide: the credit window divided by this.
const tieWindowDivisor = 8

// serveNext resumes a preempted request or issues one grant, and reports whether it
// did.
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

// waitingKinds returns the kinds that have an eligible class.
func (s *Scheduler) waitingKinds() map[identifier.Kind]bool {
	waiting := map[identifier.Kind]bool{}
	for id, c := range s.classes {
		if !waiting[id.Kind] && s.eligible(c) {
			waiting[id.Kind] = true
		}
	}
	return waiting
}

// eligible reports whether class c has work that may be taken now. A draining target,
// or one that no longer serves the kind, only resumes requests that were preempted
// here.
func (s *Scheduler) eligible(c *class) bool {
	if s.draining || !s.serves(c.id.Kind) {
		return len(c.preempted) > 0
	}
	return c.hasWork()
}

// chooseClass returns the class of the flow whose workspace has the lowest level, or
// nil if none is eligible. Workspaces whose levels are within the tie window are
// ordered by urgency, cached prefix and level.
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

// candidate is a class with the effective level of its workspace.
type candidate struct {
	class *class
	level identifier.Cost
}

// candidates returns the eligible classes of the flow and their lowest level.
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

// inFlow reports whether class c is eligible and belongs to the flow.
func (s *Scheduler) inFlow(c *class, flow identifier.Kind) bool {
	return (flow == unreservedFlow || c.id.Kind == flow) && s.eligible(c)
}

// before reports whether x goes before y. Their levels are within the tie window.
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

// holdsPrefix reports whether the target has the prompt prefix of an open offer of c
// cached.
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

// serveClass resumes a preempted request of c, or issues a grant for c if there is
// none, and reports whether it did.
func (s *Scheduler) serveClass(now identifier.Instant, flow identifier.Kind, c *class, acts *Actions) bool {
	if len(c.preempted) > 0 {
		return s.resume(now, flow, c, acts)
	}
	r, o := c.pickOffer(s.prefixes.contains)
	if o == nil {
		return false
	}
	cost := s.cfg.estimate(c.id.Kind, o.costHint)
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

// charge adds service c, divided by the weight of workspace w, to the level of w.
func (s *Scheduler) charge(w identifier.Workspace, c identifier.Cost) {
	s.table.Charge(w, s.normalize(w, c))
}

// refund takes back a charge of c for workspace w.
func (s *Scheduler) refund(w identifier.Workspace, c identifier.Cost) {
	s.table.Refund(w, s.normalize(w, c))
}

// normalize returns c divided by the weight of workspace w.
func (s *Scheduler) normalize(w identifier.Workspace, c identifier.Cost) identifier.Cost {
	return identifier.Cost(float64(c) / s.cfg.weight(w))
}
