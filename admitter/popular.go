package admitter

import (
	"math"
	"slices"
	"time"

	"buckthorndrum/identifier"
)

const (
	// copyLifetime is the time after which a cached prefix is assumed to be displaced, and
	// copyOverhead is the part of the tokens read for a prefix that may be those of the
	// prefix itself. A prefix is cached at as many targets as keep to that.
	copyLifetime = 10 * time.Second
	copyOverhead = 0.07
	// maxCopies is the most targets at which a popular prefix is cached.
	maxCopies = 32
	// popularityWindow is the time constant with which the count of the requests with a
	// prefix decays.
	popularityWindow = 5 * time.Second
	// popularitySlots is the number of prefixes that are counted, a power of two.
	popularitySlots = 1024
)

// popularityCount counts the requests with one prefix.
type popularityCount struct {
	key   prefixKey
	count float64
	at    identifier.Instant
}

// decayed returns the count as of now.
func (c popularityCount) decayed(now identifier.Instant) float64 {
	return c.count * math.Exp(-max(0, now.Sub(c.at).Seconds())/popularityWindow.Seconds())
}

// popularity counts the requests that this router sends, by prefix. Prefixes that have the
// same slot displace each other; one that is requested less than once in popularityWindow
// gives way.
type popularity struct {
	slots [popularitySlots]popularityCount
}

// record counts a request with the prefix of a key.
func (p *popularity) record(now identifier.Instant, key prefixKey) {
	slot := &p.slots[mix(uint64(key))%popularitySlots]
	count := slot.decayed(now)
	if slot.key != key {
		if count >= 1 {
			return
		}
		count = 0
	}
	*slot = popularityCount{key: key, count: count + 1, at: now}
}

// perSecond returns the rate of the requests with the prefix of a key at this router. The
// latest request counts half, since the rate would be too high just after it.
func (p *popularity) perSecond(now identifier.Instant, key prefixKey) float64 {
	slot := &p.slots[mix(uint64(key))%popularitySlots]
	if slot.key != key {
		return 0
	}
	return max(0, slot.decayed(now)-0.5) / popularityWindow.Seconds()
}

// copies returns at how many targets the shared prefix of a request may be cached, given
// the requests of all routers with it (see copyOverhead), at most maxCopies. It is zero unless
// the load is evened out.
func (a *Admitter) copies(now identifier.Instant, p *pool, req Request, keys []prefixKey) int {
	if !a.evenLoad {
		return 0
	}
	unshared := unsharedTokens(req)
	shared := req.PromptTokens - unshared
	if len(keys) < 2 || shared <= 0 {
		return 0
	}
	perSecond := a.popular.perSecond(now, keys[len(keys)-2]) * (1 + p.unreported.ratio)
	n := copyOverhead * copyLifetime.Seconds() * perSecond * float64(unshared) / float64(shared)
	return int(min(n, maxCopies))
}

// spreadCandidates replaces the candidates by maxPreferredTargets random ones of the first
// n targets of the ring that accept work. All of them are assumed to have cached the shared
// prefix of the request, because it is popular.
func (a *Admitter) spreadCandidates(now identifier.Instant, p *pool, req Request, keys []prefixKey, n int) []candidate {
	list := a.ringTargets[:0]
	visits := 0
	p.ring.walk(ringKey(keys, req.Seed), func(t *targetState) bool {
		visits++
		if !slices.Contains(list, t) && eligible(now, t, &req) && p.healthy(now, t) {
			list = append(list, t)
		}
		return len(list) < n && visits < maxRingVisits
	})
	a.ringTargets = list
	if len(list) <= maxPreferredTargets {
		return a.candidates
	}
	a.candidates = a.candidates[:0]
	for i := uint64(0); i < maxPreferredTargets; i++ {
		if t := list[draw(req.Seed, i)%uint64(len(list))]; !a.isCandidate(t) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, 0))
		}
	}
	return a.candidates
}

// draw returns the random number with index i of a request with a seed.
func draw(seed, i uint64) uint64 { return mix(mix(seed) + i) }
