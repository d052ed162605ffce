package configurator

import (
	"fmt"
	"sort"

	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

// Defaults for the fields of Pool that are zero.
const (
	defaultMinTargets           = 1
	defaultWeightLoadsPerMinute = 6
	defaultMaxAdapters          = 8
)

// modelOf returns the model that serves kind k of pool p. It is empty if any model that
// the engine has loaded will do.
func modelOf(p Pool, k Kind) identifier.Model {
	if k.Model != "" {
		return k.Model
	}
	return p.Model
}

// ModelAndAdapterOf returns the model and the adapter that requests of kind k need. The
// model is empty if any model that the engine has loaded will do. Both are empty if the
// kind's targets are services.
func (s *Snapshot) ModelAndAdapterOf(k Kind) (identifier.Model, identifier.Adapter) {
	p := s.poolByID[k.Pool]
	if p.Type != Engine {
		return "", ""
	}
	return modelOf(p, k), k.Adapter
}

// PlacerConfig returns the configuration of target t's placer. It returns false if no
// kind of the pool has a model, so that the engines keep what they have loaded.
func (s *Snapshot) PlacerConfig(t Target) (placer.Config, bool) {
	pool := s.poolByID[t.Pool]
	cfg := placer.Config{
		Self:           t.ID,
		Kinds:          s.Document.placementRules(pool),
		MinTargets:     max(pool.MinTargets, defaultMinTargets),
		LoadsPerMinute: pool.WeightLoadsPerMinute,
	}
	if cfg.LoadsPerMinute == 0 {
		cfg.LoadsPerMinute = defaultWeightLoadsPerMinute
	}
	for _, o := range s.Document.Targets {
		if o.Pool == t.Pool && o.State != Leaving {
			cfg.Targets = append(cfg.Targets, o.ID)
		}
	}
	sort.Slice(cfg.Targets, func(i, j int) bool { return cfg.Targets[i] < cfg.Targets[j] })
	return cfg, len(cfg.Kinds) > 0
}

// ServedKinds returns the kinds of pool p that a target with report r serves. The result
// is nil, which means all kinds, if no kind of the pool has a model, so that the engines
// keep what they have loaded.
func (s *Snapshot) ServedKinds(p identifier.Pool, r placer.Report) map[identifier.Kind]bool {
	rules := s.Document.placementRules(s.poolByID[p])
	if len(rules) == 0 {
		return nil
	}
	served := map[identifier.Kind]bool{}
	for k, rule := range rules {
		if r.Serves(rule) {
			served[k] = true
		}
	}
	return served
}

// placementRules returns the model, adapter and share of each kind of an engine pool that
// has a model. The result is empty for a pool of services.
func (d *Document) placementRules(p Pool) map[identifier.Kind]placer.KindConfig {
	rules := map[identifier.Kind]placer.KindConfig{}
	if p.Type != Engine {
		return rules
	}
	for _, k := range d.Kinds {
		if m := modelOf(p, k); k.Pool == p.ID && m != "" {
			rules[k.ID] = placer.KindConfig{Model: m, Adapter: k.Adapter, Share: k.Share}
		}
	}
	return rules
}

func (c *checker) checkModels() {
	for i, p := range c.doc.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.checkModelName(path+".model", "model", string(p.Model))
		if p.MinTargets < 0 {
			c.add(path+".min_targets", "bound %d is negative", p.MinTargets)
		}
		if p.WeightLoadsPerMinute < 0 {
			c.add(path+".weight_loads_per_minute", "rate %v is negative", p.WeightLoadsPerMinute)
		}
		if p.MaxAdapters < 0 {
			c.add(path+".max_adapters", "bound %d is negative", p.MaxAdapters)
		}
		c.checkPlacement(path, p)
	}
	for i, k := range c.doc.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		c.checkModelName(path+".model", "model", string(k.Model))
		c.checkModelName(path+".adapter", "adapter", string(k.Adapter))
		c.checkKindModel(path, k)
	}
}

func (c *checker) checkModelName(path, what, name string) {
	if name == "" {
		return
	}
	if err := identifier.CheckModel(what, name); err != nil {
		c.add(path, "%v", err)
	}
}

// checkKindModel checks that the model and the adapter of a kind fit its pool and the
// pool's other kinds.
func (c *checker) checkKindModel(path string, k Kind) {
	p := c.poolByID[k.Pool]
	m := modelOf(p, k)
	if p.Type == Service && (k.Model != "" || k.Adapter != "") {
		c.add(path+".model", "kind %q of pool %q of services needs no model", k.ID, p.ID)
	}
	if k.Adapter != "" && m == "" {
		c.add(path+".adapter", "adapter %q has no model to go on", k.Adapter)
	}
	if p.Type == Engine && m == "" && len(c.doc.placementRules(p)) > 0 {
		c.add(path+".model", "kind %q names no model, and others of pool %q do", k.ID, p.ID)
	}
	if len(c.adaptersByModel(p)) > 1 && !k.Repeatable {
		c.add(path+".repeatable", "kind %q needs keys, which are bound to a target, and the targets of pool %q change their models", k.ID, p.ID)
	}
}

// adaptersByModel returns the set of adapters of each model of a pool.
func (c *checker) adaptersByModel(p Pool) map[identifier.Model]map[identifier.Adapter]bool {
	adapters := map[identifier.Model]map[identifier.Adapter]bool{}
	for _, r := range c.doc.placementRules(p) {
		if adapters[r.Model] == nil {
			adapters[r.Model] = map[identifier.Adapter]bool{}
		}
		if r.Adapter != "" {
			adapters[r.Model][r.Adapter] = true
		}
	}
	return adapters
}

// checkPlacement checks that an engine of the pool can hold the adapters of each model, and
// that the pool has enough active targets for all its models at once.
func (c *checker) checkPlacement(path string, p Pool) {
	models := c.adaptersByModel(p)
	maxAdapters := p.MaxAdapters
	if maxAdapters == 0 {
		maxAdapters = defaultMaxAdapters
	}
	for m, as := range models {
		if len(as) > maxAdapters {
			c.add(path+".max_adapters", "model %q has %d adapters, more than the %d that an engine holds", m, len(as), maxAdapters)
		}
	}
	targets := 0
	for _, t := range c.doc.Targets {
		if t.Pool == p.ID && t.State != Leaving {
			targets++
		}
	}
	minTargets := len(models) * max(p.MinTargets, defaultMinTargets)
	if len(models) > 1 && targets < minTargets {
		c.add(path+".min_targets", "%d active targets are too few for %d models on at least %d targets each", targets, len(models), max(p.MinTargets, defaultMinTargets))
	}
}
