package sharer

import (
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Rates are what one workspace asked for and was given, in tokens a second.
type Rates struct {
	_     struct{} `cbor:",toarray"`
	Asked int
	// Given is what was sent to targets, and Begun the part of it that they have
	// begun to answer.
	Given int
	Begun int
	// Left is the part of what was asked that routers short of processor time have
	// left to others.
	Left int
}

// had returns what the workspace counts as having when others are compared with
// it. A router that is short of processor time sends requests that no target begins
// in time, so that only what was begun counts there.
func (r Rates) had() int {
	if r.Left > r.Asked/leftPart {
		return r.Begun
	}
	return r.Given
}

// leftPart is the part of what is asked from which on what is left to others
// counts.
const leftPart = 4

// Plus returns the sum of rates and sign times others, which is not negative.
func (r Rates) Plus(o Rates, sign int) Rates {
	return Rates{Asked: max(0, r.Asked+sign*o.Asked), Given: max(0, r.Given+sign*o.Given), Begun: max(0, r.Begun+sign*o.Begun), Left: max(0, r.Left+sign*o.Left)}
}

// Check reports whether decoded rates are well formed.
func (r Rates) Check() error {
	if r.Asked < 0 || r.Given < 0 || r.Begun < 0 || r.Left < 0 {
		return errors.Errorf("rates %+v: one is negative", r)
	}
	return nil
}

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
	// needy holds since when a workspace is given less than half of what it asks
	// for.
	needy map[identifier.Workspace]identifier.Instant
	// kept are those for which that has lasted, with what they have.
	kept map[identifier.Workspace]Rates
	// parts are what is admitted of workspaces that are held back, below 1.
	parts map[identifier.Workspace]float64
}

type usage struct{ asked, given, begun, left rate }

const (
	// othersLife is how long what others said counts.
	othersLife = 2 * time.Second
	// workEvery is how often the level is worked out.
	workEvery = 100 * time.Millisecond
)

// New returns a sharer without a limit.
func New() *Sharer {
	return &Sharer{own: map[identifier.Workspace]*usage{}, level: math.Inf(1), needy: map[identifier.Workspace]identifier.Instant{}, kept: map[identifier.Workspace]Rates{}, parts: map[identifier.Workspace]float64{}}
}

// SetCapacity replaces the rate that is shared, in tokens a second; zero is no
// limit.
func (s *Sharer) SetCapacity(c float64) { s.capacity = c }

// Asked notes that workspace w asks for tokens.
func (s *Sharer) Asked(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).asked.add(now, float64(tokens))
}

// Given notes that a request of workspace w for tokens was sent to a target.
func (s *Sharer) Given(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).given.add(now, float64(tokens))
}

// Begun notes that a target has begun to answer a request of workspace w for
// tokens.
func (s *Sharer) Begun(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).begun.add(now, float64(tokens))
}

// Left notes that a request of workspace w for tokens was left to other routers for
// want of processor time.
func (s *Sharer) Left(now identifier.Instant, w identifier.Workspace, tokens int) {
	s.usage(w).left.add(now, float64(tokens))
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
	return Rates{Asked: int(u.asked.perSecond(now)), Given: int(u.given.perSecond(now)), Begun: int(u.begun.perSecond(now)), Left: int(u.left.perSecond(now))}
}

// Own returns the rates that this router has seen itself, for its peers.
func (s *Sharer) Own(now identifier.Instant) map[identifier.Workspace]Rates {
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

// Heard notes the rates that all other routers have seen.
func (s *Sharer) Heard(now identifier.Instant, rates map[identifier.Workspace]Rates) {
	s.others, s.heard = rates, now
}

// Standing returns 1 for a workspace that has been given no more than its share,
// and less the more it has been given beyond: its share as a part of that.
func (s *Sharer) Standing(now identifier.Instant, w identifier.Workspace) float64 {
	s.refresh(now)
	given := float64(s.total(now, w).Given)
	if given <= s.level {
		return 1
	}
	return s.level / given
}

// Admits returns the part of workspace w's requests that is not held back, from
// leastPart to 1.
func (s *Sharer) Admits(now identifier.Instant, w identifier.Workspace) float64 {
	s.refresh(now)
	if part, held := s.parts[w]; held {
		return part
	}
	return 1
}

const (
	// lead is how many times what a needy workspace has another may have, if the
	// needy one asks for as much. Nobody may have twice as much.
	lead = 1.4
	// partGain is the power of the ratio of what is allowed to what was given by
	// which the part of a workspace changes at each step. It is low, as rates show
	// what has changed only after a window and two messages between routers.
	partGain = 0.18
	// leastPart is the least part that is admitted.
	leastPart = 0.01
	// needyAfter is how long a workspace must have been given less than half of
	// what it asks for to count as needy.
	needyAfter = 500 * time.Millisecond
)

// holdBack moves the parts of the workspaces that have more than lead times what a
// needy one has, and of those that were held back, one step towards that.
func (s *Sharer) holdBack(totals map[identifier.Workspace]Rates) {
	for w := range s.parts {
		if _, known := totals[w]; !known {
			delete(s.parts, w)
		}
	}
	for w, own := range totals {
		part, held := s.parts[w]
		if !held {
			part = 1
		}
		ratio := s.allowed(w, own) / float64(max(1, own.Given))
		part = min(1, max(leastPart, part*math.Pow(ratio, partGain)))
		if part == 1 {
			delete(s.parts, w)
			continue
		}
		s.parts[w] = part
	}
}

// allowed returns what workspace w with some rates may be given, for the sake of
// needy ones that ask for as much.
func (s *Sharer) allowed(w identifier.Workspace, own Rates) float64 {
	least := math.Inf(1)
	for id, r := range s.kept {
		if id != w && r.Asked >= own.Given {
			least = min(least, lead*float64(max(1, r.had())))
		}
	}
	return least
}

// noteNeed notes whether a workspace is given less than half of what it asks for. One
// that is held back itself is not in need: it would hold back others, and they it.
func (s *Sharer) noteNeed(now identifier.Instant, w identifier.Workspace, r Rates) {
	if _, held := s.parts[w]; held || r.Asked <= 2*r.had() || r.Asked == 0 {
		delete(s.needy, w)
		return
	}
	since, known := s.needy[w]
	if !known {
		s.needy[w] = now
		return
	}
	if now.Sub(since) >= needyAfter {
		s.kept[w] = r
	}
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
	return sum.Plus(s.others[w], 1)
}

// work finds the level at which the shares of all workspaces fill the capacity.
func (s *Sharer) work(now identifier.Instant) {
	s.worked = now
	if now.Sub(s.heard) > othersLife {
		s.others = nil
	}
	s.level = math.Inf(1)
	if s.capacity <= 0 {
		return
	}
	clear(s.kept)
	totals := s.totals(now)
	asked := make([]float64, 0, len(totals))
	for w, r := range totals {
		asked = append(asked, float64(r.Asked))
		s.noteNeed(now, w, r)
	}
	s.level = Fill(asked, s.capacity)
	s.holdBack(totals)
}

// totals returns the rates of all workspaces, and forgets the needy ones among those
// that have gone.
func (s *Sharer) totals(now identifier.Instant) map[identifier.Workspace]Rates {
	totals := make(map[identifier.Workspace]Rates, len(s.others)+len(s.own))
	for w := range s.own {
		totals[w] = s.total(now, w)
	}
	for w := range s.others {
		totals[w] = s.total(now, w)
	}
	for w := range s.needy {
		if _, known := totals[w]; !known {
			delete(s.needy, w)
		}
	}
	return totals
}

// Fill returns the max-min level of the rates asked within the capacity, and
// infinity if all fit. It sorts the rates.
func Fill(asked []float64, capacity float64) float64 {
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
