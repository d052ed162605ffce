package sharer

import (
	"math"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// needyAfter is how long a workspace must have been given less than half of
	// what it asks for to count as needy.
	needyAfter = 200 * time.Millisecond
	// needyKept is how long it counts after that. Its callers may have come to another
	// router, whose report is not here yet, or a report may be lost: if others were
	// free at once, they would have many times its share until it counts again.
	needyKept = window
	// cutOff is the part of its share below which a workspace is given so little that
	// it is not others who keep it from more, but an outage.
	cutOff = 1.0 / 32
)

// needyOne is a workspace that is given less than half of what it asks for.
type needyOne struct {
	workspace identifier.Workspace
	// asked is a rate and had what others are compared with, in tokens a second.
	asked int
	had   float64
	// lowest and second are the one that has least among this and all that ask for
	// more, and the least of the others among them. Invariant: set by arrange.
	lowest *needyOne
	second *needyOne
}

// needyOnes are the workspaces in need. Once arranged, those that ask for most come
// first.
type needyOnes []needyOne

// arrange makes the list ready for questions.
func (n needyOnes) arrange() {
	sort.Slice(n, func(i, j int) bool { return n[i].asked > n[j].asked })
	var least, second *needyOne
	for i := range n {
		switch own := &n[i]; {
		case least == nil || own.had < least.had:
			least, second = own, least
		case second == nil || own.had < second.had:
			second = own
		}
		n[i].lowest, n[i].second = least, second
	}
}

// least returns the least that others have which ask for as much as workspace w has,
// or nearly so, in tokens a second, and infinity if there are none.
func (n needyOnes) least(w identifier.Workspace, own Rates) float64 {
	count := sort.Search(len(n), func(i int) bool { return comparable*n[i].asked < own.Dispatched })
	if count == 0 {
		return math.Inf(1)
	}
	found := n[count-1].lowest
	if found.workspace == w {
		found = n[count-1].second
	}
	if found == nil {
		return math.Inf(1)
	}
	return found.had
}

// largestKept is what is left of the size of the largest request each time that the
// level is worked out.
const largestKept = 0.99

// grain is how exactly a rate can be known, in tokens a second: the largest request is in
// the window or is not.
func (s *Sharer) grain() float64 { return s.largest / window.Seconds() }

// chance is how many of the largest requests a workspace may lack without being in need.
// Most workspaces send few and large ones, and one of many always lacks some by chance.
const chance = 3

// basis is what those are compared with who are held back for the sake of a workspace
// that has so much, in tokens a second. One that asks for less than its share is not kept
// from it by others that have no more than it asks for.
func (s *Sharer) basis(r Rates, had float64) float64 {
	had = max(had, s.grain())
	if asked := float64(r.Requested); asked <= s.level {
		return max(had, asked)
	}
	return had
}

// need is what a workspace in need was last seen to have.
type need struct {
	// since is when it came to be in need, and last when it was seen so last.
	since, last identifier.Instant
	// asked is a rate and had what others are compared with, in tokens a second.
	asked int
	had   float64
}

// lasting tells whether the need lasts long enough to count.
func (n *need) lasting() bool { return n.last.Sub(n.since) >= needyAfter }

// noteNeeds notes which workspaces are given less than half of what they ask for. One
// that is held back itself counts with what it is allowed for the sake of the others:
// what it lacks of that is no reason to hold back those who would hold it back in turn.
func (s *Sharer) noteNeeds(now identifier.Instant, totals map[identifier.Workspace]Rates) {
	for w, r := range totals {
		if _, held := s.parts[w]; !held {
			s.noteNeed(now, w, r, float64(r.had()))
		}
	}
	s.kept = s.needyOnes(now, s.kept[:0], false)
	for w := range s.parts {
		r, known := totals[w]
		if least := s.kept.least(w, r); known && !math.IsInf(least, 1) {
			s.noteNeed(now, w, r, max(float64(r.had()), lead*least-s.grain()))
		}
	}
	s.heldToo = s.needyOnes(now, s.heldToo[:0], true)
}

// noteNeed notes whether a workspace that has so much, to a grain, is in need. One that has
// next to nothing is not kept from more by others.
func (s *Sharer) noteNeed(now identifier.Instant, w identifier.Workspace, r Rates, had float64) {
	n := s.needy[w]
	if had < cutOff*min(s.level, s.capacity) {
		delete(s.needy, w)
		return
	}
	if float64(r.Requested) <= 2*(had+chance*s.grain()) {
		if n != nil && 2*r.Requested > n.asked {
			delete(s.needy, w)
		}
		return
	}
	if n == nil {
		n = &need{since: now}
		s.needy[w] = n
	}
	n.last, n.asked, n.had = now, r.Requested, s.basis(r, had)
}

// needyOnes appends those whose need has lasted, the held ones or the others, and
// forgets those that have not been in need of late.
func (s *Sharer) needyOnes(now identifier.Instant, to needyOnes, heldOnes bool) needyOnes {
	for w, n := range s.needy {
		_, held := s.parts[w]
		seen := n.last == now
		switch {
		case held != heldOnes:
		case !seen && (now.Sub(n.last) > needyKept || !n.lasting()):
			delete(s.needy, w)
		case n.lasting():
			to = append(to, needyOne{workspace: w, asked: n.asked, had: n.had})
		}
	}
	to.arrange()
	return to
}
