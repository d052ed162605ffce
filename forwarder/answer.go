package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthorndrum/acceptor"
	"buckthorndrum/admitter"
	"buckthorndrum/exchanger"
)

// maxHeld is the largest answer that is read whole before the caller gets it,
// in bytes.
const maxHeld = 4 << 20

// skip reads a short answer to its end, so that its connection can be used again.
func (f *Forwarder) skip(t *chosen, a *exchanger.Answer) {
	const most = 16 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, most))
	if err != nil || n == most {
		a.Abort()
		return
	}
	f.keep(t, a)
}

// relay passes a target's answer on. The result is again if the caller has got
// nothing that it could not get from another target.
func (f *Forwarder) relay(ctx context.Context, c *call, t *chosen, a *exchanger.Answer) (admitter.Result, *ending) {
	if a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return f.relayStream(ctx, c, t, a)
	}
	if c.begun() {
		// A stream that has begun can only go on with events.
		a.Abort()
		return f.brokenOff(c, t, "no stream to go on with")
	}
	body, err := c.held.read(a.Body, a.Length, maxHeld)
	if err != nil {
		a.Abort()
		c.note(err)
		return f.unanswered(ctx, c, t, "answer broke off")
	}
	f.keep(t, a)
	failed := a.Status >= http.StatusInternalServerError
	if failed && c.repeatable() && c.runs < c.route.MaxRuns {
		if e := f.again(c, t, "target failed"); e == nil {
			return again, nil
		}
	}
	f.began(c, t)
	return f.pass(c, a, body, failed), nil
}

// unanswered decides what follows an answer that broke off.
func (f *Forwarder) unanswered(ctx context.Context, c *call, t *chosen, why string) (admitter.Result, *ending) {
	if ctx.Err() != nil {
		return admitter.Left, f.outOfTime(c)
	}
	return f.brokenOff(c, t, why)
}

// pass writes a whole answer to the caller.
func (f *Forwarder) pass(c *call, a *exchanger.Answer, body []byte, failed bool) admitter.Result {
	copyHeader(c.w.Header(), a.Header)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.status = a.Status
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(body)
	if failed {
		return admitter.Failed
	}
	return admitter.Answered
}

// copyHeader copies an answer's header without what concerns one connection.
func copyHeader(to, from http.Header) {
	stopping := to.Get("Connection")
	h := from.Clone()
	strip(h)
	h.Del("Content-Length")
	for name, values := range h {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
	if stopping != "" {
		to.Set("Connection", stopping)
	}
}

// breakOff ends an answer that has begun, so that it does not look complete. One of
// HTTP/1.0 ends with its connection, which therefore is reset.
func breakOff(r *http.Request) {
	if tcp, ok := acceptor.Connection(r).(*net.TCPConn); ok && !r.ProtoAtLeast(1, 1) {
		_ = tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// end answers a request that no target answered. One whose answer has begun is
// broken off, so that it does not look complete.
func (f *Forwarder) end(c *call, e ending) {
	c.reason, c.status = e.reason, e.status
	if c.begun() {
		breakOff(c.r)
	}
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(e.retryAfter)/float64(time.Second), 'f', 3, 64))
	}
	c.w.WriteHeader(e.status)
	_, _ = io.WriteString(c.w, e.reason+"\n")
}
