package placer

import (
	"buckthorndrum/identifier"
)

// poolView is the pool as known here.
type poolView struct {
	kinds map[identifier.Kind]KindConfig
	// targets is how many targets are known, this one among them.
	targets float64
	// supply is how many targets serve each model or are going over to it.
	supply map[identifier.Model]int
	// inUse is how many targets' worth of slots is in use, by model.
	inUse map[identifier.Model]float64
	// waiting is the weight that waits, by kind.
	waiting map[identifier.Kind]float64
}

// poolView sums up what is known of the pool.
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

// add counts one target. coming tells that it can be trusted to get to its next
// model.
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

// entitlements returns how many targets each model is entitled to. A model of which
// nothing waits needs what it uses. The rest is divided among the kinds that
// wait: each has its share, and what they leave goes by the weights of the
// workspaces, so that one workspace's flood moves no more than its weight.
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

// waitingModels returns the models of which work waits.
func (p *Placer) waitingModels(v poolView) map[identifier.Model]bool {
	hasWaiting := map[identifier.Model]bool{}
	for k := range v.waiting {
		hasWaiting[p.cfg.Kinds[k].Model] = true
	}
	return hasWaiting
}

// waitingTotals adds up the shares and the weights of the kinds that wait.
func (p *Placer) waitingTotals(v poolView) (shares, weights float64) {
	for k, w := range v.waiting {
		shares += p.cfg.Kinds[k].Share
		weights += w
	}
	return shares, weights
}
