package sharer

import (
	"math"

	"buckthorndrum/identifier"
)

// AdmissionRatio returns the part of workspace w's requests that is not held back: from
// leastPart to 1, or zero while it has been given all that it may have at once.
func (s *Sharer) AdmissionRatio(now identifier.Instant, w identifier.Workspace) float64 {
	s.recomputeIfDue(now)
	return s.currentRatio(now, w)
}

// currentRatio returns the currentRatio of a workspace's requests that is admitted, as it was last
// worked out.
func (s *Sharer) currentRatio(now identifier.Instant, w identifier.Workspace) float64 {
	if s.atLocalLimit(now, w) {
		return 0
	}
	if ratio, throttled := s.admissionRatios[w]; throttled {
		return ratio
	}
	return 1
}

const (
	// maxAdvantage is how many times what a needy workspace has another may have. Nobody may
	// have twice as much in any second; the rest is left to chance, as requests are
	// few and come in lumps.
	maxAdvantage = 1.3
	// throttleThreshold is from how many times on only a part of its requests is admitted.
	throttleThreshold = 1.6
	// comparableRatio is how many times what a needy one asks for another may have for
	// the two to be compared. Whoever asks for much less is served sooner by its
	// standing than by holding others back.
	comparableRatio = 2
	// minAdmissionRatio is the least part that is admitted, as long as the workspace is not
	// full.
	minAdmissionRatio = 0.01
	// minServedRatio is the least part of what is admitted that targets are taken to have
	// room for.
	minServedRatio = 0.1
)

// atLocalLimit tells whether this router has given a workspace its own part of all that it
// may have. Parts follow what all routers have given only after a while: without this
// bound, which waits for no message, a load that comes all of a sudden would have
// many times its share until then.
func (s *Sharer) atLocalLimit(now identifier.Instant, w identifier.Workspace) bool {
	baseline, limited := s.baselines[w]
	u := s.local[w]
	if !limited || u == nil {
		return false
	}
	local := u.rates(now)
	total := local.AddSigned(s.peerRates[w], 1)
	localPart := float64(local.unshed()) / float64(max(1, total.unshed()))
	return float64(local.served()) >= maxAdvantage*baseline*localPart
}

// throttle works out the parts of the workspaces that have more than leadMost times
// what a needy one has, and of those that were held back, so that they get lead times
// that.
func (s *Sharer) throttle(totals map[identifier.Workspace]Rates) {
	for w := range s.admissionRatios {
		if _, known := totals[w]; !known {
			delete(s.admissionRatios, w)
		}
	}
	clear(s.baselines)
	if len(s.underserved) == 0 && len(s.admissionRatios) == 0 {
		return
	}
	for w, r := range totals {
		baseline := min(s.underserved.minBaseline(w, r), s.throttledUnderserved.minBaseline(w, r))
		if !math.IsInf(baseline, 1) {
			s.baselines[w] = baseline
		}
		if _, throttled := s.admissionRatios[w]; throttled || float64(r.served()) > throttleThreshold*baseline {
			s.setAdmissionRatio(w, r, maxAdvantage*baseline)
		}
	}
}

// setAdmissionRatio admits so much of what a workspace asks for that it gets what is allowed, as
// far as targets have room: they take the same part of it as they did of late. All
// three rates are of one window, so that none lags behind the others.
func (s *Sharer) setAdmissionRatio(w identifier.Workspace, r Rates, allowed float64) {
	servedRatio := min(1, max(minServedRatio, float64(r.served())/float64(max(1, r.Admitted))))
	ratio := allowed / (servedRatio * float64(max(1, r.unshed())))
	if ratio >= 1 {
		delete(s.admissionRatios, w)
		return
	}
	s.admissionRatios[w] = max(minAdmissionRatio, ratio)
}
