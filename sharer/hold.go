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
	// lead is how many times what a needy workspace has another may have that is
	// held back for its sake. Nobody may have twice as much.
	lead = 1.3
	// leadMost is from how many times on it is held back. What lies between is left
	// to chance: requests are few and come in lumps.
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
	return float64(own.had()) >= leadMost*had*part
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

// noteNeeds notes which workspaces are given less than half of what they ask for. One
// that is held back itself counts with what it is allowed for the sake of the others:
// what it lacks of that is no reason to hold back those who would hold it back in turn.
func (s *Sharer) noteNeeds(now identifier.Instant, totals map[identifier.Workspace]Rates) {
	s.kept, s.heldToo = s.kept[:0], s.heldToo[:0]
	for w, r := range totals {
		if _, held := s.parts[w]; !held && s.inNeed(now, w, r, float64(r.had())) {
			s.kept = append(s.kept, needyOne{workspace: w, asked: r.Asked, had: float64(r.had())})
		}
	}
	s.kept.arrange()
	for w := range s.parts {
		r := totals[w]
		if had := max(float64(r.had()), lead*s.kept.least(w, r)); s.inNeed(now, w, r, had) {
			s.heldToo = append(s.heldToo, needyOne{workspace: w, asked: r.Asked, had: had})
		}
	}
	s.heldToo.arrange()
}

// inNeed tells whether a workspace has had less than half of what it asks for, for
// some time, and not next to nothing.
func (s *Sharer) inNeed(now identifier.Instant, w identifier.Workspace, r Rates, had float64) bool {
	if float64(r.Asked) <= 2*had || had < cutOff*min(s.level, s.capacity) {
		delete(s.needy, w)
		return false
	}
	since, known := s.needy[w]
	if !known {
		s.needy[w] = now
		return false
	}
	return now.Sub(since) >= needyAfter
}
