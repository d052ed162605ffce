package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// KindRule holds the scheduling settings of one kind.
type KindRule struct {
	// Share is the guaranteed part of the target's capacity, from 0 to 1. The shares of
	// all kinds of one pool sum to at most 1.
	Share float64
	// Urgency decides between workspaces whose levels count as equal; the higher value
	// goes first.
	Urgency int
	// Estimate is the cost charged for a grant when the offer has no cost hint.
	Estimate identifier.Cost
}

// Config configures a scheduler. Scheduler.Configure replaces it at run time.
type Config struct {
	// Self is the incarnation whose grants this scheduler issues.
	Self identifier.Origin
	// Slots is the maximum number of requests that the target runs at once, at least 1.
	Slots int
	// MaxOvercommit is the maximum number of grants beyond the free slots. Fewer are
	// issued when the time between two finished requests is long compared with the time
	// that a grant takes to come back as a request.
	MaxOvercommit int
	// GrantTTL is how long a grant stays valid.
	GrantTTL time.Duration
	// CreditWindow bounds the credit and the debt, in weighted tokens, with which a
	// workspace starts a backlogged period.
	CreditWindow identifier.Cost
	// BackloggedAfter is how long a workspace has work waiting before it counts as
	// backlogged.
	BackloggedAfter time.Duration
	// IdleAfter is how long a workspace offers nothing before its backlogged period
	// ends.
	IdleAfter time.Duration
	// StallTimeout is how long running requests may make no progress before the target
	// gets no new ones; zero turns the check off.
	StallTimeout time.Duration
	// TokenLatencyTarget is the inter-token latency above which slots are taken away;
	// zero turns the adjustment of slots off.
	TokenLatencyTarget time.Duration
	// PreemptInterval is the minimum time between two preemptions; zero turns
	// preemption off.
	PreemptInterval time.Duration
	// Kinds are the kinds that the target serves.
	Kinds map[identifier.Kind]KindRule
	// Weights are the weights of the workspaces; a workspace without a positive weight
	// has weight 1.
	Weights map[identifier.Workspace]float64
}

// Default values of the durations in Config.
const (
	DefaultGrantTTL        = 500 * time.Millisecond
	DefaultBackloggedAfter = 200 * time.Millisecond
	DefaultIdleAfter       = time.Second
	DefaultStallTimeout    = 5 * time.Second
	DefaultPreemptInterval = 100 * time.Millisecond
)

// defaultEstimate is the cost charged for a grant when neither the offer nor the kind
// has an estimate.
const defaultEstimate identifier.Cost = 64

func (c Config) weight(w identifier.Workspace) float64 {
	if v, ok := c.Weights[w]; ok && v > 0 {
		return v
	}
	return 1
}

func (c Config) estimate(k identifier.Kind, hint identifier.Cost) identifier.Cost {
	if hint > 0 {
		return hint
	}
	if e := c.Kinds[k].Estimate; e > 0 {
		return e
	}
	return defaultEstimate
}

// unreservedShare returns the part of the capacity that is not guaranteed to any kind.
func (c Config) unreservedShare() float64 {
	rest := 1.0
	for _, k := range c.kindNames() {
		rest -= c.Kinds[k].Share
	}
	return max(rest, 0)
}

// kindNames returns the kinds in sorted order, so that sums of floating-point numbers
// over them do not depend on map iteration order.
func (c Config) kindNames() []identifier.Kind {
	ks := make([]identifier.Kind, 0, len(c.Kinds))
	for k := range c.Kinds {
		ks = append(ks, k)
	}
	sortKinds(ks, func(a, b identifier.Kind) bool { return a < b })
	return ks
}
