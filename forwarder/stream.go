package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
)

// stream is the part of a stream that the caller has got.
type stream struct {
	// lastID is the id of the lastID event, empty if events have none.
	lastID string
	// lastNumber is the same as a lastNumber, if it is one.
	lastNumber   int64
	hasNumber bool
	writes   int
}

// streamReadSize is how much of a stream is read at a time, in bytes.
const streamReadSize = 4 << 10

// maxEventBytes bounds one event, in bytes.
const maxEventBytes = 1 << 20

// relayStream passes events on as they come, each of them whole.
func (f *Forwarder) relayStream(ctx context.Context, c *call, t *selectedTarget, a *exchanger.Answer) (admitter.Result, *errorAnswer) {
	pending := &eventBuffer{memory: &c.memory}
	watch := f.watchStall(c, a)
	defer watch.stop()
	buf := make([]byte, streamReadSize)
	for {
		n, err := a.Body.Read(buf)
		if memErr := pending.add(buf[:n]); memErr != nil {
			err = memErr
		}
		if relayErr := f.relayEvents(c, t, a, pending, watch); relayErr != nil {
			a.Abort()
			return f.afterRelayError(ctx, c, t, relayErr)
		}
		if err == nil && len(pending.data) <= maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && pending.empty() && c.streamStarted() {
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
		return f.afterTruncated(c, t, "stream broke off")
	}
}

// afterRelayError ends a stream whose caller or time is gone, or that is out of order.
func (f *Forwarder) afterRelayError(ctx context.Context, c *call, t *selectedTarget, cause error) (admitter.Result, *errorAnswer) {
	if errors.Is(cause, errMissingEvent) {
		return f.afterTruncated(c, t, cause.Error())
	}
	if f.requestCtx.Err() != nil || c.r.Context().Err() == nil && ctx.Err() != nil {
		return admitter.Left, f.timeoutAnswer(c)
	}
	return admitter.Left, f.correctStatus(c, &errorAnswer{status: http.StatusBadGateway, reason: "The caller has left."})
}

// afterTruncated decides what follows when an answer broke off.
func (f *Forwarder) afterTruncated(c *call, t *selectedTarget, reason string) (admitter.Result, *errorAnswer) {
	if e := f.checkRetry(c, t, reason); e != nil {
		return admitter.Failed, e
	}
	return resultRetry, nil
}

// relayEvents writes the whole events that have come.
func (f *Forwarder) relayEvents(c *call, t *selectedTarget, a *exchanger.Answer, pending *eventBuffer, watch *stallWatch) error {
	defer pending.compact()
	unsent := pending.consumed
	for {
		eventStart := pending.consumed
		event := pending.next()
		if event == nil {
			break
		}
		isNew, err := c.acceptEvent(event)
		if err != nil {
			return err
		}
		if !isNew && eventStart > unsent {
			return errMissingEvent
		}
		if !isNew {
			unsent = pending.consumed
		} else if hasContent(event) {
			watch.recordEvent()
		}
	}
	if pending.consumed == unsent {
		return nil
	}
	if err := f.writeEvents(c, t, a, pending.data[unsent:pending.consumed]); err != nil {
		return errCallerGone
	}
	return nil
}

func (f *Forwarder) writeEvents(c *call, t *selectedTarget, a *exchanger.Answer, events []byte) error {
	f.recordFirstByte(c, t)
	if c.stream.writes == 0 {
		c.status = a.Status
		copyHeader(c.w.Header(), a.Header)
		c.w.WriteHeader(a.Status)
	}
	c.stream.writes++
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// recordFirstByte notes that a target has begun to answer.
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
	f.state.admitter.Began(now, t.sent)
}

// recordConnError keeps an error of a connection for the request's line.
func (c *call) recordConnError(err error) {
	if err != nil {
		c.connError = err.Error()
	}
}

// streamStarted tells whether the caller has got a part of the answer.
func (c *call) streamStarted() bool { return c.stream != nil && c.stream.writes > 0 }

// acceptEvent takes in one event. It is not fresh if the caller has it already, and an
// error if one before it is missing.
func (c *call) acceptEvent(event []byte) (isNew bool, err error) {
	id, ok := eventID(event)
	if c.stream == nil {
		c.stream = &stream{}
		if n, err := strconv.ParseInt(c.info.LastEventID, 10, 64); err == nil {
			c.stream.lastNumber, c.stream.hasNumber = n, true
		}
	}
	s := c.stream
	if !ok {
		return true, nil
	}
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr == nil && s.hasNumber {
		if n <= s.lastNumber {
			return false, nil
		}
		if n > s.lastNumber+1 {
			return false, errMissingEvent
		}
	}
	s.lastID, s.lastNumber, s.hasNumber = id, n, parseErr == nil
	return true, nil
}
