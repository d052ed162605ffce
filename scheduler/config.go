package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// KindRule is what the scheduler knows of one kind.
type KindRule struct {
	// Share is the guaranteed part of the target's capacity, from 0 to 1.
	// The shares of all kinds of one pool sum to at most 1.
	Share float64
	// Urgency breaks ties inside the fairness bound; higher goes first.
	Urgency int
	// Estimate is the cost charged at the grant when the offer has no hint.
	Estimate identifier.Cost
}

// Config sets up a scheduler. It may be replaced while running by Configure.
type Config struct {
	// Self is the incarnation whose grants this scheduler issues.
	Self identifier.Origin
	// Slots is the most requests that the target runs at once, at least 1.
	Slots int
	// MaxOvercommit is how many grants may be outstanding beyond the free slots. Fewer
	// are issued where slots fall free more slowly than a grant takes to come
	// back as a request.
	MaxOvercommit int
	// GrantTTL is how long a grant stays valid.
	GrantTTL time.Duration
	// CreditWindow bounds the credit and the debt, in weighted tokens, with
	// which a workspace starts a backlogged period.
	CreditWindow identifier.Cost
	// BackloggedAfter is how long a workspace waits before it counts as backlogged.
	BackloggedAfter time.Duration
	// IdleAfter is how long a workspace offers nothing before its backlogged
	// period ends.
	IdleAfter time.Duration
	// StallTimeout is how long running work may make no progress before the
	// target gets nothing new.
	StallTimeout time.Duration
	// TokenLatencyTarget is the time between tokens above which slots are taken away;
	// zero leaves the slots as they are.
	TokenLatencyTarget time.Duration
	// PreemptInterval is the least time between two preemptions; zero turns
	// preemption off.
	PreemptInterval time.Duration
	// Kinds are the kinds that the target serves.
	Kinds map[identifier.Kind]KindRule
	// Weights are the workspaces' weights; a missing one counts as 1.
	Weights map[identifier.Workspace]float64
}

// Defaults of the time limits.
const (
	DefaultGrantTTL        = 500 * time.Millisecond
	DefaultBackloggedAfter = 200 * time.Millisecond
	DefaultIdleAfter       = time.Second
	DefaultStallTimeout    = 5 * time.Second
	DefaultPreemptInterval = 100 * time.Millisecond
)

// defaultEstimate is the cost charged at the grant when nothing is known.
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

// unreservedShare is what no kind has reserved.
func (c Config) unreservedShare() float64 {
	rest := 1.0
	for _, k := range c.kindNames() {
		rest -= c.Kinds[k].Share
	}
	return max(rest, 0)
}

// kindNames returns the kinds in a fixed order, so that sums over them do not
// depend on the order of a map.
func (c Config) kindNames() []identifier.Kind {
	ks := make([]identifier.Kind, 0, len(c.Kinds))
	for k := range c.Kinds {
		ks = append(ks, k)
	}
	sortKinds(ks, func(a, b identifier.Kind) bool { return a < b })
	return ks
}
