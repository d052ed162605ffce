package placer

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// KindConfig is what one kind needs of an engine.
type KindConfig struct {
	// Model is the model that serves the kind.
	Model identifier.Model
	// Adapter is loaded on top of the model, empty for none.
	Adapter identifier.Adapter
	// Share is the guaranteed part of the pool's capacity, from 0 to 1.
	Share float64
}

// Config sets up a placer. It may be replaced while running by Configure.
type Config struct {
	// Self is the target that the placer decides for.
	Self identifier.Target
	// Kinds are the pool's kinds. Each names a model.
	Kinds map[identifier.Kind]KindConfig
	// Targets are the pool's active targets in an order that all agents share.
	// They take turns in loading weights.
	Targets []identifier.Target
	// MinTargets is how many targets each model is to have at least.
	MinTargets int
	// LoadsPerMinute is the weight store's rate limit.
	LoadsPerMinute float64
}

const (
	// considerEvery is how often it is looked for a reason to load another model.
	considerEvery = time.Second
	// hold is how long a reason to load another model lasts before it counts.
	hold = 5 * time.Second
	// reportAge is how long an engine's report is good for others to count on. It
	// is shorter than hold, so that nobody acts on an outdated one.
	reportAge = 3 * time.Second
	// newsEvery is the least time between two reports of use and waiting work, and
	// newsPerPeer how much longer it is for each peer that is told.
	newsEvery   = 10 * time.Second
	newsPerPeer = 500 * time.Millisecond
	// stagger is how much longer for each target that is to act before.
	stagger = 2 * time.Second
	// residence is the least time between two changes of an engine's model for
	// the sake of load.
	residence = 2 * time.Minute
	// fresh is how long a peer counts after its last sign of life.
	fresh = 10 * time.Second
	// lead is how long before its turn a target stops taking work for the model
	// that it leaves.
	lead = 5 * time.Second
	// giveUp is after how long an order that shows no effect is given again.
	giveUp = 30 * time.Second
	// patience is how long a target counts for a model that it is loading.
	patience = 5 * time.Minute
	// gain is how many times more a target has to be worth at another model.
	gain = 1.25
	// minWindow is the least part of a turn in which an order may be given.
	minWindow = 250 * time.Millisecond
)

// models returns the pool's models in a fixed order.
func (c Config) models() []identifier.Model {
	seen := map[identifier.Model]bool{}
	var ms []identifier.Model
	for _, k := range c.Kinds {
		if !seen[k.Model] {
			seen[k.Model] = true
			ms = append(ms, k.Model)
		}
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i] < ms[j] })
	return ms
}

// adapters returns the adapters of a model in a fixed order.
func (c Config) adapters(m identifier.Model) []identifier.Adapter {
	seen := map[identifier.Adapter]bool{}
	as := []identifier.Adapter{}
	for _, k := range c.Kinds {
		if k.Model == m && k.Adapter != "" && !seen[k.Adapter] {
			seen[k.Adapter] = true
			as = append(as, k.Adapter)
		}
	}
	sort.Slice(as, func(i, j int) bool { return as[i] < as[j] })
	return as
}

// uses tells whether a kind of the pool needs model m.
func (c Config) uses(m identifier.Model) bool {
	for _, k := range c.Kinds {
		if k.Model == m {
			return true
		}
	}
	return false
}

// share returns the guaranteed part of the pool of all kinds of model m.
func (c Config) share(m identifier.Model) float64 {
	sum := 0.0
	for _, k := range c.Kinds {
		if k.Model == m {
			sum += k.Share
		}
	}
	return sum
}
