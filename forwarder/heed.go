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
	wordLeaving = "leaving"
	wordPause   = "pause"
	wordBad     = "malformed_pause"
)

// heed takes in what a target says in an answer of the work that it wants. An answer of
// another target at the same address says nothing of this one.
func (f *Forwarder) heed(t *selectedTarget, v AnswerInfo) {
	if v.Misdirected || !v.Leaving && v.Pause == (permitter.Pause{}) {
		return
	}
	t.askedPause = v.Pause.For > 0
	now := clocker.Coarse()
	n := f.said(now, t, admitter.Word{Leaving: v.Leaving, Pause: v.Pause.For})
	id := zap.String("target", string(t.choice.Target))
	if n.Leaving {
		f.pool.Drop(t.address)
		f.metrics.notices.WithLabelValues(wordLeaving).Inc()
		f.log.Info("target leaves", id, zap.String("told_by", "its answer"), zap.Duration("age", 0))
	}
	if n.Pausing {
		f.metrics.notices.WithLabelValues(wordPause).Inc()
		f.log.Info("target pauses", id, zap.String("told_by", "its answer"), zap.Duration("for", v.Pause.For))
	}
	if v.Pause.Malformed {
		f.malformed(t, v.Pause.For)
	}
}

func (f *Forwarder) said(now identifier.Instant, t *selectedTarget, w admitter.Word) admitter.News {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.Said(now, t.sent, w, rand.Float64())
}

// malformed counts a pause that could not be read, and logs the first of each target.
func (f *Forwarder) malformed(t *selectedTarget, taken time.Duration) {
	f.metrics.notices.WithLabelValues(wordBad).Inc()
	f.state.mu.Lock()
	first := !f.state.malformedPauses[t.choice.Target]
	f.state.malformedPauses[t.choice.Target] = true
	f.state.mu.Unlock()
	if first {
		f.log.Warn("pause not understood", zap.String("target", string(t.choice.Target)), zap.Duration("taken_for", taken))
	}
}

// permits tells whether a request may still be sent to the target that was chosen for
// it: the target may have said meanwhile that it wants none.
func (f *Forwarder) permits(t *selectedTarget) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	t.withheld = !f.state.admitter.Permits(clocker.Coarse(), t.sent).Open()
	return !t.withheld
}

// keep ends an exchange whose answer was read whole, and keeps its connection unless the
// target leaves.
func (f *Forwarder) keep(t *selectedTarget, a *exchanger.Answer) {
	f.state.mu.Lock()
	leaves := f.state.admitter.Permits(clocker.Coarse(), t.sent).Reason == permitter.Leaving
	f.state.mu.Unlock()
	if leaves {
		a.Abort()
		return
	}
	a.Keep()
}

// notTaken tells how a request ends that its target has not run, or nil if it may be
// sent to another one. Where all want a pause it ends at once, and takes nothing from
// the retry budget.
func (f *Forwarder) notTaken(c *call, t *selectedTarget) *errorAnswer {
	f.state.mu.Lock()
	choice := f.state.admitter.Closed(clocker.Coarse(), c.pool)
	f.state.mu.Unlock()
	if choice.Refused == admitter.Pausing {
		c.choice = choice
		return f.correctStatus(c, busyAnswer(choice))
	}
	return f.checkRetry(c, t, "target did not run it")
}

// heardNotices takes in what other routers were told by targets that leave.
func (f *Forwarder) heardNotices(now identifier.Instant, list admitter.Notices) {
	f.state.mu.Lock()
	fresh := f.state.admitter.HeardNotices(now, list)
	f.state.mu.Unlock()
	for _, id := range fresh {
		f.log.Info("target leaves", zap.String("target", string(id)), zap.String("told_by", "a router"), zap.Duration("age", list[id].Age))
	}
}

// withheld counts the targets that are given no new work for a reason.
func (f *Forwarder) withheld(r permitter.Reason) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return float64(f.state.admitter.Withheld(clocker.Coarse())[r])
}
