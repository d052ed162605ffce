package sharer

import (
	"math"

	"buckthorndrum/identifier"
)

// AdmissionRatio returns the part of workspace w's requests that is not held back: from
// leastPart to 1, or zero while it has been given all that it may have at once.
func (s *Sharer) AdmissionRatio(now identifier.Instant, w identifier.Workspace) float64 {
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
	all := own.AddSigned(s.others[w], 1)
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
