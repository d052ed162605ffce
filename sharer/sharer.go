package sharer

import (
	"math"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Sharer is one router's view of the workspaces' rates. It is not safe for
// concurrent use.
type Sharer struct {
	// capacity is what is shared, in tokens a second, zero for no limit.
	capacity float64
	local    map[identifier.Workspace]*usage
	// peerRates is what all other routers have seen, heard when they said so.
	peerRates   map[identifier.Workspace]Rates
	peerRatesAt identifier.Instant
	// fairShare is the share of each workspace that asks for more, in tokens a
	// second, worked out at the instant worked.
	fairShare  float64
	computedAt identifier.Instant
	// deficits holds the workspaces that are given less than half of what they ask for,
	// or were so of late.
	deficits map[identifier.Workspace]*deficit
	// underserved are those for which that has lasted, with what they have.
	underserved underservedList
	// throttledUnderserved are those that are held back themselves.
	throttledUnderserved underservedList
	// baselines are the least that needy ones have with which a workspace is compared,
	// in tokens a second.
	baselines map[identifier.Workspace]float64
	// admissionRatios are what is admitted of workspaces that are held back, below 1.
	admissionRatios map[identifier.Workspace]float64
	// largestRequest is the size of the largestRequest request of late, in tokens.
	largestRequest float64
}

type usage struct{ requested, admitted, dispatched, completed, shed slidingRate }

const (
	// peerRatesTTL is how long what others said counts.
	peerRatesTTL = 2 * time.Second
	// recomputeInterval is how often the level is worked out.
	recomputeInterval = 100 * time.Millisecond
)

// New returns a sharer without a limit.
func New() *Sharer {
	return &Sharer{local: map[identifier.Workspace]*usage{}, fairShare: math.Inf(1), deficits: map[identifier.Workspace]*deficit{}, baselines: map[identifier.Workspace]float64{}, admissionRatios: map[identifier.Workspace]float64{}}
}

// SetCapacity replaces the rate that is shared, in tokens a second; zero is no
// limit.
func (s *Sharer) SetCapacity(capacity float64) { s.capacity = capacity }

// RecordRequest notes that workspace w asks for tokens.
func (s *Sharer) RecordRequest(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	s.largestRequest = max(s.largestRequest, float64(tokens))
	u.requested.add(now, float64(tokens))
	u.admitted.add(now, s.currentRatio(now, w)*float64(tokens))
}

// RecordDispatch notes that a request of workspace w for tokens was sent to a target.
func (s *Sharer) RecordDispatch(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).dispatched.add(now, float64(tokens))
}

// RecordCompletion notes that the caller of a request of workspace w for tokens has got its
// answer whole.
func (s *Sharer) RecordCompletion(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).completed.add(now, float64(tokens))
}

// RecordShed notes that a request of workspace w for tokens was left to other routers for
// want of processor time.
func (s *Sharer) RecordShed(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	u.shed.add(now, float64(tokens))
	u.admitted.add(now, -s.currentRatio(now, w)*float64(tokens))
}

func (s *Sharer) usage(w identifier.Workspace) *usage {
	u := s.local[w]
	if u == nil {
		u = &usage{}
		s.local[w] = u
	}
	return u
}

func (u *usage) rates(now identifier.Instant) Rates {
	return Rates{Requested: int(u.requested.perSecond(now)), Dispatched: int(u.dispatched.perSecond(now)), Completed: int(u.completed.perSecond(now)), Shed: int(u.shed.perSecond(now)),
		Admitted: max(0, int(u.admitted.perSecond(now)))}
}

// LocalRates returns the rates that this router has seen itself, for its peers.
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

// SetPeerRates notes the rates that all other routers have seen. What is held back is worked
// out by routers without requests too: callers may come to them at any time.
func (s *Sharer) SetPeerRates(now identifier.Instant, rates map[identifier.Workspace]Rates) {
	s.peerRates, s.peerRatesAt = rates, now
	s.recomputeIfDue(now)
}

// ShareRatio returns 1 for a workspace that has been given no more than its share,
// and less the more it has been given beyond: its share as a part of that.
func (s *Sharer) ShareRatio(now identifier.Instant, w identifier.Workspace) float64 {
	s.recomputeIfDue(now)
	dispatched := float64(s.workspaceTotal(now, w).Dispatched)
	if dispatched <= s.fairShare {
		return 1
	}
	return s.fairShare / dispatched
}

// recomputeIfDue works the level out anew if that is due.
func (s *Sharer) recomputeIfDue(now identifier.Instant) {
	if s.computedAt == 0 || now.Sub(s.computedAt) >= recomputeInterval {
		s.recompute(now)
	}
}

func (s *Sharer) workspaceTotal(now identifier.Instant, w identifier.Workspace) Rates {
	var sum Rates
	if u := s.local[w]; u != nil {
		sum = u.rates(now)
	}
	return sum.AddSigned(s.peerRates[w], 1)
}

// recompute finds the level at which the shares of all workspaces fill the capacity.
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

// totals returns the rates of all workspaces.
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

// MaxMinLevel returns the max-min level of the rates asked within the capacity, and
// infinity if all fit. It sorts the rates.
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
