package admitter

import (
	"slices"
	"time"

	"buckthorndrum/identifier"
)

// summaryTTL is how long the summary of a pool is used before it is computed again.
const summaryTTL = 50 * time.Millisecond

// pool holds the targets of one pool, which can replace each other, and a summary of
// their state.
type pool struct {
	// targets holds all targets, including those that leave.
	targets []*targetState
	// mixed is set if the targets have several versions of software.
	mixed bool
	// ring is the hash ring of the targets that are neither listed as leaving nor evacuated.
	ring ring
	// pace is the slowest pace that the targets have reported of late.
	pace paceWindow
	// summarisedAt is when the fields below were computed, zero if they are out of date.
	summarisedAt identifier.Instant
	// The summary covers the targets that accept work. minFailureRate is their lowest
	// failure rate, meanQueueDelay their mean queueing delay, and minWait the shortest
	// time to a first token without the prefill of the request itself, negative if no
	// target accepts work.
	minFailureRate float64
	meanQueueDelay time.Duration
	minWait        time.Duration
	// fastest is the target with the lowest slowdown, nil if no target accepts work.
	fastest *targetState
	// maxQueueDelay is the longest queueing delay.
	maxQueueDelay time.Duration
	// unreported estimates the load that peers have added since their reports.
	unreported unreportedLoad
	// shortestQueues holds the targets with a free slot and the shortest queueing delay,
	// in ascending order, at most maxShortestQueues.
	shortestQueues []*targetState
	// open holds targets of a pool of more than maxScanned that accept work, or will before
	// the summary is out of date, at most maxScanned.
	open []*targetState
	// refused is the refusal of unrestricted requests as of refusedAt, in a pool of more than
	// maxScanned targets. refusedAt is zero if it is not known.
	refused   Choice
	refusedAt identifier.Instant
}

// maxScanned is the most targets that a choice visits one by one. In a larger pool it relies
// on the summary.
const maxScanned = 64

// maxShortestQueues is the most targets that a summary lists in shortestQueues.
const maxShortestQueues = 8

// summarise computes the summary if it is out of date, so that a choice does not visit
// every target. processes is the number of routers, including this one.
func (p *pool) summarise(now identifier.Instant, processes int) {
	if p.summarisedAt != 0 && now >= p.summarisedAt && now.Sub(p.summarisedAt) < summaryTTL {
		return
	}
	p.summarisedAt, p.refusedAt = now, 0
	p.pace.advance(now)
	p.compareSpeeds()
	p.fastest, p.open = nil, p.open[:0]
	p.minFailureRate, p.minWait, p.maxQueueDelay = 1, -1, 0
	p.shortestQueues = p.shortestQueues[:0]
	var sum time.Duration
	n, ownRunning, peerRunning := 0, 0, 0
	for _, t := range p.targets {
		ownRunning, peerRunning = ownRunning+t.ownLoad.Running, peerRunning+t.peerLoad.Running
		d := t.admissionDecision(now)
		if len(p.targets) > maxScanned && len(p.open) < maxScanned && (d.Open() || d.Until != 0 && d.Until.Sub(now) < summaryTTL) {
			p.open = append(p.open, t)
		}
		if !d.Open() {
			continue
		}
		n++
		p.minFailureRate = min(p.minFailureRate, t.failureRate)
		if p.fastest == nil || t.relativeTime() < p.fastest.relativeTime() {
			p.fastest = t
		}
		t.queueDelay = t.prefillTime(t.totalLoad().PrefillTokens)
		sum += t.queueDelay
		p.maxQueueDelay = max(p.maxQueueDelay, t.queueDelay)
		if wait := t.latency.base + t.queueDelay; p.minWait < 0 || wait < p.minWait {
			p.minWait = wait
		}
		p.insertShortestQueue(t)
	}
	p.meanQueueDelay = sum / time.Duration(max(1, n))
	p.unreported.update(ownRunning, peerRunning, processes, n)
}

// insertShortestQueue inserts target t into shortestQueues, in order, if it has a free
// slot and is one of those with the shortest queues.
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

// permits reports whether the region and the software of target t are among those that the
// request may go to.
func (r *Request) permits(t *targetState) bool {
	return r.AllowedRegions.Allows(t.Region) && (!r.Pinned || t.Software == r.Software)
}

// restricts reports whether a request may not go to all targets of the pool.
func (p *pool) restricts(req *Request) bool {
	return req.AllowedRegions != nil || p.lacksSoftware(req)
}

// refusalOfChoice returns the refusal of a request that found no target in the pool. If it is
// pinned, those that accept work may have been excluded or have other software.
func (p *pool) refusalOfChoice(now identifier.Instant, req *Request) Choice {
	c := p.refusal(now, req)
	if c.Refused == NoTarget && p.lacksSoftware(req) {
		c.Refused = SoftwareUnavailable
	}
	return c
}

// lacksSoftware reports whether a request is pinned to other software than that of all targets.
func (p *pool) lacksSoftware(req *Request) bool {
	return req.Pinned && (p.mixed || len(p.targets) > 0 && p.targets[0].Software != req.Software)
}

// eligible reports whether target t accepts work, is permitted for the request, and is not
// excluded.
func eligible(now identifier.Instant, t *targetState, req *Request) bool {
	return req.permits(t) && t.acceptsWork(now) && !slices.Contains(req.Exclude, t.ID)
}

// healthy reports whether target t is as good as the others. No peer may have reported
// that it leaves. Its failure rate must be at most failureMargin above the lowest one,
// unless its last request is more than probeInterval ago.
func (p *pool) healthy(now identifier.Instant, t *targetState) bool {
	if t.admission.PeerReportsLeaving(now) {
		return false
	}
	return t.failureRate <= p.minFailureRate+failureMargin || now.Sub(t.lastAttempt) > probeInterval
}

// eligibleTargets returns the eligible targets that are healthy, or all eligible ones if
// none is healthy.
func (p *pool) eligibleTargets(now identifier.Instant, req *Request) []*targetState {
	return p.eligibleAmong(now, p.targets, req)
}

// scanned returns the targets among which a request looks for one if none of those that it
// prefers is eligible: all of a small pool, and those of the summary of a large one. A
// request with a restriction needs all, as the summary need not hold one that it may go to.
func (p *pool) scanned(req *Request) []*targetState {
	if len(p.targets) <= maxScanned || p.restricts(req) {
		return p.targets
	}
	return p.open
}

// eligibleAmong returns what eligibleTargets does of a list of targets of the pool.
func (p *pool) eligibleAmong(now identifier.Instant, list []*targetState, req *Request) []*targetState {
	var all, healthy []*targetState
	for _, t := range list {
		if !eligible(now, t, req) {
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

// meanLatency returns the mean latency estimate of the targets, or the initial one if
// there are none.
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
