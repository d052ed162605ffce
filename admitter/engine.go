package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// recomputeWeight is the weight in the cost of the time in which shared prefixes are
	// recomputed. It is more than that of the wait itself, since that time is taken from
	// all requests. With 10, long prompts waited too long for their preferred targets, with 3
	// more was recomputed (docs/design/balancing.md).
	recomputeWeight = 6
	// remoteCost is added to the cost of a target in another data centre than the router,
	// so that of two equal ones the local one is chosen.
	remoteCost = 2 * time.Millisecond
	// longPrefillQueuePercent is the percentage of MaxWait that the queueing delay of a
	// request with a long prefill may take.
	longPrefillQueuePercent = 40
	// spareQueuePercent is the mean queueing delay, as a percentage of MaxWait, up to
	// which a pool counts as having spare capacity.
	spareQueuePercent = 10
	// maxPreferredTargets is how many targets requests with the same prefix are sent to
	// at first, unless the prefix is popular (see copies). maxRingCandidates is how many
	// targets of the ring are evaluated before a random one.
	maxPreferredTargets = 3
	maxRingCandidates   = 8
	// maxOverflowDraws is how many targets are drawn to find a random one that accepts work.
	maxOverflowDraws = 8
	// maxRingVisits limits the points of the ring that are visited to find them.
	maxRingVisits = 256
	// maxMemoryUse is the fraction of the memory of a target that running requests may
	// fill. The rest is for shared prefixes.
	maxMemoryUse = 0.8
)

// candidate is a target with the conditions that the request would meet there.
type candidate struct {
	target *targetState
	load   Load
	// prefillTokens is the number of prompt tokens that the target would prefill.
	prefillTokens int
	// recomputeTokens is how many of these belong to a shared prefix and have been
	// prefilled at other targets before.
	recomputeTokens int
	// queueDelay is the time in which the tokens of other requests are prefilled,
	// prefillTime that for the tokens of this one, and wait its expected time to the
	// first token. cost is what cheapest compares.
	queueDelay  time.Duration
	prefillTime time.Duration
	wait        time.Duration
	cost        time.Duration
}

// chooseEngine chooses the target of a pool of model engines at which the request has the
// lowest cost, which consists of the queueing delay, the prefill of the request, and the
// shared prefixes that would have to be recomputed. Other targets than the preferred ones are
// considered only if none of these has room and the workspace is within its share. A
// workspace beyond its share has shared prefixes recomputed only while the pool has spare
// capacity.
func (a *Admitter) chooseEngine(now identifier.Instant, p *pool, req Request) Choice {
	keys := prefixKeys(req.Model, req.Segments)
	candidates := a.ringCandidates(now, p, req, keys)
	if len(candidates) == 0 {
		return Choice{Refused: NoTarget}
	}
	if n := a.copies(now, p, req, keys); n > maxPreferredTargets {
		candidates = a.spreadCandidates(now, p, req, keys, n)
	}
	preferred := min(len(candidates), maxPreferredTargets)
	spareCapacity := req.WithinShare || p.meanQueueDelay <= spareQueuePercent*req.MaxWait/100
	best := cheapest(candidates[:preferred], req, spareCapacity)
	if best == nil && req.WithinShare {
		best = cheapest(a.addOverflow(now, p, req, keys)[preferred:], req, spareCapacity)
	}
	if best == nil {
		return Choice{Refused: TargetsBusy, Wait: a.shortestWait(p)}
	}
	return Choice{Target: best.target.ID, Wait: best.wait, PrefillTokens: best.prefillTokens}
}

// ringCandidates evaluates the targets that come first on the ring after the hash of the
// shared prefix, so that all routers send requests with the same prefix to the same
// targets. Targets that are not healthy are skipped unless there are no others.
func (a *Admitter) ringCandidates(now identifier.Instant, p *pool, req Request, keys []prefixKey) []candidate {
	a.candidates = a.candidates[:0]
	visits := 0
	p.ring.walk(ringKey(keys, req.Seed), func(t *targetState) bool {
		visits++
		a.addCandidate(now, p, t, req, keys)
		return len(a.candidates) < maxRingCandidates && visits < maxRingVisits
	})
	if len(a.candidates) == 0 {
		for _, t := range p.eligibleTargets(now, req.Exclude) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, len(a.candidates)))
		}
	}
	return a.candidates
}

// ringKey returns the position on the ring at which the search for candidates begins: a
// hash of the shared prefix, or of the seed if there is no shared prefix.
func ringKey(keys []prefixKey, seed uint64) uint64 {
	if n := len(keys); n > 1 {
		seed = uint64(keys[n-2])
	}
	return mix(seed)
}

// isCandidate reports whether target t is among the candidates.
func (a *Admitter) isCandidate(t *targetState) bool {
	for i := range a.candidates {
		if a.candidates[i].target == t {
			return true
		}
	}
	return false
}

// addOverflow adds a random target to the candidates and returns all of them. The targets
// with the shortest queues are the same at all routers until the next reports, which would
// overload these and have shared prefixes recomputed there. They are added only if no random
// target accepts work, or if so few have a free slot that a random one hardly does.
func (a *Admitter) addOverflow(now identifier.Instant, p *pool, req Request, keys []prefixKey) []candidate {
	before := len(a.candidates)
	for i := uint64(0); i < maxOverflowDraws && len(a.candidates) == before; i++ {
		a.addCandidate(now, p, p.targets[draw(req.Seed, maxPreferredTargets+i)%uint64(len(p.targets))], req, keys)
	}
	if len(a.candidates) == before || len(p.shortestQueues) < maxShortestQueues {
		for _, t := range p.shortestQueues {
			a.addCandidate(now, p, t, req, keys)
		}
	}
	return a.candidates
}

// addCandidate adds target t to the candidates if it accepts work, is healthy and is not
// among them.
func (a *Admitter) addCandidate(now identifier.Instant, p *pool, t *targetState, req Request, keys []prefixKey) {
	if !a.isCandidate(t) && eligible(now, t, req.Exclude) && p.healthy(now, t) {
		a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, len(a.candidates)))
	}
}

// shortestWait returns the shortest known time to the first token of the request. For the
// pool it adds the prefill time at the first candidate to the shortest wait: that
// candidate is the preferred target, where only the unshared tokens of the request are
// prefilled.
func (a *Admitter) shortestWait(p *pool) time.Duration {
	shortest := p.minWait + a.candidates[0].prefillTime
	for i := range a.candidates {
		if w := a.candidates[i].wait; p.minWait < 0 || w < shortest {
			shortest = w
		}
	}
	return shortest
}

// cheapest returns the candidate of lowest cost that the request fits, or nil. Without
// spare capacity it considers only those at which no shared prefix has to be recomputed.
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

// evaluate estimates the wait and the cost of the request at target t, which becomes the
// candidate at index rank. The load includes what peers have probably sent since their
// reports. The cost is the queueing delay and the prefill of the request, so that of two idle
// targets the faster one is cheaper, plus the weighted time for recomputing shared prefixes.
func (a *Admitter) evaluate(now identifier.Instant, t *targetState, req Request, keys []prefixKey, rank int) candidate {
	c := candidate{target: t, load: t.totalLoad()}
	if t.pool != nil {
		c.load.PrefillTokens += t.pool.unreported.at(t)
	}
	unshared := unsharedTokens(req)
	c.prefillTokens = t.prefixes.uncachedTokens(now, req.Segments, keys, req.PromptTokens)
	if rank == 0 {
		// The peers send requests with this prefix there too, so that the target has
		// cached it or soon will.
		c.prefillTokens = unshared
	}
	c.recomputeTokens = c.prefillTokens - unshared
	c.queueDelay = t.latency.prefillTime(c.load.PrefillTokens)
	c.prefillTime = t.latency.prefillTime(c.prefillTokens)
	c.wait = t.latency.base + c.queueDelay + c.prefillTime
	c.cost = c.queueDelay + c.prefillTime + recomputeWeight*t.latency.prefillTime(c.recomputeTokens)
	if t.DataCentre != req.LocalDataCentre {
		c.cost += remoteCost
	}
	return c
}

// unsharedTokens returns the number of prompt tokens that no other request shares, at
// least 1.
func unsharedTokens(req Request) int {
	unshared := req.PromptTokens
	for i, p := range req.Segments {
		if i < len(req.Segments)-1 {
			unshared -= p.Tokens
		}
	}
	return max(unshared, 1)
}

// fits reports whether the request may be sent to the candidate. A slot must be free, the
// memory must suffice, and the wait must not exceed MaxWait. An empty queue is always
// short enough; for a request whose prefill takes more than half of MaxWait the queueing
// delay alone decides.
func fits(c candidate, req Request) bool {
	if c.load.Running >= c.target.Slots && c.target.Slots > 0 {
		return false
	}
	if req.TargetMemory > 0 && c.load.MemoryTokens > 0 && c.load.MemoryTokens+req.PromptTokens+req.MaxOutputTokens > int(maxMemoryUse*float64(req.TargetMemory)) {
		return false
	}
	if c.prefillTime > req.MaxWait/2 {
		// A long prefill delays all other requests, and its own first token is late or
		// nearly so at any target.
		return c.queueDelay <= longPrefillQueuePercent*req.MaxWait/100
	}
	return c.load.PrefillTokens == 0 || c.wait <= req.MaxWait
}
