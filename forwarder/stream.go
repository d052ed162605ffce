package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
)

// stream is how much of a stream of events the caller has received.
type stream struct {
	position
	// writes counts the writes of events to the caller.
	writes int
	// lastWriteAt is when events were last written, zero before the first write, and
	// longestGap the longest time between two writes.
	lastWriteAt identifier.Instant
	longestGap  time.Duration
}

// streamReadSize is the maximum number of bytes of a stream that are read at a time.
const streamReadSize = 4 << 10

// maxEventBytes is the maximum size of one event, in bytes.
const maxEventBytes = 1 << 20

// relayStream passes the events of a stream on as they come. It writes complete events
// only.
func (f *Forwarder) relayStream(ctx context.Context, c *call, t *selectedTarget, a *exchanger.Answer) (admitter.Result, *errorAnswer) {
	if c.stream == nil {
		c.stream = &stream{position: startPosition(c.info.LastEventID)}
	}
	order := &eventOrder{position: c.stream.position}
	pending := &eventBuffer{memory: &c.memory}
	watch := f.watchStall(c, t, a)
	defer watch.stop()
	defer f.resetWhenCut(c.r)()
	buf := make([]byte, streamReadSize)
	for {
		n, err := a.Body.Read(buf)
		if memErr := pending.add(buf[:n]); memErr != nil {
			err = memErr
		}
		if relayErr := f.relayEvents(c, t, a, pending, order, watch); relayErr != nil {
			a.Abort()
			return f.afterRelayError(ctx, c, t, relayErr)
		}
		if err == nil && len(pending.data) <= maxEventBytes {
			continue
		}
		complete := errors.Is(err, io.EOF) && pending.empty() && c.streamStarted() && !order.repeats()
		if complete && f.endedWithTarget(t, a) {
			complete, err = false, errTargetEnded
		}
		if complete {
			f.finishExchange(t, a)
			return admitter.Answered, nil
		}
		a.Abort()
		c.recordConnError(err)
		if ctx.Err() != nil {
			return f.afterRelayError(ctx, c, t, errCallerGone)
		}
		if watch.stalled.Load() {
			c.retryGranted = true
			return f.afterTruncated(c, t, "stream stalled")
		}
		f.noteBreak(t, err)
		return f.afterTruncated(c, t, "stream broke off")
	}
}

// afterRelayError decides what follows when events cannot be relayed: the caller has
// left, its time has passed, the events are out of order, or their target has changed.
func (f *Forwarder) afterRelayError(ctx context.Context, c *call, t *selectedTarget, cause error) (admitter.Result, *errorAnswer) {
	if errors.Is(cause, errMissingEvent) || errors.Is(cause, errTargetChanged) {
		return f.afterTruncated(c, t, cause.Error())
	}
	if f.requestCtx.Err() != nil || c.r.Context().Err() == nil && ctx.Err() != nil {
		return admitter.Inconclusive, f.timeoutAnswer(c)
	}
	return admitter.Inconclusive, f.correctStatus(c, &errorAnswer{status: http.StatusBadGateway, reason: "The caller has left."})
}

// afterTruncated decides what follows when an answer was interrupted: the result is
// resultRetry if the request may be sent again.
func (f *Forwarder) afterTruncated(c *call, t *selectedTarget, reason string) (admitter.Result, *errorAnswer) {
	if e := f.checkRetry(c, t, reason); e != nil {
		return admitter.Failed, e
	}
	return resultRetry, nil
}

// relayEvents writes the complete events in pending to the caller, without those that
// it already has. If one of them is out of order, it writes those before it and returns
// errMissingEvent. It writes none and returns errTargetChanged if it is not known that their
// target has the software of the stream. The stream's position moves only with what was written.
func (f *Forwarder) relayEvents(c *call, t *selectedTarget, a *exchanger.Answer, pending *eventBuffer, order *eventOrder, watch *stallWatch) error {
	defer pending.compact()
	next := *order
	start, end := pending.consumed, pending.consumed
	var orderErr error
	for event := pending.next(); event != nil; event = pending.next() {
		isNew, err := next.accept(event)
		if err != nil {
			orderErr = err
			break
		}
		end = pending.consumed
		if !isNew {
			start = end
		} else if hasContent(event) {
			watch.recordEvent()
			f.recordProgress(t)
		}
	}
	if orderErr != nil && !next.confirmed {
		// The event that is wrong may be the one before.
		return orderErr
	}
	if end > start {
		if f.targetChanged(c, t) {
			return errTargetChanged
		}
		if err := f.writeEvents(c, t, a, pending.data[start:end]); err != nil {
			c.recordConnError(errors.Wrap(err, "write events to the caller"))
			return errCallerGone
		}
	}
	*order, c.stream.position = next, next.position
	return orderErr
}

// writeEvents writes events to the caller, before the first of them the answer's
// header, and flushes them.
func (f *Forwarder) writeEvents(c *call, t *selectedTarget, a *exchanger.Answer, events []byte) error {
	f.recordFirstByte(c, t)
	if c.stream.writes == 0 {
		c.pinTo(t)
		c.status = a.Status
		f.closeIfStopping(c.w.Header())
		copyHeader(c.w.Header(), a.Header)
		c.w.WriteHeader(a.Status)
	}
	c.stream.writes++
	now := clocker.Coarse()
	c.stream.recordWrite(now)
	f.recordEventTime(t, now)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// recordWrite records that events are written at now.
func (s *stream) recordWrite(now identifier.Instant) {
	if s.lastWriteAt != 0 {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
}

// recordFirstByte records, once for each attempt, that a target has begun to answer.
func (f *Forwarder) recordFirstByte(c *call, t *selectedTarget) {
	if t.firstByteSeen {
		return
	}
	t.firstByteSeen = true
	now := clocker.Coarse()
	if c.firstByteAt == 0 {
		c.firstByteAt = now
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.RecordAnswerStart(now, t.sent)
}

// recordConnError keeps an error of a connection for the request's log entry, cut off at
// maxLoggedText, as errors may quote what a target sent. A nil error is ignored.
func (c *call) recordConnError(err error) {
	if err != nil {
		c.connError = boundText(err.Error())
	}
}

// streamStarted reports whether the caller has received a part of a stream.
func (c *call) streamStarted() bool { return c.stream != nil && c.stream.writes > 0 }
