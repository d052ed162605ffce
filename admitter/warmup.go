package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// WarmUpPolicy determines how often this router may send a request to a cold target.
type WarmUpPolicy struct {
	// Routers is the number of routers that may send requests, including this one.
	Routers int
	// Bound bounds the requests of all routers together.
	Bound permitter.ColdBound
	// NotBefore is the earliest instant of a request to a cold target.
	NotBefore identifier.Instant
}

// SetSeed sets the number by which the permits of this router differ from those of others.
func (a *Admitter) SetSeed(seed uint64) { a.seed = seed }

// SetColdRates replaces the load that the cold targets of pools can handle. The targets of other pools are
// never cold.
func (a *Admitter) SetColdRates(now identifier.Instant, rates map[identifier.Pool]permitter.ColdRate) {
	a.coldRates = rates
	a.updateSchedules(now)
}

// SetWarmUpPolicy replaces the policy. It has no effect if nothing has changed.
func (a *Admitter) SetWarmUpPolicy(now identifier.Instant, p WarmUpPolicy) {
	if p == a.warmUpPolicy {
		return
	}
	a.warmUpPolicy = p
	a.updateSchedules(now)
}

// WarmUpPolicy returns the policy that was set last.
func (a *Admitter) WarmUpPolicy() WarmUpPolicy { return a.warmUpPolicy }

// updateSchedules passes the paces to all targets.
func (a *Admitter) updateSchedules(now identifier.Instant) {
	for _, t := range a.targets {
		t.warmUp.SetSchedule(now, a.permitSchedule(t.Pool))
		a.invalidateSummary(t)
	}
}

// permitSchedule returns how often this router has a permit for a cold target of a pool.
func (a *Admitter) permitSchedule(id identifier.Pool) permitter.PermitSchedule {
	rate := a.warmUpPolicy.Bound.PermitRate(a.coldRates[id].PerSecond)
	return permitter.PermitSchedule{Interval: permitter.PermitInterval(rate, a.warmUpPolicy.Routers), NotBefore: a.warmUpPolicy.NotBefore}
}

// phase returns a number in [0, 1) that differs by router, target and time.
func (a *Admitter) phase(now identifier.Instant, id identifier.Target) float64 {
	return float64(mix(a.seed^xxhash.Sum64String(string(id))^mix(uint64(now)))>>11) / (1 << 53)
}

// applyEntry applies the entry t of a target to its state s. old is the state of the target
// before, nil if it was not listed. Another incarnation is cold for as long as the one before
// it would have been, as an entry does not always say. A changed entry comes from a process
// that runs, so that it counts as a response.
func (a *Admitter) applyEntry(now identifier.Instant, old, s *targetState, t Target) {
	if old != nil && old != s {
		s.warmUp, s.reportedCold = old.warmUp, old.reportedCold
	}
	s.warmUp.SetSchedule(now, a.permitSchedule(t.Pool))
	if old != nil && old.Target == t {
		return
	}
	rate := a.coldRates[t.Pool]
	s.warmUp.RecordResponse(now, now, rate.Duration)
	left := min(t.ColdLeft, permitter.MaxCold)
	if rate.Duration > 0 {
		left = min(left, rate.Duration)
	}
	s.warmUp.RecordCold(now, left, permitter.ColdByEntry, a.phase(now, t.ID))
}

// RecordResponse records that a target has responded to an attempt, and for how long it says
// that it is cold, zero if it does not say.
func (a *Admitter) RecordResponse(now identifier.Instant, attempt *Attempt, cold time.Duration) {
	t := attempt.target
	if t == nil {
		return
	}
	t.warmUp.RecordResponse(now, attempt.startedAt, a.coldRates[t.Pool].Duration)
	t.warmUp.RecordCold(now, min(cold, permitter.MaxCold), permitter.ColdByAnswer, a.phase(now, t.ID))
}

// RecordRefused records that a target has refused a connection, since its process has ended.
// It has no effect on another incarnation than the listed one.
func (a *Admitter) RecordRefused(now identifier.Instant, t Target) {
	s := a.targets[t.ID]
	if s == nil || s.incarnation() != t.incarnation() {
		return
	}
	s.warmUp.RecordRefused(now, a.phase(now, t.ID))
}

// firstWarmingUp returns the first candidate that is cold and that the request fits, or nil.
// A candidate that is cold has a permit, as it accepts work.
func firstWarmingUp(now identifier.Instant, candidates []candidate, req Request) *candidate {
	for i := range candidates {
		if c := &candidates[i]; c.target.warmUp.Cold(now) && fits(*c, req) {
			return c
		}
	}
	return nil
}

// warmingUpWithSlot returns a target of the list that is cold and has a free slot, or nil.
// Targets of the list accept work, so that there is a permit for those that are cold. seed
// selects one of several.
func warmingUpWithSlot(now identifier.Instant, list []*targetState, seed uint64) *targetState {
	var chosen *targetState
	highest := uint64(0)
	for i, t := range list {
		if !t.warmUp.Cold(now) || t.Slots > 0 && t.totalLoad().Running >= t.Slots {
			continue
		}
		if h := mix(seed + uint64(i)); chosen == nil || h > highest {
			chosen, highest = t, h
		}
	}
	return chosen
}

// WarmUpChange is a target that has become cold or warm.
type WarmUpChange struct {
	Target identifier.Target
	Cold   bool
	// For is for how long it is cold, and Cause by what that was learned. They are valid if
	// Cold is true.
	For   time.Duration
	Cause permitter.ColdCause
}

// WarmUpChanges returns the targets that have become cold or warm since the last call.
func (a *Admitter) WarmUpChanges(now identifier.Instant) []WarmUpChange {
	var changes []WarmUpChange
	for id, t := range a.targets {
		cold := t.warmUp.Cold(now)
		if cold == t.reportedCold {
			continue
		}
		t.reportedCold = cold
		c := WarmUpChange{Target: id, Cold: cold}
		if cold {
			c.Cause = t.warmUp.Cause()
			c.For = max(t.warmUp.Until().Sub(now), 0)
			if c.Cause == permitter.ColdByRefusal {
				c.For = max(c.For, a.coldRates[t.Pool].Duration)
			}
		}
		changes = append(changes, c)
	}
	return changes
}
