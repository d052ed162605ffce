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
	own      map[identifier.Workspace]*usage
	// others is what all other routers have seen, heard when they said so.
	others map[identifier.Workspace]Rates
	heard  identifier.Instant
	// level is the share of each workspace that asks for more, in tokens a
	// second, worked out at the instant worked.
	level  float64
	worked identifier.Instant
	// needy holds the workspaces that are given less than half of what they ask for,
	// or were so of late.
	needy map[identifier.Workspace]*need
	// kept are those for which that has lasted, with what they have.
	kept needyOnes
	// heldToo are those that are held back themselves.
	heldToo needyOnes
	// limits are the least that needy ones have with which a workspace is compared,
	// in tokens a second.
	limits map[identifier.Workspace]float64
	// parts are what is admitted of workspaces that are held back, below 1.
	parts map[identifier.Workspace]float64
	// largest is the size of the largest request of late, in tokens.
	largest float64
}

type usage struct{ asked, admitted, given, whole, left rate }

const (
	// othersLife is how long what others said counts.
	othersLife = 2 * time.Second
	// workEvery is how often the level is worked out.
	workEvery = 100 * time.Millisecond
)

// New returns a sharer without a limit.
func New() *Sharer {
	return &Sharer{own: map[identifier.Workspace]*usage{}, level: math.Inf(1), needy: map[identifier.Workspace]*need{}, limits: map[identifier.Workspace]float64{}, parts: map[identifier.Workspace]float64{}}
}

// SetCapacity replaces the rate that is shared, in tokens a second; zero is no
// limit.
func (s *Sharer) SetCapacity(c float64) { s.capacity = c }

// RecordRequest notes that workspace w asks for tokens.
func (s *Sharer) RecordRequest(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	s.largest = max(s.largest, float64(tokens))
	u.asked.add(now, float64(tokens))
	u.admitted.add(now, s.part(now, w)*float64(tokens))
}

// RecordDispatch notes that a request of workspace w for tokens was sent to a target.
func (s *Sharer) RecordDispatch(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).given.add(now, float64(tokens))
}

// RecordCompletion notes that the caller of a request of workspace w for tokens has got its
// answer whole.
func (s *Sharer) RecordCompletion(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).whole.add(now, float64(tokens))
}

// RecordShed notes that a request of workspace w for tokens was left to other routers for
// want of processor time.
func (s *Sharer) RecordShed(now identifier.Instant, w identifier.Workspace, tokens int) {
	u := s.usage(w)
	u.left.add(now, float64(tokens))
	u.admitted.add(now, -s.part(now, w)*float64(tokens))
}

func (s *Sharer) usage(w identifier.Workspace) *usage {
	u := s.own[w]
	if u == nil {
		u = &usage{}
		s.own[w] = u
	}
	return u
}

func (u *usage) rates(now identifier.Instant) Rates {
	return Rates{Requested: int(u.asked.perSecond(now)), Dispatched: int(u.given.perSecond(now)), Completed: int(u.whole.perSecond(now)), Shed: int(u.left.perSecond(now)),
		Admitted: max(0, int(u.admitted.perSecond(now)))}
}

// LocalRates returns the rates that this router has seen itself, for its peers.
func (s *Sharer) LocalRates(now identifier.Instant) map[identifier.Workspace]Rates {
	rates := make(map[identifier.Workspace]Rates, len(s.own))
	for w, u := range s.own {
		r := u.rates(now)
		if r == (Rates{}) {
			delete(s.own, w)
			continue
		}
		rates[w] = r
	}
	return rates
}

// SetPeerRates notes the rates that all other routers have seen. What is held back is worked
// out by routers without requests too: callers may come to them at any time.
func (s *Sharer) SetPeerRates(now identifier.Instant, rates map[identifier.Workspace]Rates) {
	s.others, s.heard = rates, now
	s.refresh(now)
}

// ShareRatio returns 1 for a workspace that has been given no more than its share,
// and less the more it has been given beyond: its share as a part of that.
func (s *Sharer) ShareRatio(now identifier.Instant, w identifier.Workspace) float64 {
	s.refresh(now)
	given := float64(s.total(now, w).Dispatched)
	if given <= s.level {
		return 1
	}
	return s.level / given
}

// refresh works the level out anew if that is due.
func (s *Sharer) refresh(now identifier.Instant) {
	if s.worked == 0 || now.Sub(s.worked) >= workEvery {
		s.work(now)
	}
}

func (s *Sharer) total(now identifier.Instant, w identifier.Workspace) Rates {
	var sum Rates
	if u := s.own[w]; u != nil {
		sum = u.rates(now)
	}
	return sum.AddSigned(s.others[w], 1)
}

// work finds the level at which the shares of all workspaces fill the capacity.
func (s *Sharer) work(now identifier.Instant) {
	s.worked = now
	s.largest *= largestKept
	if now.Sub(s.heard) > othersLife {
		s.others = nil
	}
	s.level = math.Inf(1)
	if s.capacity <= 0 {
		clear(s.parts)
		clear(s.limits)
		clear(s.needy)
		return
	}
	totals := s.totals(now)
	asked := make([]float64, 0, len(totals))
	for _, r := range totals {
		asked = append(asked, float64(r.Requested))
	}
	s.level = MaxMinLevel(asked, s.capacity)
	s.noteNeeds(now, totals)
	s.holdBack(totals)
}

// totals returns the rates of all workspaces.
func (s *Sharer) totals(now identifier.Instant) map[identifier.Workspace]Rates {
	totals := make(map[identifier.Workspace]Rates, len(s.others)+len(s.own))
	for w := range s.own {
		totals[w] = s.total(now, w)
	}
	for w := range s.others {
		totals[w] = s.total(now, w)
	}
	return totals
}

// MaxMinLevel returns the max-min level of the rates asked within the capacity, and
// infinity if all fit. It sorts the rates.
func MaxMinLevel(asked []float64, capacity float64) float64 {
	sort.Float64s(asked)
	for i, a := range asked {
		even := capacity / float64(len(asked)-i)
		if a > even {
			return even
		}
		capacity -= a
	}
	return math.Inf(1)
}
