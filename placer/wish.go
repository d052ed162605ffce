package placer

import (
	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// wish returns the model that there is a reason to load, empty for none, and
// how many other targets are to act on that reason before this one.
func (p *Placer) wish(now identifier.Instant) (identifier.Model, int) {
	if p.loaded.Loading {
		return "", 0 // Somebody has given an order; see what comes of it.
	}
	v := p.view(now)
	if m := p.lacking(v); m != "" && p.mayLeave() {
		return m, p.position(m, p.goers())
	}
	if !p.cfg.uses(p.loaded.Model) {
		return p.neediest(v), 0
	}
	if !p.mayLeave() || (p.settled != 0 && now.Sub(p.settled) < residence) {
		return "", 0
	}
	m := p.worthier(v)
	return m, p.position(m, p.colleagues())
}

// outranks tells whether target a stands before b for model m. All agents agree
// on it.
func outranks(m identifier.Model, a, b identifier.Target) bool {
	x := xxhash.Sum64String(string(m) + "|" + string(a))
	y := xxhash.Sum64String(string(m) + "|" + string(b))
	if x != y {
		return x < y
	}
	return a < b
}

// mayLeave tells whether enough targets that outrank this one serve its model.
// The highest ranked ones therefore never leave it, whatever each knows of the
// others.
func (p *Placer) mayLeave() bool { return p.canLeave(p.cfg.Self, p.loaded.Model) }

// canLeave tells the same of target t with model m.
func (p *Placer) canLeave(t identifier.Target, m identifier.Model) bool {
	if !p.cfg.uses(m) {
		return true
	}
	n := 0
	for u, q := range p.peers {
		if u != t && q.report.Ready && q.report.Next == "" && q.report.Model == m && outranks(m, u, t) {
			n++
		}
	}
	if t != p.cfg.Self && p.serving() && p.loaded.Model == m && outranks(m, p.cfg.Self, t) {
		n++
	}
	return n >= p.cfg.MinTargets
}

// lacking returns the model that lacks targets, the one for which this target
// ranks highest if there are several.
func (p *Placer) lacking(v view) identifier.Model {
	var best identifier.Model
	for _, m := range p.cfg.models() {
		if v.supply[m] >= p.cfg.MinTargets || m == p.loaded.Model {
			continue
		}
		if best == "" || v.supply[m] < v.supply[best] {
			best = m
		}
	}
	return best
}

// neediest returns the model that would gain most by this target, which serves
// none.
func (p *Placer) neediest(v view) identifier.Model {
	need := p.need(v)
	var best identifier.Model
	most := -1.0
	for _, m := range p.cfg.models() {
		worth := max(need[m], p.cfg.share(m)*v.targets) / float64(v.supply[m]+1)
		if worth > most {
			best, most = m, worth
		}
	}
	return best
}

// worthier returns the model whose waiting work is entitled to this target by a
// clear margin over the present model, or none.
func (p *Placer) worthier(v view) identifier.Model {
	need := p.need(v)
	waits := p.waitingModels(v)
	own := p.loaded.Model
	if v.supply[own] < 2 {
		return ""
	}
	var best identifier.Model
	most := gain * need[own] / float64(v.supply[own]-1)
	for _, m := range p.cfg.models() {
		worth := need[m] / float64(v.supply[m]+1)
		if m != own && waits[m] && worth > most {
			best, most = m, worth
		}
	}
	return best
}

// goers returns the known targets that can leave their models.
func (p *Placer) goers() []identifier.Target {
	var ts []identifier.Target
	for t, q := range p.peers {
		if q.report.Next == "" && p.canLeave(t, q.report.Model) {
			ts = append(ts, t)
		}
	}
	return ts
}

// colleagues returns the goers that serve the present model.
func (p *Placer) colleagues() []identifier.Target {
	var ts []identifier.Target
	for _, t := range p.goers() {
		if p.peers[t].report.Model == p.loaded.Model {
			ts = append(ts, t)
		}
	}
	return ts
}

// position returns how many of the others stand before this target for model m.
func (p *Placer) position(m identifier.Model, others []identifier.Target) int {
	n := 0
	for _, t := range others {
		if outranks(m, t, p.cfg.Self) {
			n++
		}
	}
	return n
}
