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
)

// maxUnsent bounds the sendings of one request that no target ran.
const maxUnsent = 3

// attempt sends a request to a target and follows its answer. done tells that the
// caller has it; with neither done nor an ending the request may be sent again.
func (f *Forwarder) attempt(ctx context.Context, c *call, t *chosen) (done bool, e *ending) {
	result := admitter.Left
	defer func() { f.finish(t, result) }()
	if e := f.admit(c); e != nil {
		return false, f.truth(c, e)
	}
	c.sends++
	c.tried = append(c.tried, t.choice.Target)
	a, err := f.pool.Do(ctx, f.message(c, t))
	if err != nil {
		result = f.faulted(ctx, err)
		return false, f.lost(ctx, c, t, err)
	}
	v := f.cfg.Dialect.ReadAnswer(a.Status, a.Header)
	f.heed(t, v)
	if v.NotRun || v.Misdirected {
		f.skip(t, a)
		result = admitter.Answered
		if v.Misdirected {
			result = admitter.Broken
		}
		return false, f.notTaken(c, t)
	}
	c.mayHaveRun = true
	c.runs++
	if a.Status < http.StatusMultipleChoices && !v.Genuine {
		a.Abort()
		result = admitter.Failed
		return false, f.again(c, t, "answer is not the target's")
	}
	result, e = f.relay(ctx, c, t, a)
	done = e == nil && result != again
	if done {
		f.whole(c)
	}
	return done, e
}

// whole notes that a caller has got an answer whole.
func (f *Forwarder) whole(c *call) {
	size := c.size()
	if size == 0 {
		return
	}
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.sharer.Whole(clocker.Coarse(), c.workspace, size)
}

// again is the result of an answer that did not reach the caller, so that the
// request may be sent once more.
const again = admitter.Result(-1)

func (f *Forwarder) finish(t *chosen, r admitter.Result) {
	if r == again {
		r = admitter.Failed
	}
	if r == admitter.Failed && t.pauses {
		// To ask for a pause is no failure.
		r = admitter.Answered
	}
	f.metrics.sendings.WithLabelValues(r.String()).Inc()
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.admitter.Ended(clocker.Coarse(), t.sent, r)
}

// faulted says what a fault of the connection tells of the target.
func (f *Forwarder) faulted(ctx context.Context, err error) admitter.Result {
	if ctx.Err() != nil || errors.Is(err, exchanger.ErrUnwanted) {
		// Nothing was sent, or nobody waits: that tells nothing of the target.
		return admitter.Left
	}
	var fault *exchanger.Fault
	if errors.As(err, &fault) && fault.Step == exchanger.StepRead {
		return admitter.Failed
	}
	return admitter.Broken
}

// lost decides what follows when no answer came.
func (f *Forwarder) lost(ctx context.Context, c *call, t *chosen, err error) *ending {
	var fault *exchanger.Fault
	if errors.As(err, &fault) && fault.Sent {
		c.mayHaveRun = true
		c.runs++
	}
	c.note(err)
	if ctx.Err() != nil {
		return f.outOfTime(c)
	}
	if errors.Is(err, exchanger.ErrUnwanted) && !t.withheld {
		return f.truth(c, &ending{status: http.StatusServiceUnavailable, reason: "The caller has left, or the request would be sent too late.", retryAfter: minRetryAfter})
	}
	if fault != nil && !fault.Sent {
		if c.sends > maxUnsent+c.runs {
			return f.truth(c, &ending{status: http.StatusServiceUnavailable, reason: "No target can be reached.", retryAfter: minRetryAfter})
		}
		return nil
	}
	return f.again(c, t, "no answer")
}

// again tells how a request ends that its last target gave no answer to, or nil
// if it may be sent once more.
func (f *Forwarder) again(c *call, t *chosen, why string) *ending {
	e := &ending{status: http.StatusBadGateway, reason: "The target gave no whole answer."}
	switch {
	case c.runs > 0 && !c.repeatable():
		return f.truth(c, e)
	case c.runs >= c.route.MaxRuns && c.runs > 0:
		return f.truth(c, e)
	case c.sends > maxUnsent+c.runs:
		return f.truth(c, &ending{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: minRetryAfter})
	case !c.granted && !f.mayRetry(clocker.Coarse(), c.pool):
		return f.truth(c, &ending{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: time.Second})
	}
	c.granted = false
	f.log.Info("sending again", zap.String("request", string(c.facts.ID)), zap.String("target", string(t.choice.Target)), zap.String("reason", why),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs), zap.String("fault", c.fault))
	return nil
}

// repeatable tells whether the request may run once more.
func (c *call) repeatable() bool {
	if c.begun() {
		return c.route.Resumable && c.stream.last != ""
	}
	return c.route.Repeatable || (c.route.Stream && c.route.Resumable)
}

// outOfTime is how a request ends that there is no time left for: its own limit has
// passed, or the router stops.
func (f *Forwarder) outOfTime(c *call) *ending {
	e := &ending{status: http.StatusGatewayTimeout, reason: "The time limit has passed."}
	if f.calls.Err() != nil {
		e.reason = "This router stops."
	}
	return f.truth(c, e)
}

// truth makes sure that nobody is told "not run" of a request that may have run.
func (f *Forwarder) truth(c *call, e *ending) *ending {
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
