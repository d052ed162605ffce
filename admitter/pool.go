package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

// summaryTTL is how long the summary of a pool is relied on.
const summaryTTL = 50 * time.Millisecond

// pool is the targets of one pool that can stand in for one another.
type pool struct {
	// targets are all of them, also those that leave.
	targets []*targetState
	// ring orders those that do not leave around the hashes of prompt parts.
	ring ring
	// summarisedAt is when what follows was summarisedAt out, zero if it has to be anew.
	summarisedAt identifier.Instant
	// minFailureRate is the least share of failures, ahead the mean time that the
	// targets need for the prompts ahead, and soonest the least time to a first
	// token.
	minFailureRate float64
	meanQueueDelay time.Duration
	minWait        time.Duration
	// shortestQueues are the targets with the least ahead, at most maxIdlest.
	shortestQueues []*targetState
}

// maxShortestQueues is how many of the least loaded targets a summary names.
const maxShortestQueues = 8

// summarise works the summary out anew if that is due, so that a choice does not
// look at each target.
func (p *pool) summarise(now identifier.Instant) {
	if p.summarisedAt != 0 && now >= p.summarisedAt && now.Sub(p.summarisedAt) < summaryTTL {
		return
	}
	p.summarisedAt = now
	p.minFailureRate, p.minWait = 1, -1
	p.shortestQueues = p.shortestQueues[:0]
	var sum time.Duration
	n := 0
	for _, t := range p.targets {
		if !t.acceptsWork(now) {
			continue
		}
		n++
		p.minFailureRate = min(p.minFailureRate, t.failureRate)
		t.queueDelay = t.latency.prefillTime(t.totalLoad().PrefillTokens)
		sum += t.queueDelay
		if wait := t.latency.base + t.queueDelay; p.minWait < 0 || wait < p.minWait {
			p.minWait = wait
		}
		p.insertShortestQueue(t)
	}
	p.meanQueueDelay = sum / time.Duration(max(1, n))
}

// insertShortestQueue keeps target t among the idlest, in order, if it is one of them.
func (p *pool) insertShortestQueue(t *targetState) {
	if t.Slots > 0 && t.totalLoad().Running >= t.Slots {
		return
	}
	i := len(p.shortestQueues)
	for i > 0 && p.shortestQueues[i-1].queueDelay > t.queueDelay {
		i--
	}
	if i >= maxShortestQueues {
		return
	}
	if len(p.shortestQueues) < maxShortestQueues {
		p.shortestQueues = append(p.shortestQueues, nil)
	}
	copy(p.shortestQueues[i+1:], p.shortestQueues[i:])
	p.shortestQueues[i] = t
}

// eligible tells whether target t may be given a request that avoids some targets.
func eligible(now identifier.Instant, t *targetState, exclude []identifier.Target) bool {
	return t.acceptsWork(now) && !contains(exclude, t.ID)
}

// healthy tells whether target t is as good as the others: no peer says that it leaves,
// and it fails no more than they do, or is to be tried again.
func (p *pool) healthy(now identifier.Instant, t *targetState) bool {
	if t.admission.Told(now) {
		return false
	}
	return t.failureRate <= p.minFailureRate+failureMargin || now.Sub(t.lastAttempt) > probeInterval
}

// eligibleTargets returns the targets that a request may be given. Those that are not sound
// are among them only if there are no others.
func (p *pool) eligibleTargets(now identifier.Instant, exclude []identifier.Target) []*targetState {
	var all, healthy []*targetState
	for _, t := range p.targets {
		if !eligible(now, t, exclude) {
			continue
		}
		all = append(all, t)
		if p.healthy(now, t) {
			healthy = append(healthy, t)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	return healthy
}

// meanLatency returns the mean pace of the targets.
func (p *pool) meanLatency() latencyEstimate {
	if p == nil || len(p.targets) == 0 {
		return latencyEstimate{base: initialBase, perToken: initialPerToken}
	}
	var sum latencyEstimate
	for _, t := range p.targets {
		sum.base += t.latency.base
		sum.perToken += t.latency.perToken
	}
	n := len(p.targets)
	return latencyEstimate{base: sum.base / time.Duration(n), perToken: sum.perToken / float64(n)}
}
