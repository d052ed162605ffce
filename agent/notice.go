package agent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

const (
	// leavingHeader is the response header by which a target gives notice that it is
	// leaving. Its value is leavingValue.
	leavingHeader = "Target-Leaving"
	leavingValue  = "1"
	// pauseHeader is the header of a 503 response by which a target asks for a pause, in
	// seconds.
	pauseHeader = "Retry-After"
	// limitHeader is the header of a response by which a target names the rate of requests
	// that it takes, in requests a second.
	limitHeader = "Target-Limit"
)

// Kinds of notices, as label values of a metric.
const (
	noticeLeaving        = "leaving"
	noticePause          = "pause"
	noticeMalformedPause = "malformed_pause"
	noticeLimit          = "limit"
	noticeMalformedLimit = "malformed_limit"
)

// noticeTransport passes the status and the header of each response of the target to
// onResponse. It sends a request once beforeSend has returned nil.
type noticeTransport struct {
	http.RoundTripper
	beforeSend func(r *http.Request) error
	onResponse func(status int, h http.Header)
}

// RoundTrip implements http.RoundTripper.
func (t noticeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.beforeSend(r); err != nil {
		return nil, err
	}
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		t.onResponse(resp.StatusCode, resp.Header)
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections to the target.
func (t noticeTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// recordNotice handles the notice in a response of the target, if any: that it is
// leaving, or that it asks for a pause.
func (a *Agent) recordNotice(status int, h http.Header) {
	var p permitter.Pause
	if status == http.StatusServiceUnavailable {
		p = permitter.ParsePause(h[pauseHeader])
	}
	a.recordLimit(permitter.ParseLimit(h[limitHeader]))
	leaving := h.Get(leavingHeader) == leavingValue
	if !leaving && p == (permitter.Pause{}) {
		return
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	at := now()
	if leaving && a.state.admission.RecordLeaving(at) {
		a.startLeaving()
	}
	if a.state.admission.RecordPause(at, p.Duration, 0) {
		a.metrics.notices.WithLabelValues(noticePause).Inc()
		a.log.Info("target pauses", zap.Duration("for", p.Duration))
	}
	if p.Malformed {
		a.metrics.notices.WithLabelValues(noticeMalformedPause).Inc()
	}
	a.updateHold(at)
}

// startLeaving withdraws all grants and aborts the requests that the target has not
// begun, because the target is to be given no new work. The caller holds the lock.
func (a *Agent) startLeaving() {
	a.metrics.notices.WithLabelValues(noticeLeaving).Inc()
	for _, id := range a.state.sched.RevokeGrants() {
		if rec := a.state.records[id]; rec != nil {
			rec.abort()
		}
	}
	a.updateDraining()
}

// admissionDecision returns whether the target may be given work. All its work comes from
// this agent, so there are no returns of many processes to spread or limit after a pause.
// The caller holds the lock.
func (a *Agent) admissionDecision(at identifier.Instant) permitter.Decision {
	return a.state.admission.Decide(at, 0)
}

// updateHold stops all starts and grants while the target pauses, and voids the
// outstanding grants. The caller holds the lock.
func (a *Agent) updateHold(at identifier.Instant) {
	a.state.sched.SetPaused(a.admissionDecision(at).Reason == permitter.Pausing)
}

// probeTimeout is the timeout of the connection that probes whether a leaving target has
// exited.
const probeTimeout = 100 * time.Millisecond

// detectTargetExit resets the admission state of a leaving target once nothing listens at
// its address any more. What listens there next is another boot of the target.
func (a *Agent) detectTargetExit() {
	a.state.mu.Lock()
	leaving := a.state.admission.LeavingSince() != 0
	a.state.mu.Unlock()
	if !leaving {
		return
	}
	a.client.CloseIdleConnections()
	if !a.connectionRefused() {
		return
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.admission = permitter.AdmissionState{}
	a.state.pacing = permitter.Pacing{}
	a.log.Info("leaving target has exited")
	a.updateDraining()
}

// connectionRefused reports whether a connection to the target's address is refused, that
// is, nothing listens there.
func (a *Agent) connectionRefused() bool {
	u, err := url.Parse(a.cfg.TargetURL)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	return refuses(ctx, u.Host)
}
