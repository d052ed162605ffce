package scheduler

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Offer tells an agent what one router has waiting of one class. A count of
// zero withdraws the offer.
type Offer struct {
	Class identifier.Class
	// Count is how many requests wait, rounded as the router likes.
	Count int
	// Age is how long the oldest one has waited.
	Age time.Duration
	// CostHint is the expected cost of the first one, zero if unknown.
	CostHint identifier.Cost
	// Prefix is the hash of the first one's prompt prefix, zero if none.
	Prefix identifier.Prefix
}

// offer is an Offer as held here.
type offer struct {
	count  int
	oldest identifier.Instant
	hint   identifier.Cost
	prefix identifier.Prefix
	// granted is how many grants on this offer are outstanding.
	granted int
}

func (o *offer) open() bool { return o.count > o.granted }

// updateOffer applies f to offer o of class c and keeps the count of open offers.
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

// removeOffer takes back the offer of router r.
func (c *class) removeOffer(r identifier.Router) {
	o := c.offers[r]
	if o == nil {
		return
	}
	c.updateOffer(o, func() { o.count = 0 })
	delete(c.offers, r)
}

// class collects the offers of one class.
type class struct {
	id identifier.Class
	// contender is the class's workspace.
	contender *contender
	offers    map[identifier.Router]*offer
	// openOffers is how many of the offers are open.
	openOffers int
	// preempted are preempted requests of this class, the oldest first.
	preempted []identifier.Request
}

func (c *class) hasWork() bool { return len(c.preempted) > 0 || c.openOffers > 0 }

func (c *class) empty() bool { return len(c.offers) == 0 && len(c.preempted) == 0 }

// pickOffer returns the router whose open offer has waited longest. An offer whose
// prefix the target holds counts as localityBonus older.
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

// UpdateOffers takes in what router r has waiting now. Classes that are not named
// stay as they were.
func (s *Scheduler) UpdateOffers(now identifier.Instant, r identifier.Router, offers []Offer) Actions {
	for _, o := range offers {
		s.setOffer(now, r, o)
	}
	return s.fillSlots(now)
}

// DropRouter forgets all offers of router r, whose link is lost. Its grants
// stay valid until they expire, for the router may still be handing over.
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
	o.hint = in.CostHint
	o.prefix = in.Prefix
}

func (s *Scheduler) class(now identifier.Instant, id identifier.Class) *class {
	c := s.classes[id]
	if c == nil {
		c = &class{id: id, offers: map[identifier.Router]*offer{}, contender: s.markActive(now, id.Workspace)}
		s.classes[id] = c
	}
	return c
}

// dropIfEmpty drops class c once nothing of it is left.
func (s *Scheduler) dropIfEmpty(now identifier.Instant, c *class) {
	s.markActive(now, c.id.Workspace)
	if c.empty() {
		delete(s.classes, c.id)
	}
}
