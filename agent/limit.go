package agent

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/permitter"
)

// maxPacingWait is how long a request without a deadline waits at most for its turn.
const maxPacingWait = time.Second

// recordLimit records the limit that a response of the target names, or that it names
// none.
func (a *Agent) recordLimit(l permitter.Limit) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	old := a.state.pacing.Limit()
	a.state.pacing.SetLimit(l)
	if l.Malformed && !a.state.malformedLimit {
		a.metrics.notices.WithLabelValues(noticeMalformedLimit).Inc()
		a.log.Warn("limit not understood", zap.Float64("taken_for", l.PerSecond))
	}
	a.state.malformedLimit = l.Malformed
	switch perSecond := a.state.pacing.Limit(); perSecond {
	case old:
	case 0:
		a.log.Info("target names no limit any more")
	default:
		a.metrics.notices.WithLabelValues(noticeLimit).Inc()
		a.log.Info("target names a limit", zap.Float64("per_second", perSecond))
	}
}

// waitForTurn waits until a request may be sent to a target that names a limit. It
// returns an error that wraps errNotRun at once if that is after the request's deadline.
// A cancellation takes a turn and does not wait for it, as it relieves the target.
func (a *Agent) waitForTurn(r *http.Request) error {
	longest := maxPacingWait
	if deadline, ok := r.Context().Deadline(); ok {
		longest = time.Until(deadline)
	}
	a.state.mu.Lock()
	wait, ok := a.state.pacing.Reserve(now(), longest)
	a.state.mu.Unlock()
	switch {
	case r.Method == http.MethodDelete || wait <= 0 && ok:
		return nil
	case !ok:
		return fmt.Errorf("%w: target is at its limit for %s", errNotRun, wait)
	}
	select {
	case <-time.After(wait):
		return nil
	case <-r.Context().Done():
		return fmt.Errorf("%w: %w", errNotRun, r.Context().Err())
	}
}
