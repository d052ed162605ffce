package scheduler

import (
	"fmt"

	"buckthorndrum/identifier"
)

// grant is an outstanding grant.
type grant struct {
	class   identifier.Class
	router  identifier.Router
	flow    identifier.Kind
	cost    identifier.Cost
	prefix  identifier.Prefix
	issued  identifier.Instant
	expires identifier.Instant
}

// run is a request that was handed over and has not finished.
type run struct {
	class identifier.Class
	flow  identifier.Kind
	// estimate is the expected cost, as charged when it was granted.
	estimate identifier.Cost
	// charged is the cost charged so far.
	charged identifier.Cost
	// used is the cost incurred so far, as far as it is known.
	used identifier.Cost
	// started is when the request was last started or resumed, zero if it was not
	// started yet.
	started identifier.Instant
	// atTarget reports whether the request occupies a slot at the target.
	atTarget bool
	// resumable reports whether the target can cancel and resume the request.
	resumable bool
}

// Handover is a request that a router hands over under a grant.
type Handover struct {
	Request identifier.Request
	Class   identifier.Class
	// Resumable reports whether the target can cancel and resume the request.
	Resumable bool
}

// InvalidGrantError reports that the grant presented with a request was never issued,
// is for another class, was used or has expired, or that the request was handed over
// before. The request is not run under this grant.
type InvalidGrantError struct {
	Grant identifier.Grant
	Class identifier.Class
}

// Error implements error.
func (e InvalidGrantError) Error() string {
	return fmt.Sprintf("grant %s#%d for kind %q of workspace %q is not outstanding", e.Grant.Origin, e.Grant.Number, e.Class.Kind, e.Class.Workspace)
}

// Accept takes over request h under grant id. If it returns an error, which is an
// InvalidGrantError, the request was not taken and is not run under this grant.
func (s *Scheduler) Accept(now identifier.Instant, id identifier.Grant, h Handover) (Actions, error) {
	g := s.grants[id.Number]
	if id.Origin != s.cfg.Self || g == nil || g.class != h.Class || now >= g.expires {
		return Actions{}, InvalidGrantError{Grant: id, Class: h.Class}
	}
	if _, duplicate := s.runs[h.Request]; duplicate {
		return Actions{}, InvalidGrantError{Grant: id, Class: h.Class}
	}
	s.limiter.recordAccept(now.Sub(g.issued))
	s.deleteGrant(id.Number, g)
	s.decrementOffer(now, g)
	s.prefixes.add(g.prefix)
	s.runs[h.Request] = &run{class: g.class, flow: g.flow, estimate: g.cost, charged: g.cost, resumable: h.Resumable}
	s.queued = append(s.queued, h.Request)
	return s.fillSlots(now), nil
}

// decrementOffer lowers the count of the offer on which grant g was issued by one, for
// the request that was handed over. The router's next offer replaces the count.
func (s *Scheduler) decrementOffer(now identifier.Instant, g *grant) {
	c := s.classes[g.class]
	if c == nil || c.offers[g.router] == nil {
		return
	}
	o := c.offers[g.router]
	c.updateOffer(o, func() { o.count-- })
	if o.count <= 0 {
		c.removeOffer(g.router)
	}
	s.dropIfEmpty(now, c)
}

// Decline takes back grant id, for which the router had no request.
func (s *Scheduler) Decline(now identifier.Instant, id identifier.Grant) Actions {
	g := s.grants[id.Number]
	if id.Origin != s.cfg.Self || g == nil {
		return Actions{}
	}
	s.releaseGrant(id.Number, g)
	s.dropOffer(now, g)
	return s.fillSlots(now)
}

// dropOffer removes the offer on which the declined grant g was issued, so that it is
// not granted again before the router sends a new one.
func (s *Scheduler) dropOffer(now identifier.Instant, g *grant) {
	c := s.classes[g.class]
	if c == nil || c.offers[g.router] == nil {
		return
	}
	c.removeOffer(g.router)
	s.dropIfEmpty(now, c)
}

// Progress records that request r has cost used so far. What exceeds the charge is
// charged.
func (s *Scheduler) Progress(now identifier.Instant, r identifier.Request, used identifier.Cost) {
	u := s.runs[r]
	if u == nil || used <= u.used {
		return
	}
	s.limiter.recordProgress(now, used-u.used, s.running)
	u.used = used
	if excess := used - u.charged; excess > 0 {
		s.charge(u.class.Workspace, excess)
		s.flows.adjust(u.flow, excess)
		u.charged = used
	}
}

// Finish ends request r, which has cost used in total. What was charged beyond that is
// refunded.
func (s *Scheduler) Finish(now identifier.Instant, r identifier.Request, used identifier.Cost) Actions {
	u := s.runs[r]
	if u == nil {
		return Actions{}
	}
	s.Progress(now, r, used)
	s.refundUnused(u)
	s.limiter.recordProgress(now, 0, s.running)
	delete(s.runs, r)
	s.queued = removeRequest(s.queued, r)
	if c := s.classes[u.class]; c != nil {
		c.preempted = removeRequest(c.preempted, r)
		s.dropIfEmpty(now, c)
	}
	if u.atTarget {
		s.limiter.recordFinish(now, s.running)
		s.running--
	}
	return s.fillSlots(now)
}

// refundUnused refunds what was charged for u beyond its use.
func (s *Scheduler) refundUnused(u *run) {
	excess := u.charged - u.used
	if excess <= 0 {
		return
	}
	s.refund(u.class.Workspace, excess)
	s.flows.adjust(u.flow, -excess)
	u.charged = u.used
}

// releaseGrant deletes the grant and refunds its charge.
func (s *Scheduler) releaseGrant(number uint64, g *grant) {
	s.deleteGrant(number, g)
	s.refund(g.class.Workspace, g.cost)
	s.flows.adjust(g.flow, -g.cost)
}

// deleteGrant deletes the grant without a refund.
func (s *Scheduler) deleteGrant(number uint64, g *grant) {
	delete(s.grants, number)
	c := s.classes[g.class]
	if c == nil {
		return
	}
	if o := c.offers[g.router]; o != nil && o.granted > 0 {
		c.updateOffer(o, func() { o.granted-- })
	}
}

// startQueued starts queued requests at the target while slots are free.
func (s *Scheduler) startQueued(now identifier.Instant, acts *Actions) {
	for len(s.queued) > 0 && s.running < s.limiter.usableSlots() {
		r := s.queued[0]
		s.queued = s.queued[1:]
		s.start(now, r, acts)
	}
}

// start starts or resumes request r at the target.
func (s *Scheduler) start(now identifier.Instant, r identifier.Request, acts *Actions) {
	u := s.runs[r]
	u.atTarget = true
	u.started = now
	if s.running == 0 {
		s.limiter.recordProgress(now, 0, 0)
	}
	s.running++
	acts.Starts = append(acts.Starts, r)
}

// removeRequest returns rs without r. It modifies rs.
func removeRequest(rs []identifier.Request, r identifier.Request) []identifier.Request {
	for i := range rs {
		if rs[i] == r {
			return append(rs[:i], rs[i+1:]...)
		}
	}
	return rs
}
