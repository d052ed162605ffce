package admitter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// isolatedRetryAfter is how long a request is to wait whose only target takes no work.
const isolatedRetryAfter = time.Second

// chooseIsolated chooses the one target for a request that is isolated: the listed one
// with the highest hash of req.Isolate and its id, of those that have not crashed if there
// are any. If that target takes no work the request is refused.
func (a *Admitter) chooseIsolated(now identifier.Instant, p *pool, req Request) Choice {
	only := isolatedTarget(p, req)
	if only == nil {
		return Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	}
	if d := only.admissionDecision(now); d.Reason == permitter.WarmingUp {
		return Choice{Refused: TargetsWarmingUp, Wait: max(isolatedRetryAfter, d.Until.Sub(now))}
	}
	if !eligible(now, only, &req) {
		return Choice{Refused: TargetsBusy, Wait: isolatedRetryAfter}
	}
	c := a.evaluate(now, only, req, prefixKeys(req.Model, req.Segments), 0)
	if !fits(c, req) {
		return Choice{Refused: TargetsBusy, Wait: c.wait}
	}
	return Choice{Target: only.ID, Wait: c.wait, PrefillTokens: c.prefillTokens}
}

// isolatedTarget returns the one target for a request that is isolated, nil if all leave, are
// evacuated or not permitted.
func isolatedTarget(p *pool, req Request) *targetState {
	var only *targetState
	var highest uint64
	onlyCrashed := false
	for _, t := range p.targets {
		if t.admission.ListedLeaving() || t.admission.LeavingSince() != 0 || t.admission.Evacuated() || !req.permits(t) {
			continue
		}
		crashed := slices.Contains(req.Crashed, t.ID)
		h := mix(req.Isolate ^ xxhash.Sum64String(string(t.ID)))
		if only == nil || onlyCrashed && !crashed || onlyCrashed == crashed && h > highest {
			only, highest, onlyCrashed = t, h, crashed
		}
	}
	return only
}
