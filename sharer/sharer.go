package sharer

import (
	"math"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Sharer computes the share ratios and admission ratios of workspaces for one router,
// from its own rates and those that its peers report. It is not safe for concurrent use.
type Sharer struct {
	// capacity is the rate that the workspaces share, in tokens per second. Zero means no
	// limit.
	capacity float64
	// local holds the rates that this router measures.
	local map[identifier.Workspace]*usage
	// peerRates holds the summed rates of all other routers, received at peerRatesAt.
	peerRates   map[identifier.Workspace]Rates
	peerRatesAt identifier.Instant
	// fairShare is the max-min fair share, in tokens per second, computed at computedAt.
	// It caps the share of each workspace whose demand exceeds it, and is infinite if all
	// demands fit.
	fairShare  float64
	computedAt identifier.Instant
	// deficits holds the workspaces that get less than half of what they request, or did
	// so recently.
	deficits map[identifier.Workspace]*deficit
	// underserved lists the unthrottled workspaces whose deficit persists.
	underserved underservedList
	// throttledUnderserved lists the throttled workspaces whose deficit persists.
	throttledUnderserved underservedList
	// baselines holds, for each workspace that is compared with underserved ones, the
	// lowest baseline among these, in tokens per second.
	baselines map[identifier.Workspace]float64
	// admissionRatios holds the admission ratios of the throttled workspaces, all below
	// 1.
	admissionRatios map[identifier.Workspace]float64
	// largestRequest is the size of the largest recent request, in tokens.
	largestRequest float64
}

// usage holds the rates of one workspace at this router.
type usage struct{ requested, admitted, dispatched, completed, shed slidingRate }

const (
	// peerRatesTTL is how long the peers' rates count after they were received.
	peerRatesTTL = 2 * time.Second
	// recomputeInterval is the minimum time between two computations of the shares.
	recomputeInterval = 100 * time.Millisecond
)

// New returns a Sharer without a capacity limit.
func New() *Sharer {
	return &Sharer{local: map[identifier.Workspace]*usage{}, fairShare: math.Inf(1), deficits: map[identifier.Workspace]*deficit{}, baselines: map[identifier.Workspace]float64{}, admissionRatios: map[identifier.Workspace]float64{}}
}

// SetCapacity sets the rate that the workspaces share, in tokens per second. Zero means
// no limit.
func (s *Sharer) SetCapacity(capacity float64) { s.capacity = capacity }

// Capacity returns the rate that the workspaces share, in tokens per second. Zero means no
// limit.
func (s *Sharer) Capacity() float64 { return s.capacity }

// RecordRequest records a request of workspace w, with its size in tokens. The part given
// by the current admission ratio counts as admitted.
func (s *Sharer) RecordRequest(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	s.largestRequest = max(s.largestRequest, float64(tokens))
	u.requested.add(now, float64(tokens))
	u.admitted.add(now, s.currentRatio(now, w)*float64(tokens))
}

// RecordDispatch records that a request of workspace w, with its size in tokens, was sent
// to a target.
func (s *Sharer) RecordDispatch(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).dispatched.add(now, float64(tokens))
}

// RecordCompletion records that the caller of a request of workspace w, with its size in
// tokens, received the complete answer.
func (s *Sharer) RecordCompletion(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).completed.add(now, float64(tokens))
}

// RecordShed records that a request of workspace w, with its size in tokens, was shed to
// other routers for lack of processor time. The request must have been recorded by
// RecordRequest; RecordShed subtracts its admitted part.
func (s *Sharer) RecordShed(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	u.shed.add(now, float64(tokens))
	u.admitted.add(now, -s.currentRatio(now, w)*float64(tokens))
}

// usage returns the local rates of workspace w, and adds them if there are none.
func (s *Sharer) usage(w identifier.Workspace) *usage {
	u := s.local[w]
	if u == nil {
		u = &usage{}
		s.local[w] = u
	}
	return u
}

// rates returns the rates as of the instant now.
func (u *usage) rates(now identifier.Instant) Rates {
	return Rates{Requested: int(u.requested.perSecond(now)), Dispatched: int(u.dispatched.perSecond(now)), Completed: int(u.completed.perSecond(now)), Shed: int(u.shed.perSecond(now)),
		Admitted: max(0, int(u.admitted.perSecond(now)))}
}

// LocalRates returns the rates that this router has measured, for its peers. It forgets
// the workspaces whose rates are all zero.
func (s *Sharer) LocalRates(now identifier.Instant) map[identifier.Workspace]Rates {
	rates := make(map[identifier.Workspace]Rates, len(s.local))
	for w, u := range s.local {
		r := u.rates(now)
		if r == (Rates{}) {
			delete(s.local, w)
			continue
		}
		rates[w] = r
	}
	return rates
}

// SetPeerRates replaces the summed rates of all other routers. It updates the admission
// ratios, if due, also on a router without requests: callers may come to it at any time.
func (s *Sharer) SetPeerRates(now identifier.Instant, rates map[identifier.Workspace]Rates) {
	s.peerRates, s.peerRatesAt = rates, now
	s.recomputeIfDue(now)
}

// ShareRatio returns the fair share of workspace w divided by the rate dispatched for it,
// at most 1.
func (s *Sharer) ShareRatio(now identifier.Instant, w identifier.Workspace) float64 {
	s.recomputeIfDue(now)
	dispatched := float64(s.workspaceTotal(now, w).Dispatched)
	if dispatched <= s.fairShare {
		return 1
	}
	return s.fairShare / dispatched
}

// recomputeIfDue calls recompute if recomputeInterval has passed since the last time.
func (s *Sharer) recomputeIfDue(now identifier.Instant) {
	if s.computedAt == 0 || now.Sub(s.computedAt) >= recomputeInterval {
		s.recompute(now)
	}
}

// workspaceTotal returns the rates of workspace w summed over all routers.
func (s *Sharer) workspaceTotal(now identifier.Instant, w identifier.Workspace) Rates {
	var sum Rates
	if u := s.local[w]; u != nil {
		sum = u.rates(now)
	}
	return sum.AddSigned(s.peerRates[w], 1)
}

// recompute computes the fair share, at which the shares of all workspaces fill the
// capacity, and from it the deficits and the admission ratios. Without a capacity limit
// it clears them. It drops peer rates older than peerRatesTTL.
func (s *Sharer) recompute(now identifier.Instant) {
	s.computedAt = now
	s.largestRequest *= largestRequestDecay
	if now.Sub(s.peerRatesAt) > peerRatesTTL {
		s.peerRates = nil
	}
	s.fairShare = math.Inf(1)
	if s.capacity <= 0 {
		clear(s.admissionRatios)
		clear(s.baselines)
		clear(s.deficits)
		return
	}
	totals := s.totals(now)
	requested := make([]float64, 0, len(totals))
	for _, r := range totals {
		requested = append(requested, float64(r.Requested))
	}
	s.fairShare = MaxMinLevel(requested, s.capacity)
	s.updateDeficits(now, totals)
	s.throttle(totals)
}

// totals returns the rates of all workspaces, each summed over all routers.
func (s *Sharer) totals(now identifier.Instant) map[identifier.Workspace]Rates {
	totals := make(map[identifier.Workspace]Rates, len(s.peerRates)+len(s.local))
	for w := range s.local {
		totals[w] = s.workspaceTotal(now, w)
	}
	for w := range s.peerRates {
		totals[w] = s.workspaceTotal(now, w)
	}
	return totals
}

// MaxMinLevel returns the max-min fair level: the cap at which the capped demands add up
// to capacity. It returns infinity if all demands fit. It sorts demands in place.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	sort.Float64s(demands)
	for i, demand := range demands {
		equalShare := capacity / float64(len(demands)-i)
		if demand > equalShare {
			return equalShare
		}
		capacity -= demand
	}
	return math.Inf(1)
}
