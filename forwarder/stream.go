package forwarder

import (
	"bytes"
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
func (f *Forwarder) relayStream(ctx context.Context, c *call, t *chosen, a *exchanger.Answer) (admitter.Result, *ending) {
	var pending []byte
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		rest, gone := f.passEvents(c, t, a, pending)
		if gone != nil {
			a.Abort()
			return f.endStream(ctx, c, t, gone)
		}
		pending = rest
		if err == nil && len(pending) <= maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0 && c.begun() {
			a.Keep()
			return admitter.Answered, nil
		}
		a.Abort()
		c.note(err)
		if ctx.Err() != nil {
			return f.endStream(ctx, c, t, errCaller)
		}
		return f.brokenOff(c, t, "stream broke off")
	}
}

// endStream ends a stream whose caller or time is gone, or that is out of order.
func (f *Forwarder) endStream(ctx context.Context, c *call, t *chosen, why error) (admitter.Result, *ending) {
	if errors.Is(why, errOrder) {
		return f.brokenOff(c, t, why.Error())
	}
	if c.r.Context().Err() == nil && ctx.Err() != nil {
		return admitter.Left, f.truth(c, &ending{status: http.StatusGatewayTimeout, reason: "The time limit has passed."})
	}
	return admitter.Left, f.truth(c, &ending{status: http.StatusBadGateway, reason: "The caller has left."})
}

// brokenOff decides what follows when an answer broke off.
func (f *Forwarder) brokenOff(c *call, t *chosen, why string) (admitter.Result, *ending) {
	if e := f.again(c, t, why); e != nil {
		return admitter.Failed, e
	}
	return again, nil
}

// passEvents writes the whole events of data and returns the rest.
func (f *Forwarder) passEvents(c *call, t *chosen, a *exchanger.Answer, data []byte) ([]byte, error) {
	from, at := 0, 0
	for {
		n := eventEnd(data[at:])
		if n < 0 {
			break
		}
		fresh, err := c.accept(data[at : at+n])
		if err != nil {
			return nil, err
		}
		if !fresh && at > from {
			return nil, errOrder
		}
		if !fresh {
			from = at + n
		}
		at += n
	}
	if at > from {
		if err := f.writeEvents(c, t, a, data[from:at]); err != nil {
			return nil, errCaller
		}
	}
	return data[at:], nil
}

func (f *Forwarder) writeEvents(c *call, t *chosen, a *exchanger.Answer, events []byte) error {
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
func (f *Forwarder) began(c *call, t *chosen) {
	if t.began {
		return
	}
	t.began = true
	now := clocker.Coarse()
	if c.first == 0 {
		c.first = now
	}
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.admitter.Began(now, t.sent)
}

// note keeps an error of a connection for the request's line.
func (c *call) note(err error) {
	if err != nil {
		c.fault = err.Error()
	}
}

// begun tells whether the caller has got a part of the answer.
func (c *call) begun() bool { return c.stream != nil && c.stream.events > 0 }

// eventEnd returns the length of the first event with its empty line, or -1.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if len(rest) > 0 && rest[0] == '\n' {
			return i + 2
		}
		if len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n' {
			return i + 3
		}
	}
	return -1
}

// accept takes in one event. It is not fresh if the caller has it already, and an
// error if one before it is missing.
func (c *call) accept(event []byte) (fresh bool, err error) {
	id, ok := eventID(event)
	if c.stream == nil {
		c.stream = &stream{}
		if n, err := strconv.ParseInt(c.facts.After, 10, 64); err == nil {
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
			return false, errOrder
		}
	}
	s.last, s.number, s.numbered = id, n, notNumber == nil
	return true, nil
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
