package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// recomputeWeight is how much the time in which shared parts are read again
	// counts beyond the wait itself, since it is taken from all requests.
	recomputeWeight = 10
	// typicalPrefill is the tokens from which on a request delays those behind it
	// more than it is delayed itself.
	typicalPrefill = 2000
	// longPrefillQueuePercent is the part of the limit, in percent, that may be ahead of a
	// request that takes long to read.
	longPrefillQueuePercent = 40
	// spareQueuePercent is the part of the limit, in percent, up to which the targets of
	// a pool may be busy on the average to count as having spare capacity.
	spareQueuePercent = 10
	// maxPreferredTargets is how many targets requests that share a part go to at first, and
	// maxHomes how many are weighed before the least loaded ones.
	maxPreferredTargets = 3
	maxRingCandidates   = 8
	// maxRingVisits bounds the points of the ring that are looked at for them.
	maxRingVisits = 256
	// maxMemoryUse is the part of a target's memory that running requests may
	// come to fill. The rest is for shared parts.
	maxMemoryUse = 0.8
)

// candidate is a target with what the request would meet there.
type candidate struct {
	target        *targetState
	load          Load
	prefillTokens int
	// recomputeTokens is how many of these are shared and read elsewhere before.
	recomputeTokens int
	// queueDelay is the time in which others' tokens are read, own its own, and wait
	// the time to its first token.
	queueDelay  time.Duration
	prefillTime time.Duration
	wait        time.Duration
	cost        time.Duration
}

// chooseEngine picks the target of a model chooseEngine's pool at which the request costs
// least: its wait there, and the shared parts that would have to be read again.
// It goes beyond its first homes only if none of them has room.
func (a *Admitter) chooseEngine(now identifier.Instant, p *pool, req Request) Choice {
	keys := prefixKeys(req.Model, req.Segments)
	candidates := a.ringCandidates(now, p, req, keys)
	if len(candidates) == 0 {
		return Choice{Refused: NoTarget}
	}
	preferred := min(len(candidates), maxPreferredTargets)
	spareCapacity := req.WithinShare || p.meanQueueDelay <= spareQueuePercent*req.MaxWait/100
	best := cheapest(candidates[:preferred], req, spareCapacity)
	if best == nil && req.WithinShare {
		best = cheapest(a.addShortestQueues(now, p, req, keys)[preferred:], req, spareCapacity)
	}
	if best == nil {
		return Choice{Refused: TargetsBusy, Wait: a.shortestWait(p)}
	}
	return Choice{Target: best.target.ID, Wait: best.wait, PrefillTokens: best.prefillTokens}
}

// ringCandidates weighs the targets that come first on the ring after the last shared part,
// so that all routers send requests that share it to the same ones. Targets that
// fail are passed over unless there are no others.
func (a *Admitter) ringCandidates(now identifier.Instant, p *pool, req Request, keys []prefixKey) []candidate {
	a.candidates = a.candidates[:0]
	visits := 0
	p.ring.walk(ringKey(keys, req.Seed), func(t *targetState) bool {
		visits++
		if !a.isCandidate(t) && eligible(now, t, req.Exclude) && p.healthy(now, t) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, len(a.candidates)))
		}
		return len(a.candidates) < maxRingCandidates && visits < maxRingVisits
	})
	if len(a.candidates) == 0 {
		for _, t := range p.eligibleTargets(now, req.Exclude) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, len(a.candidates)))
		}
	}
	return a.candidates
}

// ringKey returns where on the ring the homes of a request begin.
func ringKey(keys []prefixKey, seed uint64) uint64 {
	if n := len(keys); n > 1 {
		seed = uint64(keys[n-2])
	}
	return mix(seed)
}

// isCandidate tells whether target t is among the options.
func (a *Admitter) isCandidate(t *targetState) bool {
	for i := range a.candidates {
		if a.candidates[i].target == t {
			return true
		}
	}
	return false
}

// addShortestQueues adds the targets of the pool that have least ahead to the options, and
// returns all.
func (a *Admitter) addShortestQueues(now identifier.Instant, p *pool, req Request, keys []prefixKey) []candidate {
	for _, t := range p.shortestQueues {
		if !a.isCandidate(t) && eligible(now, t, req.Exclude) && p.healthy(now, t) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, len(a.candidates)))
		}
	}
	return a.candidates
}

// shortestWait returns the least time to the request's first token that is known. The
// first of the options is its home, where it only reads its own tokens.
func (a *Admitter) shortestWait(p *pool) time.Duration {
	shortest := p.minWait + a.candidates[0].prefillTime
	for i := range a.candidates {
		if w := a.candidates[i].wait; p.minWait < 0 || w < shortest {
			shortest = w
		}
	}
	return shortest
}

// cheapest returns the option of least cost that has room, or nil. Without spare
// capacity only those count that hold the shared parts.
func cheapest(candidates []candidate, req Request, spareCapacity bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if !fits(*c, req) || (!spareCapacity && c.recomputeTokens > 0) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// evaluate works out what the request would meet at target t, its rank-th home.
func (a *Admitter) evaluate(now identifier.Instant, t *targetState, req Request, keys []prefixKey, rank int) candidate {
	c := candidate{target: t, load: t.totalLoad()}
	unshared := unsharedTokens(req)
	c.prefillTokens = t.prefixes.uncachedTokens(now, req.Segments, keys, req.PromptTokens)
	if rank == 0 {
		// The peers send there too, so that it holds the parts or soon will.
		c.prefillTokens = unshared
	}
	c.recomputeTokens = c.prefillTokens - unshared
	c.queueDelay = t.latency.prefillTime(c.load.PrefillTokens)
	c.prefillTime = t.latency.prefillTime(c.prefillTokens)
	c.wait = t.latency.base + c.queueDelay + c.prefillTime
	c.cost = c.queueDelay + time.Duration(float64(c.queueDelay)*float64(c.prefillTokens)/typicalPrefill) + recomputeWeight*t.latency.prefillTime(c.recomputeTokens)
	return c
}

// unsharedTokens returns the tokens of a prompt that no other request shares.
func unsharedTokens(req Request) int {
	unshared := req.PromptTokens
	for i, p := range req.Segments {
		if i < len(req.Segments)-1 {
			unshared -= p.Tokens
		}
	}
	return max(unshared, 1)
}

// fits tells whether the request may be sent there.
func fits(c candidate, req Request) bool {
	if c.load.Running >= c.target.Slots && c.target.Slots > 0 {
		return false
	}
	if req.TargetMemory > 0 && c.load.MemoryTokens > 0 && c.load.MemoryTokens+req.PromptTokens+req.MaxOutputTokens > int(maxMemoryUse*float64(req.TargetMemory)) {
		return false
	}
	if c.prefillTime > req.MaxWait/2 {
		// It delays all others, and is late or nearly so wherever it goes.
		return c.queueDelay <= longPrefillQueuePercent*req.MaxWait/100
	}
	return c.load.PrefillTokens == 0 || c.wait <= req.MaxWait
}
