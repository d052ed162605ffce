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

// accessRecord holds what decided the outcome of a request, for its log entry.
type accessRecord struct {
	revision identifier.Revision
	proofAge time.Duration
	// proofSource and position are those of a request that the configuration did not allow:
	// where the proof came from, and the store's position up to which all changes were known.
	proofSource string
	position    identifier.StorePosition
	// shareRatio, latencyLimit and choice are those of the last selection of a target.
	// latencyLimit bounds the expected time to the first token.
	shareRatio   float64
	latencyLimit time.Duration
	choice       admitter.Choice
	// firstByteAt is when the first part of the answer came, zero if none did.
	firstByteAt identifier.Instant
	// status is the answer's HTTP status, zero if there was no answer.
	status int
	// reason says why no target's answer was passed on, empty if one was.
	reason string
	// connError is the text of the last error of a connection.
	connError string
	// fit is what decided whether a stopping router took the request.
	fit stopFit
}

// The outcomes of requests, as values of the ending label.
const (
	outcomeAnswered   = "answered"
	outcomeFailed     = "failed_by_target"
	outcomeRefused    = "refused"
	outcomeUnknown    = "unknown"
	outcomeTruncated  = "broken_off"
	outcomeDenied     = "denied"
	outcomeCallerLeft = "caller_left"
)

const (
	// deniedLinesPerSecond and deniedLinesAtOnce bound the lines of denied requests that are
	// warnings, which are never left out. Those beyond are among the lines of all requests.
	deniedLinesPerSecond = 10
	deniedLinesAtOnce    = 50
)

// recordOutcome writes the log entry of a request that has ended and updates the
// metrics.
func (f *Forwarder) recordOutcome(c *call) {
	now := clocker.Coarse()
	endedByStop := f.requestCtx.Err() != nil
	outcome := c.outcome(endedByStop)
	if endedByStop && c.reason != "" {
		f.state.stop.ended.Add(1)
	}
	f.metrics.outcomes.WithLabelValues(outcome).Inc()
	f.metrics.duration.Observe(now.Sub(c.arrived).Seconds())
	if c.firstByteAt > 0 {
		f.metrics.firstByte.Observe(c.firstByteAt.Sub(c.arrived).Seconds())
	}
	f.countLate(c, outcome)
	if cause, refused := versionCauses[c.reason]; refused {
		f.metrics.versions.WithLabelValues(cause).Inc()
	}
	entry := f.log.Check(f.levelOf(outcome), "request ended")
	if entry == nil {
		return
	}
	fields := c.appendProof([]zap.Field{zap.String("request", c.loggedID())})
	fields = append(fields, zap.String("ending", outcome), zap.Int("status", c.status))
	if f.state.stopping.Load() {
		fields = append(fields, zap.Duration("read_since_stop", f.sinceStop(c.arrived)))
		fields = c.fit.appendTo(fields)
	}
	fields = append(fields, zap.String("workspace", string(c.workspace)), zap.Duration("took", now.Sub(c.arrived)))
	if c.proofSource == "" {
		fields = append(fields, zap.Uint64("revision", uint64(c.revision)), zap.Duration("proof_age", c.proofAge))
	}
	fields = append(fields, zap.Int("sends", c.attempts), zap.Int("runs", c.runs), zap.Bool("may_have_run", c.mayHaveRun))
	fields = c.appendRoute(fields)
	if len(c.tried) > 0 || c.choice.Refused != "" {
		fields = append(fields, zap.Array("targets", targetList(c.tried)), zap.Float64("standing", c.shareRatio), zap.Duration("limit", c.latencyLimit),
			zap.Duration("expected", c.choice.Wait), zap.Int("unread", c.choice.PrefillTokens), zap.String("refused", string(c.choice.Refused)))
	}
	if c.firstByteAt > 0 {
		fields = append(fields, zap.Duration("first", c.firstByteAt.Sub(c.arrived)))
	}
	if c.stream != nil && c.stream.longestGap > 0 {
		fields = append(fields, zap.Duration("longest_gap", c.stream.longestGap))
	}
	if c.reason != "" || c.connError != "" {
		fields = append(fields, zap.String("reason", c.reason), zap.String("fault", c.connError))
	}
	entry.Write(fields...)
}

// levelOf returns the level of the log line of a request that ended with an outcome.
func (f *Forwarder) levelOf(outcome string) zapcore.Level {
	if outcome == outcomeDenied && f.deniedLines.Allow() {
		return zap.WarnLevel
	}
	return zap.InfoLevel
}

// appendProof appends the fields of the configuration and the proof under which a request was
// denied, and nothing for other requests. They are the first in the line, as readers of many
// lines cut these off.
func (c *call) appendProof(fields []zap.Field) []zap.Field {
	if c.proofSource == "" {
		return fields
	}
	return append(fields, zap.Uint64("revision", uint64(c.revision)), zap.Duration("proof_age", c.proofAge),
		zap.String("proof_from", c.proofSource), zap.Int64("position", c.position.Revision), zap.Int64("era", c.position.Era))
}

// appendRoute appends the fields of a request's route, and of the stream that it takes up.
func (c *call) appendRoute(fields []zap.Field) []zap.Field {
	if c.route != nil {
		fields = append(fields, zap.String("kind", string(c.route.Kind)), zap.String("pool", string(c.pool)))
	}
	if c.takesUp() {
		fields = append(fields, zap.String("resumes", boundText(string(c.info.Resumes))), zap.String("software", string(c.pin.software)))
	}
	return fields
}

// maxLoggedText bounds text of callers and targets in a log line, in bytes.
const maxLoggedText = 256

// boundText returns text cut off at maxLoggedText.
func boundText(text string) string { return text[:min(len(text), maxLoggedText)] }

// loggedID returns the ID of the request for a log line. It is chosen by the caller.
func (c *call) loggedID() string { return boundText(string(c.info.ID)) }

// targetList is a list of targets that zap logs as an array of strings.
type targetList []identifier.Target

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l targetList) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, t := range l {
		enc.AppendString(string(t))
	}
	return nil
}

// outcome returns the outcome of a request. routerStopped is set when the router has
// cancelled all requests in flight: the context of the request is then done although
// its caller has not left.
func (c *call) outcome(routerStopped bool) string {
	switch {
	case c.r.Context().Err() != nil && !routerStopped:
		return outcomeCallerLeft
	case c.reason != "" && c.streamStarted():
		return outcomeTruncated
	case c.reason != "" && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		return outcomeRefused
	case c.reason != "" && c.status >= http.StatusInternalServerError:
		return outcomeUnknown
	case c.reason != "":
		return outcomeDenied
	case c.status >= http.StatusInternalServerError:
		return outcomeFailed
	}
	return outcomeAnswered
}

// The causes of late answers, as values of the cause label.
const (
	lateFirstByte = "first_event"
	lateGap       = "gap"
)

// countLate counts a complete answer that missed an objective of its route, once for each
// objective.
func (f *Forwarder) countLate(c *call, outcome string) {
	if outcome != outcomeAnswered || c.route == nil || c.firstByteAt == 0 {
		return
	}
	if limit := c.route.LatencyObjective; limit > 0 && c.firstByteAt.Sub(c.arrived) > limit {
		f.metrics.late.WithLabelValues(lateFirstByte).Inc()
	}
	if limit := c.route.GapObjective; limit > 0 && c.stream != nil && c.stream.longestGap > limit {
		f.metrics.late.WithLabelValues(lateGap).Inc()
	}
}
