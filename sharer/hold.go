package sharer

import (
	"math"
	"time"

	"buckthorndrum/identifier"
)

// Admits returns the part of workspace w's requests that is not held back: from
// leastPart to 1, or zero while it has been given all that it may have at once.
func (s *Sharer) Admits(now identifier.Instant, w identifier.Workspace) float64 {
	s.refresh(now)
	return s.part(now, w)
}

// part returns the part of a workspace's requests that is admitted, as it was last
// worked out.
func (s *Sharer) part(now identifier.Instant, w identifier.Workspace) float64 {
	if s.full(now, w) {
		return 0
	}
	if part, held := s.parts[w]; held {
		return part
	}
	return 1
}

const (
	// lead is how many times what a needy workspace has another may have. Nobody may
	// have twice as much in any second; the rest is left to chance, as requests are
	// few and come in lumps.
	lead = 1.3
	// leadMost is from how many times on only a part of its requests is admitted.
	leadMost = 1.6
	// comparable is how many times what a needy one asks for another may have for
	// the two to be compared. Whoever asks for much less is served sooner by its
	// standing than by holding others back.
	comparable = 2
	// leastPart is the least part that is admitted, as long as the workspace is not
	// full.
	leastPart = 0.01
	// leastTaken is the least part of what is admitted that targets are taken to have
	// room for.
	leastTaken = 0.1
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

// full tells whether this router has given a workspace its own part of all that it
// may have. Parts follow what all routers have given only after a while: without this
// bound, which waits for no message, a load that comes all of a sudden would have
// many times its share until then.
func (s *Sharer) full(now identifier.Instant, w identifier.Workspace) bool {
	had, limited := s.limits[w]
	u := s.own[w]
	if !limited || u == nil {
		return false
	}
	own := u.rates(now)
	all := own.Plus(s.others[w], 1)
	part := float64(own.open()) / float64(max(1, all.open()))
	return float64(own.had()) >= lead*had*part
}

// holdBack works out the parts of the workspaces that have more than leadMost times
// what a needy one has, and of those that were held back, so that they get lead times
// that.
func (s *Sharer) holdBack(totals map[identifier.Workspace]Rates) {
	for w := range s.parts {
		if _, known := totals[w]; !known {
			delete(s.parts, w)
		}
	}
	clear(s.limits)
	if len(s.kept) == 0 && len(s.parts) == 0 {
		return
	}
	for w, r := range totals {
		had := min(s.kept.least(w, r), s.heldToo.least(w, r))
		if !math.IsInf(had, 1) {
			s.limits[w] = had
		}
		if _, held := s.parts[w]; held || float64(r.had()) > leadMost*had {
			s.hold(w, r, lead*had)
		}
	}
}

// hold admits so much of what a workspace asks for that it gets what is allowed, as
// far as targets have room: they take the same part of it as they did of late. All
// three rates are of one window, so that none lags behind the others.
func (s *Sharer) hold(w identifier.Workspace, r Rates, allowed float64) {
	taken := min(1, max(leastTaken, float64(r.had())/float64(max(1, r.Admitted))))
	part := allowed / (taken * float64(max(1, r.open())))
	if part >= 1 {
		delete(s.parts, w)
		return
	}
	s.parts[w] = max(leastPart, part)
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
	had += s.grain()
	if asked := float64(r.Asked); asked <= s.level {
		return max(had, asked)
	}
	return had
}

// need is what a workspace in need was last seen to have.
type need struct {
	// since is when it came to be in need, and last when it was seen so last.
	since, last identifier.Instant
	// asked and had are rates, in tokens a second.
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
	if float64(r.Asked) <= 2*(had+chance*s.grain()) {
		if n != nil && 2*r.Asked > n.asked {
			delete(s.needy, w)
		}
		return
	}
	if n == nil {
		n = &need{since: now}
		s.needy[w] = n
	}
	n.last, n.asked, n.had = now, r.Asked, s.basis(r, had)
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
