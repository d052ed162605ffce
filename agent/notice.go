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
	wordLeaving = "leaving"
	wordPause   = "pause"
	wordBad     = "malformed_pause"
)

// hearer hands on the head of each answer of the target.
type hearer struct {
	http.RoundTripper
	heed func(status int, h http.Header)
}

// RoundTrip implements http.RoundTripper.
func (t hearer) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		t.heed(resp.StatusCode, resp.Header)
	}
	return resp, err
}

// CloseIdleConnections closes the connections to the target that are not in use.
func (t hearer) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// heed takes in what the target says in an answer of the work that it wants.
func (a *Agent) heed(status int, h http.Header) {
	var p permitter.Pause
	if status == http.StatusServiceUnavailable {
		p = permitter.ParsePause(h[pauseHeader])
	}
	leaves := h.Get(leavingHeader) == leavingValue
	if !leaves && p == (permitter.Pause{}) {
		return
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	at := now()
	if leaves && a.board.permit.RecordLeaving(at) {
		a.leave()
	}
	if a.board.permit.RecordPause(at, p.Duration, 0) {
		a.metrics.words.WithLabelValues(wordPause).Inc()
		a.log.Info("target pauses", zap.Duration("for", p.Duration))
	}
	if p.Malformed {
		a.metrics.words.WithLabelValues(wordBad).Inc()
	}
	a.holdOrGoOn(at)
}

// leave gives up what the target has not begun, as it is to be given no new work. The
// caller holds the lock.
func (a *Agent) leave() {
	a.metrics.words.WithLabelValues(wordLeaving).Inc()
	for _, id := range a.board.sched.Withdraw() {
		if rec := a.board.records[id]; rec != nil {
			rec.abort()
		}
	}
	a.announceLeaving()
}

// decide tells whether the target may be given work. All its work comes from this agent,
// so that there is no herd to hold back after a pause. The caller holds the lock.
func (a *Agent) decide(at identifier.Instant) permitter.Decision {
	return a.board.permit.Decide(at, 0)
}

// holdOrGoOn holds all work while the target pauses. The caller holds the lock.
func (a *Agent) holdOrGoOn(at identifier.Instant) {
	a.board.sched.Hold(a.decide(at).Reason == permitter.Pausing)
}

// goneTimeout bounds the look whether the target is gone.
const goneTimeout = 100 * time.Millisecond

// lookWhetherGone forgets what a target has said once nothing listens at its address any
// more: what listens there next is another run of it.
func (a *Agent) lookWhetherGone() {
	a.board.mu.Lock()
	leaves := a.board.permit.LeavingSince() != 0
	a.board.mu.Unlock()
	if !leaves {
		return
	}
	a.newAgent.CloseIdleConnections()
	if !a.refused() {
		return
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.board.permit = permitter.AdmissionState{}
	a.log.Info("target has left")
	a.announceLeaving()
}

// refused tells whether nothing listens at the target's address.
func (a *Agent) refused() bool {
	u, err := url.Parse(a.cfg.TargetURL)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(a.ctx, goneTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
