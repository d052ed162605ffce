package forwarder

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// account is what decided a request's fate, for its log line.
type account struct {
	revision identifier.Revision
	proofAge time.Duration
	// standing, limit and choice are of the last decision about a target.
	standing float64
	limit    time.Duration
	choice   admitter.Choice
	// first is when the first part of the answer came, zero if none did.
	first identifier.Instant
	// status is the answer's, zero if there was none.
	status int
	// reason says why no target's answer was passed on, empty if one was.
	reason string
	// fault is the last error of a connection.
	fault string
}

// The endings of requests, as counted.
const (
	endAnswered = "answered"
	endFailed   = "failed_by_target"
	endRefused  = "refused"
	endUnknown  = "unknown"
	endBroken   = "broken_off"
	endDenied   = "denied"
	endLeft     = "caller_left"
)

// ended writes a request's line and counts it.
func (f *Forwarder) ended(c *call) {
	now := clocker.Coarse()
	how := c.ending(f.calls.Err() != nil)
	f.metrics.endings.WithLabelValues(how).Inc()
	f.metrics.whole.Observe(now.Sub(c.arrived).Seconds())
	if c.first > 0 {
		f.metrics.first.Observe(c.first.Sub(c.arrived).Seconds())
	}
	line := f.log.Check(zap.InfoLevel, "request ended")
	if line == nil {
		return
	}
	fields := []zap.Field{
		zap.String("request", string(c.facts.ID)), zap.String("ending", how), zap.Int("status", c.status),
		zap.String("workspace", string(c.workspace)), zap.Duration("took", now.Sub(c.arrived)),
		zap.Uint64("revision", uint64(c.revision)), zap.Duration("proof_age", c.proofAge),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs), zap.Bool("may_have_run", c.mayHaveRun),
	}
	if c.route != nil {
		fields = append(fields, zap.String("kind", string(c.route.Kind)), zap.String("pool", string(c.pool)))
	}
	if len(c.tried) > 0 || c.choice.Refused != "" {
		fields = append(fields, zap.Array("targets", targetList(c.tried)), zap.Float64("standing", c.standing), zap.Duration("limit", c.limit),
			zap.Duration("expected", c.choice.Wait), zap.Int("unread", c.choice.PrefillTokens), zap.String("refused", string(c.choice.Refused)))
	}
	if c.first > 0 {
		fields = append(fields, zap.Duration("first", c.first.Sub(c.arrived)))
	}
	if c.reason != "" || c.fault != "" {
		fields = append(fields, zap.String("reason", c.reason), zap.String("fault", c.fault))
	}
	line.Write(fields...)
}

// targetList writes targets to a log line.
type targetList []identifier.Target

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l targetList) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, t := range l {
		enc.AppendString(string(t))
	}
	return nil
}

// ending returns how a request ended, as counted, at a router that may have ended all
// requests in hand.
func (c *call) ending(stopped bool) string {
	switch {
	case c.r.Context().Err() != nil && !stopped:
		return endLeft
	case c.reason != "" && c.begun():
		return endBroken
	case c.reason != "" && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		return endRefused
	case c.reason != "" && c.status >= http.StatusInternalServerError:
		return endUnknown
	case c.reason != "":
		return endDenied
	case c.status >= http.StatusInternalServerError:
		return endFailed
	}
	return endAnswered
}
