package scheduler

import "buckthorndrum/identifier"

// maxPrefixes bounds how many prefixes are remembered as held by the target.
const maxPrefixes = 4096

// prefixCache remembers which prompt prefixCache the target is likely to hold: what
// was sent to it, corrected by its cache events, which come late and with gaps.
type prefixCache struct {
	order []identifier.Prefix
	known map[identifier.Prefix]bool
}

func newPrefixCache() *prefixCache { return &prefixCache{known: map[identifier.Prefix]bool{}} }

func (p *prefixCache) contains(h identifier.Prefix) bool { return p.known[h] }

func (p *prefixCache) add(h identifier.Prefix) {
	if h == 0 || p.known[h] {
		return
	}
	p.known[h] = true
	p.order = append(p.order, h)
	if len(p.order) > maxPrefixes {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *prefixCache) remove(h identifier.Prefix) {
	if !p.known[h] {
		return
	}
	delete(p.known, h)
	for i := range p.order {
		if p.order[i] == h {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

// CacheStored notes a cache event: the target holds prefix h.
func (s *Scheduler) CacheStored(h identifier.Prefix) { s.prefixes.add(h) }

// CacheEvicted notes a cache event: the target no longer holds prefix h.
func (s *Scheduler) CacheEvicted(h identifier.Prefix) { s.prefixes.remove(h) }
