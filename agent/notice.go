package agent

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

const (
	// leavingHeader is by which a target says in an answer that it leaves, with the value
	// leavingValue.
	leavingHeader = "Target-Leaving"
	leavingValue  = "1"
	// pauseHeader is by which one that answers 503 says for how many seconds it wants no
	// work.
	pauseHeader = "Retry-After"
)

// What the target says of the work that it wants, as counted.
const (
	noticeLeaving        = "leaving"
	noticePause          = "pause"
	noticeMalformedPause = "malformed_pause"
)

// noticeTransport hands on the head of each answer of the target.
type noticeTransport struct {
	http.RoundTripper
	onResponse func(status int, h http.Header)
}

// RoundTrip implements http.RoundTripper.
func (t noticeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		t.onResponse(resp.StatusCode, resp.Header)
	}
	return resp, err
}

// CloseIdleConnections closes the connections to the target that are not in use.
func (t noticeTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// recordNotice takes in what the target says in an answer of the work that it wants.
func (a *Agent) recordNotice(status int, h http.Header) {
	var p permitter.Pause
	if status == http.StatusServiceUnavailable {
		p = permitter.ParsePause(h[pauseHeader])
	}
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

// startLeaving gives up what the target has not begun, as it is to be given no new work. The
// caller holds the lock.
func (a *Agent) startLeaving() {
	a.metrics.notices.WithLabelValues(noticeLeaving).Inc()
	for _, id := range a.state.sched.Withdraw() {
		if rec := a.state.records[id]; rec != nil {
			rec.abort()
		}
	}
	a.updateDraining()
}

// admissionDecision tells whether the target may be given work. All its work comes from this agent,
// so that there is no herd to hold back after a pause. The caller holds the lock.
func (a *Agent) admissionDecision(at identifier.Instant) permitter.Decision {
	return a.state.admission.Decide(at, 0)
}

// updateHold holds all work while the target pauses. The caller holds the lock.
func (a *Agent) updateHold(at identifier.Instant) {
	a.state.sched.Hold(a.admissionDecision(at).Reason == permitter.Pausing)
}

// probeTimeout bounds the look whether the target is gone.
const probeTimeout = 100 * time.Millisecond

// detectTargetExit forgets what a target has said once nothing listens at its address any
// more: what listens there next is another run of it.
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
	a.log.Info("target has left")
	a.updateDraining()
}

// connectionRefused tells whether nothing listens at the target's address.
func (a *Agent) connectionRefused() bool {
	u, err := url.Parse(a.cfg.TargetURL)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
