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
	// last is the id of the last event, empty if events have none.
	last string
	// number is the same as a number, if it is one.
	number   int64
	numbered bool
	events   int
}

// streamBuffer is how much of a stream is read at a time, in bytes.
const streamBuffer = 4 << 10

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// relayStream passes events on as they come, each of them whole.
func (f *Forwarder) relayStream(ctx context.Context, c *call, t *selectedTarget, a *exchanger.Answer) (admitter.Result, *errorAnswer) {
	p := &pending{held: &c.memory}
	s := f.watchStall(c, a)
	defer s.stop()
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Body.Read(buf)
		if lack := p.add(buf[:n]); lack != nil {
			err = lack
		}
		if gone := f.passEvents(c, t, a, p, s); gone != nil {
			a.Abort()
			return f.endStream(ctx, c, t, gone)
		}
		if err == nil && len(p.data) <= maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && p.empty() && c.begun() {
			f.keep(t, a)
			return admitter.Answered, nil
		}
		a.Abort()
		c.note(err)
		if ctx.Err() != nil {
			return f.endStream(ctx, c, t, errCallerGone)
		}
		if s.stalled.Load() {
			c.retryGranted = true
			return f.brokenOff(c, t, "stream stalled")
		}
		return f.brokenOff(c, t, "stream broke off")
	}
}

// endStream ends a stream whose caller or time is gone, or that is out of order.
func (f *Forwarder) endStream(ctx context.Context, c *call, t *selectedTarget, why error) (admitter.Result, *errorAnswer) {
	if errors.Is(why, errMissingEvent) {
		return f.brokenOff(c, t, why.Error())
	}
	if f.calls.Err() != nil || c.r.Context().Err() == nil && ctx.Err() != nil {
		return admitter.Left, f.timeoutAnswer(c)
	}
	return admitter.Left, f.correctStatus(c, &errorAnswer{status: http.StatusBadGateway, reason: "The caller has left."})
}

// brokenOff decides what follows when an answer broke off.
func (f *Forwarder) brokenOff(c *call, t *selectedTarget, why string) (admitter.Result, *errorAnswer) {
	if e := f.checkRetry(c, t, why); e != nil {
		return admitter.Failed, e
	}
	return resultRetry, nil
}

// passEvents writes the whole events that have come.
func (f *Forwarder) passEvents(c *call, t *selectedTarget, a *exchanger.Answer, p *pending, s *stall) error {
	defer p.compact()
	from := p.taken
	for {
		start := p.taken
		event := p.next()
		if event == nil {
			break
		}
		fresh, err := c.accept(event)
		if err != nil {
			return err
		}
		if !fresh && start > from {
			return errMissingEvent
		}
		if !fresh {
			from = p.taken
		} else if carries(event) {
			s.progress()
		}
	}
	if p.taken == from {
		return nil
	}
	if err := f.writeEvents(c, t, a, p.data[from:p.taken]); err != nil {
		return errCallerGone
	}
	return nil
}

func (f *Forwarder) writeEvents(c *call, t *selectedTarget, a *exchanger.Answer, events []byte) error {
	f.began(c, t)
	if c.stream.events == 0 {
		c.status = a.Status
		copyHeader(c.w.Header(), a.Header)
		c.w.WriteHeader(a.Status)
	}
	c.stream.events++
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// began notes that a target has begun to answer.
func (f *Forwarder) began(c *call, t *selectedTarget) {
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

// note keeps an error of a connection for the request's line.
func (c *call) note(err error) {
	if err != nil {
		c.connError = err.Error()
	}
}

// begun tells whether the caller has got a part of the answer.
func (c *call) begun() bool { return c.stream != nil && c.stream.events > 0 }

// accept takes in one event. It is not fresh if the caller has it already, and an
// error if one before it is missing.
func (c *call) accept(event []byte) (fresh bool, err error) {
	id, ok := eventID(event)
	if c.stream == nil {
		c.stream = &stream{}
		if n, err := strconv.ParseInt(c.info.LastEventID, 10, 64); err == nil {
			c.stream.number, c.stream.numbered = n, true
		}
	}
	s := c.stream
	if !ok {
		return true, nil
	}
	n, notNumber := strconv.ParseInt(id, 10, 64)
	if notNumber == nil && s.numbered {
		if n <= s.number {
			return false, nil
		}
		if n > s.number+1 {
			return false, errMissingEvent
		}
	}
	s.last, s.number, s.numbered = id, n, notNumber == nil
	return true, nil
}
