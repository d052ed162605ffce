package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/isolator"
)

// maxUnrunAttempts bounds the attempts of one request that no target ran.
const maxUnrunAttempts = 3

// attempt sends a request to a target and relays its answer. done means that the caller
// has the answer. If done is false and e is nil, the request may be sent again.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *selectedTarget) (done bool, e *errorAnswer) {
	result := admitter.Inconclusive
	defer func() { f.recordResult(t, result) }()
	if e := f.authorize(c); e != nil {
		return false, f.correctStatus(c, e)
	}
	f.logTaken(c)
	c.attempts++
	c.tried = append(c.tried, t.choice.Target)
	a, err := f.conns.Do(ctx, f.exchangeCall(c, t))
	if err != nil {
		result = f.connResult(ctx, err)
		f.noteRefusal(t, err)
		return false, f.afterNoAnswer(ctx, c, t, err)
	}
	info := f.cfg.Dialect.ReadAnswer(a.Status, a.Header)
	f.applyNotice(t, info)
	if r, e, dropped := f.dropAnswer(c, t, a, info); dropped {
		result = r
		return false, e
	}
	result, e = f.relayAnswer(ctx, c, t, a)
	done = e == nil && result != resultRetry
	switch {
	case done:
		f.recordCompleted(c)
	case ctx.Err() != nil:
		f.recordUnfinished(clocker.Coarse(), c)
	}
	if done && result == admitter.Answered && c.status == http.StatusOK {
		t.outcome = isolator.Answered
	}
	return done, e
}

// dropAnswer handles an answer that is not passed on: the target did not run the request, the
// answer is not the target's, or its status promises what the target does not say. dropped is
// false for all others. If e is nil, the request may be sent again.
func (f *Forwarder) dropAnswer(c *call, t *selectedTarget, a *exchanger.Answer, info AnswerInfo) (result admitter.Result, e *errorAnswer, dropped bool) {
	if info.Misdirected {
		f.discardAnswer(t, a)
		return admitter.ConnectionFailed, f.afterNotRun(c, t), true
	}
	if info.NotRun {
		f.discardAnswer(t, a)
		return admitter.Answered, f.afterNotRun(c, t), true
	}
	c.mayHaveRun = true
	c.runs++
	switch {
	case a.Status < http.StatusMultipleChoices && !info.Genuine:
		a.Abort()
		return admitter.Failed, f.checkRetry(c, t, "answer is not the target's"), true
	case promisesNotRun(a.Status):
		c.recordConnError(errors.Errorf("answer has the status %d and does not say whether it ran", a.Status))
		f.discardAnswer(t, a)
		result = admitter.Answered
		if a.Status >= http.StatusInternalServerError {
			result = admitter.Failed
		}
		return result, f.checkRetry(c, t, "target does not say whether it ran"), true
	}
	return admitter.Inconclusive, nil, false
}

// promisesNotRun reports whether a status tells a caller that its request has not run. A target
// that answers with it must say so besides, as it may use the status for other purposes.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// recordCompleted records that the caller of a request has received a complete answer.
func (f *Forwarder) recordCompleted(c *call) {
	f.recordDuration(clocker.Coarse(), c)
	tokens := c.tokenCost()
	if tokens == 0 {
		return
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.sharer.RecordCompletion(clocker.Coarse(), c.workspace, tokens)
}

// resultRetry is the result of an attempt whose answer did not reach the caller
// completely, so that the request may be sent again.
const resultRetry = admitter.Result(-1)

// recordResult records the result of an attempt in the metrics and in the admitter.
func (f *Forwarder) recordResult(t *selectedTarget, r admitter.Result) {
	if r == resultRetry {
		r = admitter.Failed
	}
	if r == admitter.Failed && t.askedPause {
		// A target that asks for a pause has not failed.
		r = admitter.Answered
	}
	f.metrics.attempts.WithLabelValues(r.String()).Inc()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	now := clocker.Coarse()
	f.state.admitter.EndAttempt(now, t.sent, r)
	f.endRun(now, t)
}

// connResult returns the result that an error of the connection stands for.
func (f *Forwarder) connResult(ctx context.Context, err error) admitter.Result {
	if ctx.Err() != nil || errors.Is(err, exchanger.ErrUnwanted) || errors.Is(err, exchanger.ErrTooManyConnections) {
		// Nothing was sent, or the caller no longer waits: the error is not evidence
		// about the target.
		return admitter.Inconclusive
	}
	var fault *exchanger.Fault
	if errors.As(err, &fault) && fault.Step == exchanger.StepRead {
		return admitter.Failed
	}
	return admitter.ConnectionFailed
}

// afterNoAnswer decides what follows when an attempt brought no answer.
func (f *Forwarder) afterNoAnswer(ctx context.Context, c *call, t *selectedTarget, err error) *errorAnswer {
	var fault *exchanger.Fault
	if errors.As(err, &fault) && fault.MaybeSent {
		c.mayHaveRun = true
		c.runs++
	}
	c.recordConnError(err)
	if ctx.Err() != nil {
		f.recordUnfinished(clocker.Coarse(), c)
		return f.timeoutAnswer(c)
	}
	if errors.Is(err, exchanger.ErrUnwanted) && !t.withheld {
		return f.correctStatus(c, &errorAnswer{status: http.StatusServiceUnavailable, reason: "The caller has left, or the request would be sent too late.", retryAfter: minRetryAfter})
	}
	if errors.Is(err, exchanger.ErrTooManyConnections) {
		return f.correctStatus(c, &errorAnswer{status: http.StatusServiceUnavailable, reason: "This router has too many connections to targets.", retryAfter: minRetryAfter})
	}
	if fault != nil && fault.MaybeSent {
		f.noteBreak(t, err)
	}
	if fault != nil && !fault.MaybeSent {
		if c.attempts > maxUnrunAttempts+c.runs {
			return f.correctStatus(c, &errorAnswer{status: http.StatusServiceUnavailable, reason: "No target can be reached.", retryAfter: minRetryAfter})
		}
		return nil
	}
	return f.checkRetry(c, t, "no answer")
}

// checkRetry returns nil if a request whose last attempt failed may be sent again, and
// otherwise the answer for its caller. A retry is taken from the retry budget unless
// the request already holds one.
func (f *Forwarder) checkRetry(c *call, t *selectedTarget, reason string) *errorAnswer {
	e := &errorAnswer{status: http.StatusBadGateway, reason: "The target gave no whole answer."}
	switch {
	case c.runs > 0 && !c.repeatable():
		return f.correctStatus(c, e)
	case t.outcome == isolator.Broken && f.suspects(c):
		return f.correctStatus(c, e)
	case c.runs >= c.route.MaxRuns && c.runs > 0:
		return f.correctStatus(c, e)
	case c.attempts > maxUnrunAttempts+c.runs:
		return f.correctStatus(c, &errorAnswer{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: minRetryAfter})
	case !c.retryGranted && !f.takeRetry(clocker.Coarse(), c.pool):
		return f.correctStatus(c, &errorAnswer{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: time.Second})
	}
	c.retryGranted = false
	f.log.Info("sending again", zap.String("request", c.loggedID()), zap.String("target", string(t.choice.Target)), zap.String("reason", reason),
		zap.Int("sends", c.attempts), zap.Int("runs", c.runs), zap.String("fault", c.connError))
	return nil
}

// repeatable reports whether the request may run once more. A stream that has started
// can only be resumed behind an event whose ID is known to be right.
func (c *call) repeatable() bool {
	if c.streamStarted() {
		return c.route.Resumable && c.stream.resumable()
	}
	return c.route.Repeatable || (c.route.Stream && c.route.Resumable)
}

// timeoutAnswer returns the answer for a request that has no time left, because its own
// limit has passed or because the router stops.
func (f *Forwarder) timeoutAnswer(c *call) *errorAnswer {
	e := &errorAnswer{status: http.StatusGatewayTimeout, reason: "The time limit has passed."}
	if f.requestCtx.Err() != nil {
		e.reason = "This router stops."
	}
	return f.correctStatus(c, e)
}

// correctStatus changes the status of e to one that is true of the request: the status
// of a request that may have run never says that it did not run, and that of a request
// that cannot have run never leaves it open. It returns e.
func (f *Forwarder) correctStatus(c *call, e *errorAnswer) *errorAnswer {
	if !c.mayHaveRun {
		if e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout {
			e.status = http.StatusServiceUnavailable
			e.retryAfter = minRetryAfter
		}
		return e
	}
	switch e.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
		e.status = http.StatusBadGateway
		e.retryAfter = 0
	}
	return e
}
