package forwarder

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/permitter"
)

// The kinds of notices that targets give in their answers, as values of the word label.
const (
	noticeLeaving   = "leaving"
	noticePause     = "pause"
	noticeMalformed = "malformed_pause"
	noticeLimit     = "limit"

	noticeMalformedLimit = "malformed_limit"
	noticeMalformedCold  = "malformed_cold"
)

// applyNotice applies what a target's answer says about the work that it accepts: that
// it leaves, or asks for a pause. An answer of another target at the same address says
// nothing about t and is ignored.
func (f *Forwarder) applyNotice(t *selectedTarget, info AnswerInfo) {
	if !info.Misdirected {
		f.noteLimit(t, info.Limit)
		f.recordPace(t, info.Pace)
		f.noteResponse(t, info.Cold)
	}
	if info.Misdirected || !info.Leaving && info.Pause == (permitter.Pause{}) {
		return
	}
	t.askedPause = info.Pause.Duration > 0
	now := clocker.Coarse()
	news := f.recordNotice(now, t, admitter.TargetNotice{Leaving: info.Leaving, Pause: info.Pause.Duration})
	id := zap.String("target", string(t.choice.Target))
	if news.Leaving {
		f.conns.CloseIdle(t.address)
		f.metrics.notices.WithLabelValues(noticeLeaving).Inc()
		f.log.Info("target leaves", id, zap.String("told_by", "its answer"), zap.Duration("age", 0))
	}
	if news.Pausing {
		f.metrics.notices.WithLabelValues(noticePause).Inc()
		f.log.Info("target pauses", id, zap.String("told_by", "its answer"), zap.Duration("for", info.Pause.Duration))
	}
	if info.Pause.Malformed {
		f.recordMalformedPause(t, info.Pause.Duration)
	}
}

// recordNotice passes a notice of target t to the admitter and returns what in it is
// new.
func (f *Forwarder) recordNotice(now identifier.Instant, t *selectedTarget, notice admitter.TargetNotice) admitter.NoticeChange {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.ApplyNotice(now, t.sent, notice, rand.Float64())
}

// recordMalformedPause counts a pause that could not be parsed, and logs the first one
// of each target. applied is the pause that was used instead.
func (f *Forwarder) recordMalformedPause(t *selectedTarget, applied time.Duration) {
	f.metrics.notices.WithLabelValues(noticeMalformed).Inc()
	f.state.mu.Lock()
	first := f.state.addresses[t.choice.Target] != "" && !f.state.malformedPauses[t.choice.Target]
	if first {
		f.state.malformedPauses[t.choice.Target] = true
	}
	f.state.mu.Unlock()
	if first {
		f.log.Warn("pause not understood", zap.String("target", string(t.choice.Target)), zap.Duration("taken_for", applied))
	}
}

// maySend reports whether the request may still be sent to target t. Since it was
// selected, it may have stopped taking requests, a part of the prompt may have been
// blocked, it may have been listed with other software than that of the stream, or another
// configuration may not allow its region. It sets t.withheld if not.
func (f *Forwarder) maySend(c *call, t *selectedTarget) bool {
	now := clocker.Coarse()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	target, _ := t.sent.Target()
	allowed := c.allowedRegions.Allows(target.Region) && f.keepsSoftware(c, t) && f.state.admitter.RecheckAdmission(now, t.sent).Open()
	t.withheld = !allowed || f.verdict(now, c).State == isolator.Blocked
	return !t.withheld
}

// finishExchange ends an exchange whose answer was read to its end. The connection is
// kept for reuse unless the target leaves.
func (f *Forwarder) finishExchange(t *selectedTarget, a *exchanger.Answer) {
	f.state.mu.Lock()
	leaving := f.state.admitter.RecheckAdmission(clocker.Coarse(), t.sent).Reason == permitter.ReportedLeaving
	f.state.mu.Unlock()
	if leaving {
		a.Abort()
		return
	}
	a.Release()
}

// afterNotRun decides what follows when target t did not run a request. It returns nil
// if the request may be sent to another target, and an answer for the caller otherwise.
// If no target of the pool takes requests, as they pause, warm up, are evacuated, not
// allowed or of other software, the request ends at once and takes nothing from the retry budget.
func (f *Forwarder) afterNotRun(c *call, t *selectedTarget) *errorAnswer {
	f.state.mu.Lock()
	choice := f.state.admitter.PoolRefusal(clocker.Coarse(), admitter.Request{Pool: c.pool, AllowedRegions: c.allowedRegions, Pinned: c.pin.set, Software: c.pin.software})
	f.state.mu.Unlock()
	switch choice.Refused {
	case admitter.TargetsPausing, admitter.TargetsEvacuated, admitter.TargetsWarmingUp, admitter.TargetsDisallowed, admitter.SoftwareUnavailable:
		c.choice = choice
		return f.correctStatus(c, c.busyAnswer(choice))
	}
	return f.checkRetry(c, t, "target did not run it")
}

// receiveNotices applies the notices of leaving targets that other routers have
// received.
func (f *Forwarder) receiveNotices(now identifier.Instant, notices admitter.LeavingReports) {
	f.state.mu.Lock()
	added := f.state.admitter.ApplyLeavingReports(now, notices)
	f.state.mu.Unlock()
	for _, id := range added {
		f.log.Info("target leaves", zap.String("target", string(id)), zap.String("told_by", "a router"), zap.Duration("age", notices[id].Age))
	}
}

// countWithheld returns the number of targets that are given no new requests for a
// reason.
func (f *Forwarder) countWithheld(r permitter.Reason) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return float64(f.state.admitter.CountUnavailable(clocker.Coarse())[r])
}
