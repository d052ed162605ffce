package placer

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// KindConfig holds the model, the adapter and the guaranteed share of one kind.
type KindConfig struct {
	// Model is the model that serves the kind.
	Model identifier.Model
	// Adapter is loaded on top of the model. It is empty if the kind needs none.
	Adapter identifier.Adapter
	// Share is the guaranteed fraction of the pool's capacity, from 0 to 1.
	Share float64
}

// Config is the configuration of a placer. Placer.Configure replaces it at run
// time.
type Config struct {
	// Self is the target that the placer decides for.
	Self identifier.Target
	// Kinds are the pool's kinds. Each names a model.
	Kinds map[identifier.Kind]KindConfig
	// Targets are the pool's active targets, in the same order at all agents. They
	// load weights in turn, in this order.
	Targets []identifier.Target
	// MinTargets is the minimum number of targets that are to serve each model.
	MinTargets int
	// LoadsPerMinute is the rate limit of the weight store, in model loads per minute.
	LoadsPerMinute float64
}

const (
	// evaluateInterval is the interval between two checks whether another model should
	// be loaded.
	evaluateInterval = time.Second
	// stabilizationTime is how long a reason to load another model must persist before
	// the placer acts on it.
	stabilizationTime = 5 * time.Second
	// maxReportAge is the age up to which an engine's report counts: with an older one
	// the target is reported as not ready. It is shorter than stabilizationTime, so
	// that no agent acts on an outdated report.
	maxReportAge = 3 * time.Second
	// minReportInterval is the minimum time between the last report and one that
	// changes only usage and waiting work. reportIntervalPerPeer is added to it for
	// each peer.
	minReportInterval     = 10 * time.Second
	reportIntervalPerPeer = 500 * time.Millisecond
	// staggerPerTarget is the additional delay before a switch for each target that is
	// to act before this one.
	staggerPerTarget = 2 * time.Second
	// switchCooldown is how long an engine keeps a newly loaded model before load
	// alone may move it to another one.
	switchCooldown = 2 * time.Minute
	// peerTimeout is how long a peer counts after it was last known to be alive.
	peerTimeout = 10 * time.Second
	// drainLead is how long before its turn to load weights a target may stop taking
	// work for the model that it leaves.
	drainLead = 5 * time.Second
	// orderTimeout is how long the placer waits for an order to take effect before it
	// may issue the order again.
	orderTimeout = 30 * time.Second
	// switchTimeout is how long a peer that switches counts as a target of its next
	// model.
	switchTimeout = 5 * time.Minute
	// minGain is the factor by which the entitlement per target must be higher at
	// another model before a target switches to it.
	minGain = 1.25
	// minOrderWindow is the minimum length of the part of a turn, from its start, in
	// which an order may be issued.
	minOrderWindow = 250 * time.Millisecond
	// maxOrderSkew is how much closer two orders may come to each other on their way to
	// the weight store: the sum of the difference of two agents' clocks and of the time
	// that an order takes.
	maxOrderSkew = 250 * time.Millisecond
)

// models returns the pool's models, sorted by name.
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

// adapters returns the adapters that the kinds of model m need, sorted by name.
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

// needsModel reports whether a kind of the pool needs model m.
func (c Config) needsModel(m identifier.Model) bool {
	for _, k := range c.Kinds {
		if k.Model == m {
			return true
		}
	}
	return false
}

// guaranteedShare returns the sum of the guaranteed shares of all kinds of model
// m.
func (c Config) guaranteedShare(m identifier.Model) float64 {
	sum := 0.0
	for _, k := range c.Kinds {
		if k.Model == m {
			sum += k.Share
		}
	}
	return sum
}
