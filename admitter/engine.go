package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// recomputeWeight is the weight in the cost of the time in which shared prefixes are
	// recomputed. It is more than that of the wait itself, since that time is taken from
	// all requests.
	recomputeWeight = 10
	// typicalPrefill is the number of tokens to prefill from which on a request delays
	// those behind it more than it is delayed itself.
	typicalPrefill = 2000
	// longPrefillQueuePercent is the percentage of MaxWait that the queueing delay of a
	// request with a long prefill may take.
	longPrefillQueuePercent = 40
	// spareQueuePercent is the mean queueing delay, as a percentage of MaxWait, up to
	// which a pool counts as having spare capacity.
	spareQueuePercent = 10
	// maxPreferredTargets is how many targets requests with the same prefix are sent to
	// at first, unless the prefix is popular (see copies). maxRingCandidates is how many
	// targets of the ring are evaluated before those with the shortest queues.
	maxPreferredTargets = 3
	maxRingCandidates   = 8
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
// lowest cost, which consists of the queueing delay and the shared prefixes that would
// have to be recomputed. Other targets than the preferred ones are considered only if
// none of these has room and the workspace is within its share. A workspace beyond its
// share has shared prefixes recomputed only while the pool has spare capacity. A candidate
// that warms up, for which this router has a permit, precedes all others. If the
// load is evened out, popular prefixes are cached at more targets (see copies), and requests
// that fit at no preferred target go to a random one.
func (a *Admitter) chooseEngine(now identifier.Instant, p *pool, req Request) Choice {
	keys := prefixKeys(req.Model, req.Segments)
	candidates := a.ringCandidates(now, p, req, keys)
	if len(candidates) == 0 {
		return Choice{Refused: NoTarget}
	}
	if cold := firstWarmingUp(now, candidates, req); cold != nil {
		return Choice{Target: cold.target.ID, Wait: cold.wait, PrefillTokens: cold.prefillTokens}
	}
	if n := a.copies(now, p, req, keys); n > maxPreferredTargets {
		candidates = a.spreadCandidates(now, p, req, keys, n)
	}
	preferred := min(len(candidates), maxPreferredTargets)
	spareCapacity := req.WithinShare || p.meanQueueDelay <= spareQueuePercent*req.MaxWait/100
	best := p.cheapest(candidates[:preferred], req, spareCapacity)
	if best == nil && req.WithinShare {
		best = p.cheapest(a.addOverflow(now, p, req, keys)[preferred:], req, spareCapacity)
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
		for _, t := range p.eligibleAmong(now, p.scanned(&req), &req) {
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

// addOverflow adds the targets of the pool with the shortest queues to the candidates, or a
// random one if the load is evened out, and returns all of them.
func (a *Admitter) addOverflow(now identifier.Instant, p *pool, req Request, keys []prefixKey) []candidate {
	if a.evenLoad && a.addRandom(now, p, req, keys) {
		return a.candidates
	}
	for _, t := range p.shortestQueues {
		a.addCandidate(now, p, t, req, keys)
	}
	return a.candidates
}

// addCandidate adds target t to the candidates if it accepts work, is healthy and is not
// among them.
func (a *Admitter) addCandidate(now identifier.Instant, p *pool, t *targetState, req Request, keys []prefixKey) {
	if !a.isCandidate(t) && eligible(now, t, &req) && p.healthy(now, t) {
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
func (p *pool) cheapest(candidates []candidate, req Request, spareCapacity bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if !fits(*c, req) || !p.keepsGap(*c, req) || (!spareCapacity && c.recomputeTokens > 0) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// evaluate estimates the wait and the cost of the request at target t, which becomes the
// candidate at index rank. If the load is evened out, the load of the target includes what
// peers have probably sent since their reports.
func (a *Admitter) evaluate(now identifier.Instant, t *targetState, req Request, keys []prefixKey, rank int) candidate {
	c := candidate{target: t, load: t.totalLoad()}
	if a.evenLoad {
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
	c.queueDelay = t.prefillTime(c.load.PrefillTokens)
	c.prefillTime = t.prefillTime(c.prefillTokens)
	c.wait = t.latency.base + c.queueDelay + c.prefillTime
	c.cost = a.cost(c, req)
	return c
}

// cost returns the cost of a candidate: the queueing delay, increased in proportion to the
// prefill of the request (see typicalPrefill), plus the weighted time for recomputing shared
// prefixes. ownPrefillCost is added where targets differ in speed.
func (a *Admitter) cost(c candidate, req Request) time.Duration {
	if a.evenLoad {
		return evenLoadCost(c, req)
	}
	return c.queueDelay + time.Duration(float64(c.queueDelay)*float64(c.prefillTokens)/typicalPrefill) +
		recomputeWeight*c.target.prefillTime(c.recomputeTokens) + ownPrefillCost(c)
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
