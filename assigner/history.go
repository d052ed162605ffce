package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"buckthorndrum/identifier"
)

// maxPlans bounds the plans of a history.
const maxPlans = 64

// Config configures a History.
type Config struct {
	// Settle is the time within which all routers know a new plan. A plan is in force that
	// long after it became known, so that a router that does not know it takes up no stream
	// that began by it.
	Settle time.Duration
}

// History holds the plans of a pool by which streams may have begun that callers may still take
// up. It is not safe for concurrent use.
type History struct {
	cfg   Config
	plans []knownPlan
	// overflowedUntil is until when streams may have begun by plans that were dropped before
	// their time, zero for none.
	overflowedUntil identifier.Instant
	// expiredUntil is until when streams may have begun by plans that were dropped as past, zero
	// for none.
	expiredUntil identifier.Instant
}

// knownPlan is a plan and when this router learned of it.
type knownPlan struct {
	Plan
	learnedAt identifier.Instant
	// first is set for the plans that were known from the start, or learned after a newer one.
	// When they were made is not known.
	first bool
}

// NewHistory returns an empty history.
func NewHistory(cfg Config) *History { return &History{cfg: cfg} }

// LengthenSettle raises the time within which all routers know a new plan to settle. A shorter
// time changes nothing, as other routers may not have it yet.
func (h *History) LengthenSettle(settle time.Duration) { h.cfg.Settle = max(h.cfg.Settle, settle) }

// Learn adds the plans that are not known yet, and learns from their ages how long the others
// have been known. They must be valid. Of a plan that is older than a known one, only its age tells when
// it was made.
func (h *History) Learn(now identifier.Instant, plans []Plan) (changed bool) {
	newest, empty := h.Newest().Number, len(h.plans) == 0
	for _, p := range plans {
		i, known := slices.BinarySearchFunc(h.plans, p.Number, func(k knownPlan, n uint64) int { return cmp.Compare(k.Number, n) })
		learnedAt := now.Add(-time.Duration(p.AgeMS) * time.Millisecond)
		if known {
			h.plans[i].learnedAt = min(h.plans[i].learnedAt, learnedAt)
			continue
		}
		p.AgeMS = 0
		h.plans = slices.Insert(h.plans, i, knownPlan{Plan: p, learnedAt: learnedAt, first: empty || p.Number < newest})
		changed = true
	}
	if n := len(h.plans) - maxPlans; n > 0 {
		h.overflowedUntil = max(h.overflowedUntil, h.endOf(n-1))
		h.plans = append([]knownPlan(nil), h.plans[n:]...)
	}
	return changed
}

// Newest returns the plan with the highest number, zero if there is none.
func (h *History) Newest() Plan {
	if len(h.plans) == 0 {
		return Plan{}
	}
	return h.plans[len(h.plans)-1].Plan
}

// Plans returns all plans, the oldest first.
func (h *History) Plans() []Plan {
	list := make([]Plan, len(h.plans))
	for i, p := range h.plans {
		list[i] = p.Plan
	}
	return list
}

// DatedPlans returns all plans with their ages, the oldest first.
func (h *History) DatedPlans(now identifier.Instant) []Plan {
	list := h.Plans()
	for i := range list {
		list[i].AgeMS = min(now.Sub(h.plans[i].learnedAt), maxAge).Milliseconds()
	}
	return list
}

// HasAged reports whether the age of the newest plan in a list is out of date by a time. A router
// that starts with such a list counts ended plans for as much longer.
func (h *History) HasAged(now identifier.Instant, list []Plan, by time.Duration) bool {
	if len(h.plans) < 2 || len(list) == 0 {
		return false
	}
	newest, told := h.plans[len(h.plans)-1], list[len(list)-1]
	age := min(now.Sub(newest.learnedAt), maxAge)
	return told.Number == newest.Number && age-time.Duration(told.AgeMS)*time.Millisecond >= by
}

// endOf returns the instant after which no router begins a stream by a plan that has a
// successor: all know the successor a settling time after it was made, and put it in force
// after another.
func (h *History) endOf(i int) identifier.Instant {
	if i+1 >= len(h.plans) {
		return 0
	}
	return h.plans[i+1].learnedAt.Add(2 * h.cfg.Settle)
}

// Pick returns the version at which a stream begins now whose first request has an id. ok is
// false if that cannot be told: there is no plan, or this router has just started and does not
// know which of several is in force.
func (h *History) Pick(now identifier.Instant, id identifier.Request) (v identifier.Software, ok bool) {
	last := len(h.plans) - 1
	for i := last; i >= 0; i-- {
		p := h.plans[i]
		v = p.Pick(id)
		if !p.first && now.Sub(p.learnedAt) < h.cfg.Settle {
			continue
		}
		if p.first && now.Sub(p.learnedAt) < h.cfg.Settle {
			return h.agreed(h.plans[h.firstSince(now):i+1], id)
		}
		return v, true
	}
	return "", false
}

// agreed returns the version that all plans of a list pick for an id.
func (h *History) agreed(plans []knownPlan, id identifier.Request) (v identifier.Software, ok bool) {
	for i, p := range plans {
		picked := p.Pick(id)
		if i > 0 && picked != v {
			return "", false
		}
		v = picked
	}
	return v, len(plans) > 0
}

// Began returns the version at which a stream began, not before an instant, whose first request
// has an id. ok is false if plans differ by which it may have begun.
func (h *History) Began(since identifier.Instant, id identifier.Request) (v identifier.Software, ok bool) {
	if since <= h.overflowedUntil && h.overflowedUntil != 0 || since <= h.expiredUntil && since != 0 {
		return "", false
	}
	return h.agreed(h.plans[h.firstSince(since):], id)
}

// firstSince returns the index of the first plan by which a stream may have begun since an
// instant.
func (h *History) firstSince(since identifier.Instant) int {
	i := 0
	for i < len(h.plans) && h.endOf(i) != 0 && h.endOf(i) < since {
		i++
	}
	return i
}

// Misses reports whether a list of plans lacks one of the history that is newer than its first.
// Older ones may have been dropped from it as past.
func (h *History) Misses(list []Plan) bool {
	for _, p := range h.plans {
		listed := slices.ContainsFunc(list, func(q Plan) bool { return q.Number == p.Number })
		if !listed && (len(list) == 0 || p.Number > list[0].Number) {
			return true
		}
	}
	return false
}

// Expire drops the plans by which no stream began within a time, and forgets those that were
// dropped before.
func (h *History) Expire(now identifier.Instant, memory time.Duration) {
	if h.overflowedUntil < now.Add(-memory) {
		h.overflowedUntil = 0
	}
	for len(h.plans) > 1 && h.endOf(0) < now.Add(-memory) {
		h.expiredUntil = h.endOf(0)
		h.plans = h.plans[1:]
	}
}

// Next returns the plan for the slots that the versions of the pool have now, and whether it is
// another than the newest. Its number is at least least. Without slots, the newest plan stays.
func (h *History) Next(slots map[identifier.Software]int, least uint64) (Plan, bool) {
	newest, weights := h.Newest(), Weights(slots)
	if len(weights) == 0 || len(weights) > maxVersions || maps.Equal(newest.Weights, weights) {
		return newest, false
	}
	return Plan{Number: max(newest.Number+1, least), Weights: weights}, true
}
