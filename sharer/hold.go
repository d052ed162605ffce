package sharer

import (
	"math"
	"time"

	"buckthorndrum/identifier"
)

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
	// needy one asks for about as much. Nobody may have twice as much.
	lead = 1.3
	// comparable is how many times what a needy one asks for another may have for
	// the two to be compared. Whoever asks for much less is served sooner by its
	// standing than by holding others back.
	comparable = 2
	// partGain is the power of the ratio of what is allowed to what was given by
	// which the part of a workspace changes at each step. It is low, as rates show
	// what has changed only after a window and two messages between routers.
	partGain = 0.2
	// leastPart is the least part that is admitted.
	leastPart = 0.01
	// needyAfter is how long a workspace must have been given less than half of
	// what it asks for to count as needy.
	needyAfter = 200 * time.Millisecond
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
// needy ones that ask for as much or nearly so.
func (s *Sharer) allowed(w identifier.Workspace, own Rates) float64 {
	least := math.Inf(1)
	for id, r := range s.kept {
		if id != w && comparable*r.Asked >= own.Given {
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
