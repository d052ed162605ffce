package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/acceptor"
	"buckthorndrum/admitter"
	"buckthorndrum/exchanger"
)

// maxBufferedAnswer is the maximum size in bytes of an answer that is not a stream.
// Such an answer is read to its end before any of it is sent to the caller.
const maxBufferedAnswer = 4 << 20

// discardAnswer reads a short answer to its end, so that its connection can be reused.
// It closes the connection of one that reaches maxBytes or cannot be read.
func (f *Forwarder) discardAnswer(t *selectedTarget, a *exchanger.Answer) {
	const maxBytes = 16 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBytes))
	if err != nil || n == maxBytes {
		a.Abort()
		return
	}
	f.finishExchange(t, a)
}

// relayAnswer passes a target's answer on to the caller. The result is resultRetry if
// the request may be sent to another target, which can still give the caller a complete
// answer.
func (f *Forwarder) relayAnswer(ctx context.Context, c *call, t *selectedTarget, a *exchanger.Answer) (admitter.Result, *errorAnswer) {
	if c.relaysAsStream(a) {
		return f.relayStream(ctx, c, t, a)
	}
	if c.streamStarted() {
		// A stream that has started can only continue with events.
		a.Abort()
		return f.afterTruncated(c, t, "no stream to go on with")
	}
	body, err := c.memory.readAll(a.Body, a.Length, maxBufferedAnswer)
	if err == nil && f.endedWithTarget(t, a) {
		err = errTargetEnded
	}
	if err != nil {
		a.Abort()
		c.recordConnError(err)
		return f.afterReadError(ctx, c, t, err)
	}
	f.finishExchange(t, a)
	failed := a.Status >= http.StatusInternalServerError
	if failed && c.repeatable() && c.runs < c.route.MaxRuns {
		if e := f.checkRetry(c, t, "target failed"); e == nil {
			return resultRetry, nil
		}
	}
	f.recordFirstByte(c, t)
	return f.writeAnswer(c, a, body, failed), nil
}

// relaysAsStream reports whether an answer is passed on as it comes. A stopping router can
// only cut off such an answer, so that it passes on whole what a route answers that is not
// known to have streams.
func (c *call) relaysAsStream(a *exchanger.Answer) bool {
	if a.Status != http.StatusOK || !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return false
	}
	return c.route.Stream || c.fit == (stopFit{})
}

// afterReadError decides what follows when the body of an answer cannot be read to its
// end.
func (f *Forwarder) afterReadError(ctx context.Context, c *call, t *selectedTarget, cause error) (admitter.Result, *errorAnswer) {
	if ctx.Err() != nil {
		return admitter.Inconclusive, f.timeoutAnswer(c)
	}
	if errors.Is(cause, errNoMemory) {
		// The target has not failed, and another answer would have no memory either.
		return admitter.Inconclusive, f.correctStatus(c, &errorAnswer{status: http.StatusBadGateway, reason: "There is no memory left for the answer."})
	}
	f.noteBreak(t, cause)
	return f.afterTruncated(c, t, "answer broke off")
}

// writeAnswer writes a complete answer to the caller.
func (f *Forwarder) writeAnswer(c *call, a *exchanger.Answer, body []byte, failed bool) admitter.Result {
	f.closeIfStopping(c.w.Header())
	copyHeader(c.w.Header(), a.Header)
	if c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.status = a.Status
	c.w.WriteHeader(a.Status)
	if _, err := c.w.Write(body); err != nil {
		c.recordConnError(errors.Wrap(err, "write answer to the caller"))
	}
	if failed {
		return admitter.Failed
	}
	return admitter.Answered
}

// copyHeader copies an answer's header without the fields that apply to one connection.
func copyHeader(dst, src http.Header) {
	connection := dst.Get("Connection")
	header := src.Clone()
	stripHopByHop(header)
	header.Del("Content-Length")
	for name, values := range header {
		dst[name] = values
	}
	if _, ok := dst["Date"]; !ok {
		dst["Date"] = nil
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
	if connection != "" {
		dst.Set("Connection", connection)
	}
}

// abortAnswer cuts off an answer that has started, so that it does not look complete.
// An HTTP/1.0 answer may end where its connection is closed, so that connection is
// reset instead.
func abortAnswer(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		acceptor.ResetOnClose(r)
	}
	panic(http.ErrAbortHandler)
}

// resetWhenCut makes the connection of an HTTP/1.0 stream be reset if the router ends it
// while a write to its caller waits. It returns a function that ends this.
func (f *Forwarder) resetWhenCut(r *http.Request) (stop func()) {
	if r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	end := context.AfterFunc(f.requestCtx, func() { acceptor.ResetOnClose(r) })
	return func() { end() }
}

// writeError answers a request that no target answered. If the answer has already
// started, it is cut off so that it does not look complete.
func (f *Forwarder) writeError(c *call, e errorAnswer) {
	c.reason, c.status = e.reason, e.status
	if c.streamStarted() {
		abortAnswer(c.r)
	}
	h := c.w.Header()
	f.closeIfStopping(h)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(e.retryAfter)/float64(time.Second), 'f', 3, 64))
	}
	c.w.WriteHeader(e.status)
	_, _ = io.WriteString(c.w, e.reason+"\n")
}
