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
	if s.full(now, w) {
		return 0
	}
	if part, held := s.parts[w]; held {
		return part
	}
	return 1
}

const (
	// lead is how many times what a needy workspace has another may have, if the
	// needy one asks for about as much. Nobody may have twice as much.
	lead = 1.3
	// burst is how many times what it is allowed a workspace may have been given
	// within a window. With lead it is below twice what the needy one has.
	burst = 1.25
	// comparable is how many times what a needy one asks for another may have for
	// the two to be compared. Whoever asks for much less is served sooner by its
	// standing than by holding others back.
	comparable = 2
	// partGain is the power of the ratio of what is allowed to what was given by
	// which the part of a workspace changes in each workEvery. It is low, as rates
	// show what has changed only after a window and two messages between routers.
	partGain = 0.2
	// gainMost bounds that power where the last change is long ago.
	gainMost = 1
	// leastPart is the least part that is admitted, as long as the workspace is not
	// full.
	leastPart = 0.01
	// needyAfter is how long a workspace must have been given less than half of
	// what it asks for to count as needy.
	needyAfter = 200 * time.Millisecond
)

// full tells whether this router has given a workspace burst times its own part of
// what that is allowed. Parts follow what all routers have given only after a while:
// without this bound, which waits for no message, a load that comes all of a sudden
// would have many times its share until then.
func (s *Sharer) full(now identifier.Instant, w identifier.Workspace) bool {
	limit, limited := s.limits[w]
	u := s.own[w]
	if !limited || u == nil {
		return false
	}
	own := u.rates(now)
	all := own.Plus(s.others[w], 1)
	return float64(own.had()) >= burst*limit*float64(own.open())/float64(max(1, all.open()))
}

// holdBack moves the parts of the workspaces that have more than lead times what a
// needy one has, and of those that were held back, towards that. The step is that
// of the time since the last one.
func (s *Sharer) holdBack(elapsed time.Duration, totals map[identifier.Workspace]Rates) {
	for w := range s.parts {
		if _, known := totals[w]; !known {
			delete(s.parts, w)
		}
	}
	clear(s.limits)
	if len(s.kept) == 0 && len(s.parts) == 0 {
		return
	}
	gain := min(gainMost, partGain*elapsed.Seconds()/workEvery.Seconds())
	for w, own := range totals {
		limit := s.kept.allowed(w, own)
		if !math.IsInf(limit, 1) {
			s.limits[w] = limit
		}
		s.move(w, math.Pow(limit/float64(max(1, own.had())), gain))
	}
}

// move changes the part of a workspace by a factor.
func (s *Sharer) move(w identifier.Workspace, factor float64) {
	part, held := s.parts[w]
	if !held {
		part = 1
	}
	part = min(1, max(leastPart, part*factor))
	if part == 1 {
		delete(s.parts, w)
		return
	}
	s.parts[w] = part
}

// noteNeed notes whether a workspace is given less than half of what it asks for.
func (s *Sharer) noteNeed(now identifier.Instant, w identifier.Workspace, r Rates) {
	had := s.hadIfFree(w, r)
	if r.Asked <= 2*had {
		delete(s.needy, w)
		return
	}
	since, known := s.needy[w]
	if !known {
		s.needy[w] = now
		return
	}
	if now.Sub(since) >= needyAfter {
		s.kept = append(s.kept, needyOne{workspace: w, asked: r.Asked, had: had})
	}
}

// hadIfFree returns what a workspace has, or is allowed if it is held back: what it
// lacks of that is no reason to hold back others, who would hold it back in turn.
func (s *Sharer) hadIfFree(w identifier.Workspace, r Rates) int {
	limit, limited := s.limits[w]
	if _, held := s.parts[w]; held && limited {
		return max(r.had(), int(limit))
	}
	return r.had()
}
