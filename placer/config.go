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
	// evaluateInterval is how often it is looked for a reason to load another model.
	evaluateInterval = time.Second
	// stabilizationTime is how long a reason to load another model lasts before it counts.
	stabilizationTime = 5 * time.Second
	// maxReportAge is how long an engine's report is good for others to count on. It
	// is shorter than hold, so that nobody acts on an outdated one.
	maxReportAge = 3 * time.Second
	// minReportInterval is the least time between two reports of use and waiting work, and
	// newsPerPeer how much longer it is for each peer that is told.
	minReportInterval = 10 * time.Second
	newsPerPeer       = 500 * time.Millisecond
	// staggerPerTarget is how much longer for each target that is to act before.
	staggerPerTarget = 2 * time.Second
	// switchCooldown is the least time between two changes of an engine's model for
	// the sake of load.
	switchCooldown = 2 * time.Minute
	// peerTimeout is how long a peer counts after its last sign of life.
	peerTimeout = 10 * time.Second
	// drainLead is how long before its turn a target stops taking work for the model
	// that it leaves.
	drainLead = 5 * time.Second
	// orderTimeout is after how long an order that shows no effect is given again.
	orderTimeout = 30 * time.Second
	// switchTimeout is how long a target counts for a model that it is loading.
	switchTimeout = 5 * time.Minute
	// minGain is how many times more a target has to be worth at another model.
	minGain = 1.25
	// minOrderWindow is the least part of a turn in which an order may be given.
	minOrderWindow = 250 * time.Millisecond
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

// needsModel tells whether a kind of the pool needs model m.
func (c Config) needsModel(m identifier.Model) bool {
	for _, k := range c.Kinds {
		if k.Model == m {
			return true
		}
	}
	return false
}

// guaranteedShare returns the guaranteed part of the pool of all kinds of model m.
func (c Config) guaranteedShare(m identifier.Model) float64 {
	sum := 0.0
	for _, k := range c.Kinds {
		if k.Model == m {
			sum += k.Share
		}
	}
	return sum
}
