package forwarder

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/clocker"
)

// defaultMaxBody is the maximum size of a request body in bytes if the configuration
// sets none.
const defaultMaxBody = 8 << 20

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// readBody reads the body of a request into c.body before the request's deadline. It
// returns an answer for the caller if the body is too large, does not arrive in time or
// cannot be read.
func (f *Forwarder) readBody(c *call) *errorAnswer {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := int64(defaultMaxBody)
	if s := f.state.snapshot.Load(); s != nil && s.Limits.MaxBodyBytes > 0 {
		limit = s.Limits.MaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &errorAnswer{status: http.StatusRequestEntityTooLarge, reason: "The body is too large."}
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(c.deadline.Sub(clocker.Coarse())))
	// A read is not ended by its context.
	stop := context.AfterFunc(f.requestCtx, func() { _ = rc.SetReadDeadline(pastDeadline) })
	defer stop()
	body, err := c.memory.readAll(c.r.Body, c.r.ContentLength, limit)
	if err != nil {
		return f.bodyErrorAnswer(c, err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// bodyErrorAnswer returns the answer for a request whose body could not be read. It has
// the caller's connection closed, since it cannot be reused.
func (f *Forwarder) bodyErrorAnswer(c *call, err error) *errorAnswer {
	c.recordConnError(err)
	c.w.Header().Set("Connection", "close")
	switch {
	case f.requestCtx.Err() != nil:
		return f.timeoutAnswer(c)
	case errors.Is(err, errBodyTooLong):
		return &errorAnswer{status: http.StatusRequestEntityTooLarge, reason: "The body is too large."}
	case errors.Is(err, errNoMemory):
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "There is no memory left for the body.", retryAfter: minRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &errorAnswer{status: http.StatusRequestTimeout, reason: "The body did not come in time."}
	}
	return &errorAnswer{status: http.StatusBadRequest, reason: "The body broke off."}
}
