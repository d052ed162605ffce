package placer

import (
	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// chooseModel returns the model that there is a reason to load, empty for none, and
// how many other targets are to act on that reason before this one.
func (p *Placer) chooseModel(now identifier.Instant) (identifier.Model, int) {
	if p.engine.Loading {
		return "", 0 // Somebody has given an order; see what comes of it.
	}
	v := p.poolView(now)
	if m := p.understaffedModel(v); m != "" && p.mayLeave() {
		return m, p.countOutranking(m, p.movableTargets())
	}
	if !p.cfg.needsModel(p.engine.Model) {
		return p.modelForUnassigned(v), 0
	}
	if !p.mayLeave() || (p.modelReadyAt != 0 && now.Sub(p.modelReadyAt) < switchCooldown) {
		return "", 0
	}
	m := p.betterModel(v)
	return m, p.countOutranking(m, p.movableSameModel())
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
func (p *Placer) mayLeave() bool { return p.targetMayLeave(p.cfg.Self, p.engine.Model) }

// targetMayLeave tells the same of target t with model m.
func (p *Placer) targetMayLeave(t identifier.Target, m identifier.Model) bool {
	if !p.cfg.needsModel(m) {
		return true
	}
	n := 0
	for u, q := range p.peers {
		if u != t && q.report.Ready && q.report.Next == "" && q.report.Model == m && outranks(m, u, t) {
			n++
		}
	}
	if t != p.cfg.Self && p.serving() && p.engine.Model == m && outranks(m, p.cfg.Self, t) {
		n++
	}
	return n >= p.cfg.MinTargets
}

// understaffedModel returns the model that lacks targets, the one for which this target
// ranks highest if there are several.
func (p *Placer) understaffedModel(v poolView) identifier.Model {
	var best identifier.Model
	for _, m := range p.cfg.models() {
		if v.supply[m] >= p.cfg.MinTargets || m == p.engine.Model {
			continue
		}
		if best == "" || v.supply[m] < v.supply[best] {
			best = m
		}
	}
	return best
}

// modelForUnassigned returns the model that would gain most by this target, which serves
// none.
func (p *Placer) modelForUnassigned(v poolView) identifier.Model {
	entitled := p.entitlements(v)
	var best identifier.Model
	highest := -1.0
	for _, m := range p.cfg.models() {
		worth := max(entitled[m], p.cfg.guaranteedShare(m)*v.targets) / float64(v.supply[m]+1)
		if worth > highest {
			best, highest = m, worth
		}
	}
	return best
}

// betterModel returns the model whose waiting work is entitled to this target by a
// clear margin over the present model, or none.
func (p *Placer) betterModel(v poolView) identifier.Model {
	entitled := p.entitlements(v)
	hasWaiting := p.waitingModels(v)
	current := p.engine.Model
	if v.supply[current] < 2 {
		return ""
	}
	var best identifier.Model
	highest := minGain * entitled[current] / float64(v.supply[current]-1)
	for _, m := range p.cfg.models() {
		worth := entitled[m] / float64(v.supply[m]+1)
		if m != current && hasWaiting[m] && worth > highest {
			best, highest = m, worth
		}
	}
	return best
}

// movableTargets returns the known targets that can leave their models.
func (p *Placer) movableTargets() []identifier.Target {
	var ts []identifier.Target
	for t, q := range p.peers {
		if q.report.Next == "" && p.targetMayLeave(t, q.report.Model) {
			ts = append(ts, t)
		}
	}
	return ts
}

// movableSameModel returns the goers that serve the present model.
func (p *Placer) movableSameModel() []identifier.Target {
	var ts []identifier.Target
	for _, t := range p.movableTargets() {
		if p.peers[t].report.Model == p.engine.Model {
			ts = append(ts, t)
		}
	}
	return ts
}

// countOutranking returns how many of the others stand before this target for model m.
func (p *Placer) countOutranking(m identifier.Model, others []identifier.Target) int {
	n := 0
	for _, t := range others {
		if outranks(m, t, p.cfg.Self) {
			n++
		}
	}
	return n
}
