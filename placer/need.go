package placer

import (
	"buckthorndrum/identifier"
)

// view is the pool as known here.
type view struct {
	kinds map[identifier.Kind]KindConfig
	// targets is how many targets are known, this one among them.
	targets float64
	// supply is how many targets serve each model or are going over to it.
	supply map[identifier.Model]int
	// used is how many targets' worth of slots is in use, by model.
	used map[identifier.Model]float64
	// waiting is the weight that waits, by kind.
	waiting map[identifier.Kind]float64
}

// view sums up what is known of the pool.
func (p *Placer) view(now identifier.Instant) view {
	v := view{
		kinds:   p.cfg.Kinds,
		supply:  map[identifier.Model]int{},
		used:    map[identifier.Model]float64{},
		waiting: map[identifier.Kind]float64{},
	}
	v.add(p.report(), true)
	for _, q := range p.peers {
		v.add(q.report, now.Sub(q.leaving) <= patience)
	}
	return v
}

// add counts one target. coming tells that it can be trusted to get to its next
// model.
func (v *view) add(r Report, coming bool) {
	v.targets++
	v.used[r.Model] += float64(r.Used) / usedParts
	if r.Next != "" && coming {
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

// need returns how many targets each model is entitled to. A model of which
// nothing waits needs what it uses. The rest is divided among the kinds that
// wait: each has its share, and what they leave goes by the weights of the
// workspaces, so that one workspace's flood moves no more than its weight.
func (p *Placer) need(v view) map[identifier.Model]float64 {
	waits := p.waitingModels(v)
	rest := v.targets
	need := map[identifier.Model]float64{}
	for _, m := range p.cfg.models() {
		if !waits[m] {
			need[m] = v.used[m]
			rest -= v.used[m]
		}
	}
	shares, weights := p.sums(v)
	for k, w := range v.waiting {
		rule := p.cfg.Kinds[k]
		need[rule.Model] += rest * (rule.Share + max(1-shares, 0)*w/weights)
	}
	return need
}

// waitingModels returns the models of which work waits.
func (p *Placer) waitingModels(v view) map[identifier.Model]bool {
	waits := map[identifier.Model]bool{}
	for k := range v.waiting {
		waits[p.cfg.Kinds[k].Model] = true
	}
	return waits
}

// sums adds up the shares and the weights of the kinds that wait.
func (p *Placer) sums(v view) (shares, weights float64) {
	for k, w := range v.waiting {
		shares += p.cfg.Kinds[k].Share
		weights += w
	}
	return shares, weights
}
