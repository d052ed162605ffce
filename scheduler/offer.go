package scheduler

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Offer states what one router has waiting of one class.
type Offer struct {
	Class identifier.Class
	// Count is the number of waiting requests. The router may round it. Zero withdraws
	// the offer.
	Count int
	// Age is how long the oldest request has waited.
	Age time.Duration
	// CostHint is the expected cost of the first request, zero if unknown.
	CostHint identifier.Cost
	// Prefix is the hash of the first request's prompt prefix, zero if it has none.
	Prefix identifier.Prefix
}

// offer is the latest Offer of one router for one class, with the grants issued on it.
type offer struct {
	count int
	// oldest is when the oldest request began to wait.
	oldest   identifier.Instant
	costHint identifier.Cost
	prefix   identifier.Prefix
	// granted is the number of outstanding grants on this offer.
	granted int
}

// open reports whether the offer has requests without an outstanding grant.
func (o *offer) open() bool { return o.count > o.granted }

// updateOffer applies f to offer o of class c and updates the number of open offers.
func (c *class) updateOffer(o *offer, f func()) {
	wasOpen := o.open()
	f()
	switch isOpen := o.open(); {
	case isOpen && !wasOpen:
		c.openOffers++
	case wasOpen && !isOpen:
		c.openOffers--
	}
}

// removeOffer removes the offer of router r, if there is one.
func (c *class) removeOffer(r identifier.Router) {
	o := c.offers[r]
	if o == nil {
		return
	}
	c.updateOffer(o, func() { o.count = 0 })
	delete(c.offers, r)
}

// class holds the offers and the preempted requests of one class.
type class struct {
	id identifier.Class
	// contender is the workspace of the class.
	contender *contender
	offers    map[identifier.Router]*offer
	// openOffers is the number of open offers.
	openOffers int
	// preempted are the preempted requests of this class, in the order of their
	// preemption.
	preempted []identifier.Request
}

// hasWork reports whether the class has a preempted request or an open offer.
func (c *class) hasWork() bool { return len(c.preempted) > 0 || c.openOffers > 0 }

func (c *class) empty() bool { return len(c.offers) == 0 && len(c.preempted) == 0 }

// pickOffer returns the open offer whose oldest request has waited longest, and its
// router. localityBonus is added to the age of an offer whose prefix is cached. The
// offer is nil if none is open.
func (c *class) pickOffer(cached func(identifier.Prefix) bool) (identifier.Router, *offer) {
	var router identifier.Router
	var best *offer
	var bestRank identifier.Instant
	for r, o := range c.offers {
		if !o.open() {
			continue
		}
		rank := o.oldest
		if o.prefix != 0 && cached(o.prefix) {
			rank = rank.Add(-localityBonus)
		}
		if best == nil || rank < bestRank || (rank == bestRank && r < router) {
			router, best, bestRank = r, o, rank
		}
	}
	return router, best
}

func sortKinds(ks []identifier.Kind, less func(a, b identifier.Kind) bool) {
	sort.Slice(ks, func(i, j int) bool { return less(ks[i], ks[j]) })
}

// UpdateOffers replaces the offers of router r for the classes in offers. Its offers
// for other classes stay.
func (s *Scheduler) UpdateOffers(now identifier.Instant, r identifier.Router, offers []Offer) Actions {
	for _, o := range offers {
		s.setOffer(now, r, o)
	}
	return s.fillSlots(now)
}

// DropRouter removes all offers of router r, whose link is lost. Grants to it stay
// valid until they expire, because the router may still hand requests over.
func (s *Scheduler) DropRouter(now identifier.Instant, r identifier.Router) {
	for _, c := range s.classes {
		c.removeOffer(r)
		s.dropIfEmpty(now, c)
	}
}

func (s *Scheduler) setOffer(now identifier.Instant, r identifier.Router, in Offer) {
	if _, known := s.cfg.Kinds[in.Class.Kind]; !known {
		return
	}
	c := s.class(now, in.Class)
	if in.Count <= 0 {
		c.removeOffer(r)
		s.dropIfEmpty(now, c)
		return
	}
	o := c.offers[r]
	if o == nil {
		o = &offer{}
		c.offers[r] = o
	}
	c.updateOffer(o, func() { o.count = in.Count })
	o.oldest = now.Add(-in.Age)
	o.costHint = in.CostHint
	o.prefix = in.Prefix
}

// class returns the state of class id, which it creates if needed.
func (s *Scheduler) class(now identifier.Instant, id identifier.Class) *class {
	c := s.classes[id]
	if c == nil {
		c = &class{id: id, offers: map[identifier.Router]*offer{}, contender: s.markActive(now, id.Workspace)}
		s.classes[id] = c
	}
	return c
}

// dropIfEmpty marks the workspace of class c as active and removes c if it has no
// offers and no preempted requests.
func (s *Scheduler) dropIfEmpty(now identifier.Instant, c *class) {
	s.markActive(now, c.id.Workspace)
	if c.empty() {
		delete(s.classes, c.id)
	}
}
