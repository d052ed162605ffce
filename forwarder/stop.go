package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// stop is what is known of a graceful stop of the router. Its times are valid once
// state.stopping is set.
type stop struct {
	// startedAt is when the stop began, as an Instant.
	startedAt atomic.Int64
	// cutAt is when the requests in flight are ended, as an Instant, zero if they are
	// waited for without limit.
	cutAt atomic.Int64
	// ended counts the requests that the stop ended before they had a complete answer.
	ended atomic.Int64
}

// beginStop makes Ready report false and records how long requests are waited for.
func (f *Forwarder) beginStop(ctx context.Context) {
	now := clocker.Now()
	f.state.stop.startedAt.Store(int64(now))
	fields := []zap.Field{zap.Int("connections", f.callers.Count())}
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		f.state.stop.cutAt.Store(int64(now.Add(left)))
		fields = append(fields, zap.Duration("limit", left))
	}
	f.state.stopping.Store(true)
	f.log.Info("stopping", fields...)
}

// sinceStop returns the time from the start of the stop until at, negative if at is
// earlier.
func (f *Forwarder) sinceStop(at identifier.Instant) time.Duration {
	return at.Sub(identifier.Instant(f.state.stop.startedAt.Load()))
}

// logStopStep writes a log line for a step of the stop.
func (f *Forwarder) logStopStep(message string) {
	f.log.Info(message, zap.Duration("since_stop", f.sinceStop(clocker.Now())), zap.Int("connections", f.callers.Count()),
		zap.Int64("requests_ended", f.state.stop.ended.Load()))
}

// timeLeft returns for how long a stopping router still waits for requests. ok is false if
// the router is not stopping, or waits without limit.
func (f *Forwarder) timeLeft(now identifier.Instant) (left time.Duration, ok bool) {
	if !f.state.stopping.Load() {
		return 0, false
	}
	cutAt := f.state.stop.cutAt.Load()
	return identifier.Instant(cutAt).Sub(now), cutAt != 0
}

// stopFit is what decides whether a stopping router takes a request, the last time that it
// is to be sent. It is zero for a request that was sent before the stop.
type stopFit struct {
	// left is for how long the router still waits for the request, and needed how long
	// it may take.
	left, needed time.Duration
	// estimated is set if needed was estimated by other answers, and not set if it is the
	// time until the deadline.
	estimated bool
}

// appendTo appends the fields of a log line that tell of the decision.
func (s stopFit) appendTo(fields []zap.Field) []zap.Field {
	if s == (stopFit{}) {
		return fields
	}
	return append(fields, zap.Duration("time_left", s.left), zap.Duration("time_needed", s.needed), zap.Bool("estimated", s.estimated))
}

// signalDelay is how much later than it was sent a signal may be handled.
const signalDelay = 200 * time.Millisecond

// mustFit reports whether a stopping router may take a request only if its deadline is
// before the router's end. That is so once callers are directed to other routers, as a
// stream that has begun can only be cut off, and a request that may not run again would be
// left with an unknown outcome. Others are still taken by an estimate.
func (f *Forwarder) mustFit(now identifier.Instant, c *call) bool {
	if f.sinceStop(now) < drainDelay-signalDelay {
		return false
	}
	return c.route.Stream || !c.route.Repeatable
}

// timeNeeded returns the longest time that a request may still take, and whether that is
// estimated. One that must fit, or of a kind that was not answered of late, may take until
// its deadline.
func (f *Forwarder) timeNeeded(now identifier.Instant, c *call) (needed time.Duration, estimated bool) {
	most := c.deadline.Sub(now)
	estimate, ok := f.durations.estimate(c.route.Kind, c.info.MaxOutputTokens)
	if !ok || estimate >= most || f.mustFit(now, c) {
		return most, false
	}
	return estimate, true
}

// checkTimeLeft returns an answer for a request that is about to be sent to a target, if
// the router stops and would have to end it before it is done. A stream that has started
// goes on as long as it can.
func (f *Forwarder) checkTimeLeft(c *call) *errorAnswer {
	now := clocker.Now()
	left, ok := f.timeLeft(now)
	if !ok || c.streamStarted() {
		return nil
	}
	needed, estimated := f.timeNeeded(now, c)
	c.fit = stopFit{left: left, needed: needed, estimated: estimated}
	if needed <= left {
		return nil
	}
	return f.correctStatus(c, &errorAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     "This router stops and could not finish the request.",
		retryAfter: minRetryAfter,
	})
}

// logTaken writes a log line for a request that a stopping router sends to a target.
func (f *Forwarder) logTaken(c *call) {
	if c.fit == (stopFit{}) {
		return
	}
	entry := f.log.Check(zap.InfoLevel, "taken while stopping")
	if entry == nil {
		return
	}
	entry.Write(c.fit.appendTo([]zap.Field{zap.String("request", c.loggedID()), zap.Duration("since_stop", f.sinceStop(clocker.Coarse()))})...)
}

// closeIfStopping adds to the header of an answer that its connection is closed, if the
// router is stopping.
func (f *Forwarder) closeIfStopping(h http.Header) {
	if f.state.stopping.Load() {
		h.Set("Connection", "close")
	}
}
