package forwarder

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// What targets say of the work that they want, as counted.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeMalformed     = "malformed_pause"
)

// applyNotice takes in what a target says in an answer of the work that it wants. An answer of
// another target at the same address says nothing of this one.
func (f *Forwarder) applyNotice(t *selectedTarget, info AnswerInfo) {
	if info.Misdirected || !info.Leaving && info.Pause == (permitter.Pause{}) {
		return
	}
	t.askedPause = info.Pause.For > 0
	now := clocker.Coarse()
	news := f.recordNotice(now, t, admitter.Word{Leaving: info.Leaving, Pause: info.Pause.For})
	id := zap.String("target", string(t.choice.Target))
	if news.Leaving {
		f.conns.Drop(t.address)
		f.metrics.notices.WithLabelValues(noticeLeaving).Inc()
		f.log.Info("target leaves", id, zap.String("told_by", "its answer"), zap.Duration("age", 0))
	}
	if news.Pausing {
		f.metrics.notices.WithLabelValues(noticePause).Inc()
		f.log.Info("target pauses", id, zap.String("told_by", "its answer"), zap.Duration("for", info.Pause.For))
	}
	if info.Pause.Malformed {
		f.recordMalformedPause(t, info.Pause.For)
	}
}

func (f *Forwarder) recordNotice(now identifier.Instant, t *selectedTarget, notice admitter.Word) admitter.News {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.Said(now, t.sent, notice, rand.Float64())
}

// recordMalformedPause counts a pause that could not be read, and logs the first of each target.
func (f *Forwarder) recordMalformedPause(t *selectedTarget, applied time.Duration) {
	f.metrics.notices.WithLabelValues(noticeMalformed).Inc()
	f.state.mu.Lock()
	first := !f.state.malformedPauses[t.choice.Target]
	f.state.malformedPauses[t.choice.Target] = true
	f.state.mu.Unlock()
	if first {
		f.log.Warn("pause not understood", zap.String("target", string(t.choice.Target)), zap.Duration("taken_for", applied))
	}
}

// maySend tells whether a request may still be sent to the target that was chosen for
// it: the target may have said meanwhile that it wants none.
func (f *Forwarder) maySend(t *selectedTarget) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	t.withheld = !f.state.admitter.Permits(clocker.Coarse(), t.sent).Open()
	return !t.withheld
}

// finishExchange ends an exchange whose answer was read whole, and keeps its connection unless the
// target leaves.
func (f *Forwarder) finishExchange(t *selectedTarget, a *exchanger.Answer) {
	f.state.mu.Lock()
	leaving := f.state.admitter.Permits(clocker.Coarse(), t.sent).Reason == permitter.Leaving
	f.state.mu.Unlock()
	if leaving {
		a.Abort()
		return
	}
	a.Keep()
}

// afterNotRun tells how a request ends that its target has not run, or nil if it may be
// sent to another one. Where all want a pause it ends at once, and takes nothing from
// the retry budget.
func (f *Forwarder) afterNotRun(c *call, t *selectedTarget) *errorAnswer {
	f.state.mu.Lock()
	choice := f.state.admitter.Closed(clocker.Coarse(), c.pool)
	f.state.mu.Unlock()
	if choice.Refused == admitter.Pausing {
		c.choice = choice
		return f.correctStatus(c, busyAnswer(choice))
	}
	return f.checkRetry(c, t, "target did not run it")
}

// receiveNotices takes in what other routers were told by targets that leave.
func (f *Forwarder) receiveNotices(now identifier.Instant, notices admitter.Notices) {
	f.state.mu.Lock()
	added := f.state.admitter.HeardNotices(now, notices)
	f.state.mu.Unlock()
	for _, id := range added {
		f.log.Info("target leaves", zap.String("target", string(id)), zap.String("told_by", "a router"), zap.Duration("age", notices[id].Age))
	}
}

// countWithheld counts the targets that are given no new work for a reason.
func (f *Forwarder) countWithheld(r permitter.Reason) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return float64(f.state.admitter.Withheld(clocker.Coarse())[r])
}
