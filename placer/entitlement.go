package placer

import (
	"buckthorndrum/identifier"
)

// poolView is the state of the pool as this agent knows it.
type poolView struct {
	kinds map[identifier.Kind]KindConfig
	// targets is the number of known targets, including this one.
	targets float64
	// supply is the number of targets that serve each model or are switching to it.
	supply map[identifier.Model]int
	// inUse is the occupied capacity by model, in targets: the sum of the fractions of
	// slots in use.
	inUse map[identifier.Model]float64
	// waiting is the sum of the weights of the workspaces that wait, by kind.
	waiting map[identifier.Kind]float64
}

// poolView combines this target's state with the reports of its peers.
func (p *Placer) poolView(now identifier.Instant) poolView {
	v := poolView{
		kinds:   p.cfg.Kinds,
		supply:  map[identifier.Model]int{},
		inUse:   map[identifier.Model]float64{},
		waiting: map[identifier.Kind]float64{},
	}
	v.add(p.ownReport(), true)
	for _, q := range p.peers {
		v.add(q.report, now.Sub(q.nextSince) <= switchTimeout)
	}
	return v
}

// add adds one target's report. If countNext is set, a target that is switching
// counts as a target of its next model.
func (v *poolView) add(r Report, countNext bool) {
	v.targets++
	v.inUse[r.Model] += float64(r.Used) / usedSteps
	if r.Next != "" && countNext {
		v.supply[r.Next]++
	}
	if r.Next == "" && r.Ready {
		v.supply[r.Model]++
	}
	for _, w := range r.Waiting {
		if _, known := v.kinds[w.Kind]; known {
			v.waiting[w.Kind] = max(v.waiting[w.Kind], w.Weight)
		}
	}
}

// entitlements returns how many targets each model is entitled to, which need
// not be a whole number. A model without waiting work is entitled to what it
// uses. The remaining targets are divided among the kinds with waiting work:
// each gets its guaranteed share, and what these shares leave is divided by the
// weights of the waiting workspaces. A flood from one workspace therefore moves
// no more targets than its weight allows.
func (p *Placer) entitlements(v poolView) map[identifier.Model]float64 {
	hasWaiting := p.waitingModels(v)
	remaining := v.targets
	entitled := map[identifier.Model]float64{}
	for _, m := range p.cfg.models() {
		if !hasWaiting[m] {
			entitled[m] = v.inUse[m]
			remaining -= v.inUse[m]
		}
	}
	shares, weights := p.waitingTotals(v)
	for k, w := range v.waiting {
		kind := p.cfg.Kinds[k]
		entitled[kind.Model] += remaining * (kind.Share + max(1-shares, 0)*w/weights)
	}
	return entitled
}

// waitingModels returns the models that have waiting work.
func (p *Placer) waitingModels(v poolView) map[identifier.Model]bool {
	hasWaiting := map[identifier.Model]bool{}
	for k := range v.waiting {
		hasWaiting[p.cfg.Kinds[k].Model] = true
	}
	return hasWaiting
}

// waitingTotals returns the sum of the guaranteed shares and the sum of the
// weights of the kinds with waiting work.
func (p *Placer) waitingTotals(v poolView) (shares, weights float64) {
	for k, w := range v.waiting {
		shares += p.cfg.Kinds[k].Share
		weights += w
	}
	return shares, weights
}
