package scheduler

import "buckthorndrum/identifier"

// maxPrefixes bounds the number of prefixes that are remembered as cached by the
// target.
const maxPrefixes = 4096

// prefixCache remembers which prompt prefixes the target has probably cached: those
// sent to it, corrected by its cache events, which are late and incomplete. When it is
// full, the prefix added first is dropped.
type prefixCache struct {
	order []identifier.Prefix
	known map[identifier.Prefix]bool
}

func newPrefixCache() *prefixCache { return &prefixCache{known: map[identifier.Prefix]bool{}} }

func (p *prefixCache) contains(h identifier.Prefix) bool { return p.known[h] }

// add remembers prefix h, unless it is zero.
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

// CacheStored records a cache event: the target has cached prefix h.
func (s *Scheduler) CacheStored(h identifier.Prefix) { s.prefixes.add(h) }

// CacheEvicted records a cache event: the target no longer has prefix h cached.
func (s *Scheduler) CacheEvicted(h identifier.Prefix) { s.prefixes.remove(h) }
