package forwarder

import (
	"maps"
	"slices"
	"time"

	"buckthorndrum/assigner"
	"buckthorndrum/identifier"
)

const (
	// defaultSettleTime is the time within which all routers know a plan if the settings do not
	// say.
	defaultSettleTime = 2 * time.Second
	// minPlanMemory and maxPlanMemory bound how long plans are kept after no stream begins by
	// them any more.
	minPlanMemory = 5 * time.Second
	maxPlanMemory = time.Minute
	// planInterval is the time between two new plans of a pool at least.
	planInterval = time.Second
	// planAgeInterval is by how much the ages of the stored plans may be out of date while there
	// is more than one.
	planAgeInterval = 2 * time.Second
)

// poolHistory holds the plans by which the streams of a pool begin.
type poolHistory struct {
	*assigner.History
	// plannedAt is when a new plan was last returned to be written, zero if none was.
	plannedAt identifier.Instant
}

// empty reports whether there is no plan.
func (h *poolHistory) empty() bool { return h.Newest().Number == 0 }

// began returns the version at which a stream began, not before an instant, whose first event a
// request brought. Without the ID of that request it is known if all plans have one version.
func (h *poolHistory) began(since identifier.Instant, resumes identifier.Request) (v identifier.Software, ok bool) {
	if resumes != "" {
		return h.Began(since, resumes)
	}
	for i, p := range h.Plans() {
		for software := range p.Weights {
			if len(p.Weights) > 1 || i > 0 && software != v {
				return "", false
			}
			v = software
		}
	}
	return h.Began(since, "")
}

// settleTime returns the time within which all routers in touch with the store know a change.
func (f *Forwarder) settleTime() time.Duration {
	if t := f.state.tunables.Load().MaxRefusalAge; t > 0 {
		return t
	}
	return defaultSettleTime
}

// planMemory returns for how long after a stream may have begun it may be taken up at a pool,
// and whether the pool serves streams that may be. It is the longest time limit of these, and
// the age of the proof of freshness up to which a router may begin streams by a plan that others
// have replaced.
func (f *Forwarder) planMemory(pool identifier.Pool) (memory time.Duration, streams bool) {
	s := f.state.snapshot.Load()
	if s == nil {
		return maxPlanMemory, false
	}
	timeout, streams := s.streamTimeouts[pool]
	maxProofAge := f.state.tunables.Load().MaxProofAge
	return min(max(timeout, minPlanMemory), maxPlanMemory) + min(maxProofAge, maxPlanMemory), streams
}

// LearnPlans records the plans that the store has for a pool.
func (f *Forwarder) LearnPlans(now identifier.Instant, pool identifier.Pool, recorded []assigner.Plan) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.learnPlans(now, pool, recorded)
}

// learnPlans is LearnPlans for a caller that holds f.state.mu. It returns the plans by which
// streams may have begun that are still taken up.
func (f *Forwarder) learnPlans(now identifier.Instant, pool identifier.Pool, recorded []assigner.Plan) *poolHistory {
	h := f.state.histories[pool]
	if h == nil {
		h = &poolHistory{History: assigner.NewHistory(assigner.Config{Settle: f.settleTime()})}
		f.state.histories[pool] = h
	}
	h.LengthenSettle(f.settleTime())
	h.Learn(now, recorded)
	if memory, streams := f.planMemory(pool); streams {
		h.Expire(now, memory)
	}
	return h
}

// UpdatePlans records the plans that the store has for a pool and returns what a hub should
// write in their place, nil if they stand: with another plan if the slots of the versions have
// changed, with plans that the store has lost, without those by which no stream can have begun
// that is still taken up, or with the ages of today. A new plan has the number least at least.
func (f *Forwarder) UpdatePlans(now identifier.Instant, pool identifier.Pool, recorded []assigner.Plan, least uint64) (write []assigner.Plan) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	h := f.learnPlans(now, pool, recorded)
	if _, streams := f.planMemory(pool); !streams {
		return nil
	}
	plans := h.DatedPlans(now)
	slots := f.state.admitter.SoftwareSlots(pool)
	if len(plans) == 0 && !hasNamed(slots) {
		return nil
	}
	if next, changed := h.Next(slots, least); changed && (h.plannedAt == 0 || now.Sub(h.plannedAt) >= planInterval) {
		h.plannedAt = now
		return append(plans, next)
	}
	if h.Misses(recorded) || hasOthers(recorded, plans) || h.HasAged(now, recorded, planAgeInterval) {
		return plans
	}
	return nil
}

// hasNamed reports whether a target has software that has a name.
func hasNamed(slots map[identifier.Software]int) bool {
	for v := range slots {
		if v != "" {
			return true
		}
	}
	return false
}

// hasOthers reports whether a list has plans that are not among those of another.
func hasOthers(list, plans []assigner.Plan) bool {
	return slices.ContainsFunc(list, func(p assigner.Plan) bool {
		return !slices.ContainsFunc(plans, func(q assigner.Plan) bool { return q.Number == p.Number })
	})
}

// Pools returns the pools of the configuration in force, sorted by ID.
func (f *Forwarder) Pools() []identifier.Pool {
	s := f.state.snapshot.Load()
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.pools))
}
