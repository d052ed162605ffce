package forwarder

import (
	"context"
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
