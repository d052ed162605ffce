package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// SetServedKinds sets the kinds of which the target takes requests; nil means all.
// Requests that were already handed over continue.
func (s *Scheduler) SetServedKinds(now identifier.Instant, kinds map[identifier.Kind]bool) Actions {
	s.servedKinds = kinds
	return s.fillSlots(now)
}

// serves reports whether the target takes requests of kind k.
func (s *Scheduler) serves(k identifier.Kind) bool { return s.servedKinds == nil || s.servedKinds[k] }

// WaitingWeights returns for each kind the sum of the weights of the workspaces whose
// oldest offer has waited for longer than age.
func (s *Scheduler) WaitingWeights(now identifier.Instant, age time.Duration) map[identifier.Kind]float64 {
	sums := map[identifier.Kind]float64{}
	for id, c := range s.classes {
		if c.longestWait(now) > age {
			sums[id.Kind] += s.cfg.weight(id.Workspace)
		}
	}
	return sums
}

// longestWait returns how long the oldest open offer has waited, zero if none is open.
func (c *class) longestWait(now identifier.Instant) time.Duration {
	var longest time.Duration
	for _, o := range c.offers {
		if o.open() {
			longest = max(longest, now.Sub(o.oldest))
		}
	}
	return longest
}

// Utilization returns the part of the slots in use, from 0 to 1. Queued requests count
// as using a slot.
func (s *Scheduler) Utilization() float64 {
	return min(1, float64(s.running+len(s.queued))/float64(max(s.limiter.slots, 1)))
}
