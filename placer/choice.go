package placer

import (
	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// chooseModel returns the model that there is a reason to load, empty for none,
// and the number of other targets that are to act on that reason before this
// one.
func (p *Placer) chooseModel(now identifier.Instant) (identifier.Model, int) {
	if p.engine.Loading {
		return "", 0 // The engine is carrying out an order; wait for its result.
	}
	v := p.poolView(now)
	if m := p.modelBelowMinimum(v); m != "" && p.mayLeave() {
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

// outranks reports whether target a ranks before b for model m. The result is
// the same at all agents.
func outranks(m identifier.Model, a, b identifier.Target) bool {
	x := xxhash.Sum64String(string(m) + "|" + string(a))
	y := xxhash.Sum64String(string(m) + "|" + string(b))
	if x != y {
		return x < y
	}
	return a < b
}

// mayLeave reports whether enough targets that outrank this one serve its model.
// The highest-ranked targets therefore never leave the model, however incomplete
// an agent's knowledge of the others is.
func (p *Placer) mayLeave() bool { return p.targetMayLeave(p.cfg.Self, p.engine.Model) }

// targetMayLeave reports whether at least MinTargets targets that outrank target
// t serve model m, or no kind needs m.
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

// modelBelowMinimum returns the model, other than the loaded one, with the
// fewest targets of those below MinTargets, the first by name if there are
// several. It returns an empty string if there is none.
func (p *Placer) modelBelowMinimum(v poolView) identifier.Model {
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

// modelForUnassigned returns the model for this target while its loaded model is
// needed by no kind: the one with the highest entitlement per target once this
// target is added. The entitlement counts as at least the guaranteed share.
func (p *Placer) modelForUnassigned(v poolView) identifier.Model {
	entitled := p.entitlements(v)
	var best identifier.Model
	highest := -1.0
	for _, m := range p.cfg.models() {
		perTarget := max(entitled[m], p.cfg.guaranteedShare(m)*v.targets) / float64(v.supply[m]+1)
		if perTarget > highest {
			best, highest = m, perTarget
		}
	}
	return best
}

// betterModel returns the model with waiting work whose entitlement per target,
// with this target added, is the highest and exceeds by the factor minGain that
// of the loaded model without this target. It returns an empty string if there
// is none, or if the loaded model would be left without targets.
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
		perTarget := entitled[m] / float64(v.supply[m]+1)
		if m != current && hasWaiting[m] && perTarget > highest {
			best, highest = m, perTarget
		}
	}
	return best
}

// movableTargets returns the peers that stay at their model for now and may
// leave it.
func (p *Placer) movableTargets() []identifier.Target {
	var ts []identifier.Target
	for t, q := range p.peers {
		if q.report.Next == "" && p.targetMayLeave(t, q.report.Model) {
			ts = append(ts, t)
		}
	}
	return ts
}

// movableSameModel returns the movable targets that have the same model as this
// one.
func (p *Placer) movableSameModel() []identifier.Target {
	var ts []identifier.Target
	for _, t := range p.movableTargets() {
		if p.peers[t].report.Model == p.engine.Model {
			ts = append(ts, t)
		}
	}
	return ts
}

// countOutranking returns how many of the others rank before this target for
// model m.
func (p *Placer) countOutranking(m identifier.Model, others []identifier.Target) int {
	n := 0
	for _, t := range others {
		if outranks(m, t, p.cfg.Self) {
			n++
		}
	}
	return n
}
