package sharer

import (
	"math"

	"buckthorndrum/identifier"
)

// AdmissionRatio returns the part of workspace w's requests to admit. It is zero while w
// is at its limit on this router, see atLocalLimit. Otherwise it is at least
// minAdmissionRatio, and 1 if w is not throttled.
func (s *Sharer) AdmissionRatio(now identifier.Instant, w identifier.Workspace) float64 {
	s.recomputeIfDue(now)
	return s.currentRatio(now, w)
}

// currentRatio returns the admission ratio of workspace w without recomputing the shares.
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
	// maxAdvantage is how many times the baseline of an underserved workspace another may
	// get. The goal is less than twice as much in any second. The rest is a margin for
	// chance, as requests are few and come in bursts.
	maxAdvantage = 1.3
	// throttleThreshold is how many times that baseline a workspace must exceed to be
	// throttled.
	throttleThreshold = 1.6
	// comparableRatio is how many times the demand of an underserved workspace another
	// may get for the two to be compared. A workspace with a much lower demand is served
	// sooner through its share ratio than by throttling others.
	comparableRatio = 2
	// minAdmissionRatio is the lowest admission ratio of a workspace below its local
	// limit.
	minAdmissionRatio = 0.01
	// minServedRatio is the lowest part of the admitted requests that the targets are
	// assumed to have room for.
	minServedRatio = 0.1
)

// atLocalLimit reports whether this router has served workspace w its part of the rate
// that w may get, which is maxAdvantage times the baseline. The part is in proportion to
// the unshed requests of w at this router. Admission ratios follow the rates of all
// routers only with a delay. Until they do, this bound, which waits for no message, keeps
// a sudden load from getting many times its share.
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

// throttle sets the admission ratios of the workspaces that get more than
// throttleThreshold times the baseline of an underserved one, and of those that were
// already throttled, so that each gets maxAdvantage times that baseline.
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

// setAdmissionRatio sets the admission ratio at which workspace w gets the allowed rate,
// in tokens per second, as far as the targets have room: it assumes that they serve the
// same part of the admitted requests as in the last window. All three rates are of the
// same window, so that none lags behind the others. A ratio of 1 or more ends the
// throttling.
func (s *Sharer) setAdmissionRatio(w identifier.Workspace, r Rates, allowed float64) {
	servedRatio := min(1, max(minServedRatio, float64(r.served())/float64(max(1, r.Admitted))))
	ratio := allowed / (servedRatio * float64(max(1, r.unshed())))
	if ratio >= 1 {
		delete(s.admissionRatios, w)
		return
	}
	s.admissionRatios[w] = max(minAdmissionRatio, ratio)
}
