package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// evenRecomputeWeight replaces recomputeWeight if the load is evened out: with 10, long
	// prompts wait too long for their preferred targets, with 3 more is recomputed
	// (docs/design/balancing.md).
	evenRecomputeWeight = 6
	// remoteCost is added to the cost of a target in another data centre than the router,
	// so that of two equal ones the local one is chosen.
	remoteCost = 2 * time.Millisecond
	// maxOverflowDraws is how many targets are drawn to find a random one that accepts work.
	maxOverflowDraws = 8
)

// EvenOutLoad makes the admitter even out the load of engines although the reports of other
// routers are out of date: it adds what they have probably sent since, caches popular
// prefixes at more targets, and sends what fits at no preferred target to a random one.
func (a *Admitter) EvenOutLoad() { a.evenLoad = true }

// recordSending records that a request with a prompt is sent to target t.
func (a *Admitter) recordSending(now identifier.Instant, t *targetState, keys []prefixKey, prefillTokens int) {
	if !a.evenLoad {
		return
	}
	if len(keys) > 1 {
		a.popular.record(now, keys[len(keys)-2])
	}
	t.pool.unreported.record(now, t, prefillTokens)
}

// evenLoadCost returns the cost of a candidate if the load is evened out: the queueing delay
// and the prefill of the request, so that of two idle targets the faster one is cheaper, plus
// the weighted time for recomputing shared prefixes.
func evenLoadCost(c candidate, req Request) time.Duration {
	cost := c.queueDelay + c.prefillTime + evenRecomputeWeight*c.target.prefillTime(c.recomputeTokens)
	if c.target.DataCentre != req.LocalDataCentre {
		cost += remoteCost
	}
	return cost
}

// addRandom adds a random target to the candidates and reports whether it is enough. The
// targets with the shortest queues are the same at all routers until the next reports, which
// would overload these and have shared prefixes recomputed there. They are needed only if no
// random target accepts work, or if so few have a free slot that a random one hardly does.
func (a *Admitter) addRandom(now identifier.Instant, p *pool, req Request, keys []prefixKey) bool {
	before := len(a.candidates)
	for i := uint64(0); i < maxOverflowDraws && len(a.candidates) == before; i++ {
		a.addCandidate(now, p, p.targets[draw(req.Seed, maxPreferredTargets+i)%uint64(len(p.targets))], req, keys)
	}
	return len(a.candidates) > before && len(p.shortestQueues) >= maxShortestQueues
}
