package exchanger

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Call is one request to one target.
type Call struct {
	// Address is the address of the target, as host:port.
	Address string
	Method  string
	// Head is the request line and the header, with the empty line that ends them.
	Head []byte
	Body []byte
	// ID is the id of the request. An answer belongs to the request if Config.Identify
	// returns this id for it.
	ID string
	// Repeatable reports whether the request may run more than once. A request that is
	// not repeatable does not use a connection that the target may be about to close.
	Repeatable bool
	// Wanted is called just before the first byte is written. If it returns false, the
	// request is not sent and Do fails with ErrUnwanted. Nil means always wanted.
	Wanted func() bool
}

// Step is the part of an exchange that failed.
type Step string

// The steps, in order: getting a connection, writing the request, reading the head of
// the answer.
const (
	StepDial  Step = "dial"
	StepWrite Step = "write request"
	StepRead  Step = "read answer"
)

// ErrUnwanted is the Cause of a Fault if Call.Wanted returned false.
var ErrUnwanted = errors.New("the request is no longer wanted")

// Fault is the error of an exchange that brought no answer.
type Fault struct {
	Step Step
	// Address is the address of the target.
	Address string
	// MaybeSent reports whether a byte of the request may have reached the target.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%s at %s: %v", f.Step, f.Address, f.Cause) }

// Unwrap returns the Cause.
func (f *Fault) Unwrap() error { return f.Cause }

// Answer is the head of a target's answer, with its body still to be read. The user of
// an Answer must call Release or Abort.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or negative if it is not stated.
	Length int64
	Body   io.Reader
	pool   *Pool
	conn   *conn
	stop   func() bool
	resp   *http.Response
	addr   string
	once   sync.Once
}

// Do sends request c and returns the head of its answer. The connection is closed if ctx
// ends before Release or Abort is called. Every error is a *Fault.
func (p *Pool) Do(ctx context.Context, c Call) (*Answer, error) {
	k, err := p.acquire(ctx, c)
	if err != nil {
		return nil, &Fault{Step: StepDial, Address: c.Address, Cause: err}
	}
	stop := k.closeOnDone(ctx)
	fail := func(step Step, sent bool, err error) (*Answer, error) {
		stop()
		k.close()
		return nil, &Fault{Step: step, Address: c.Address, MaybeSent: sent, Cause: err}
	}
	if c.Wanted != nil && !c.Wanted() {
		return fail(StepWrite, false, ErrUnwanted)
	}
	if sent, err := k.write(c); err != nil {
		return fail(StepWrite, sent, err)
	}
	resp, err := k.read(c, p.cfg.Identify) //nolint:bodyclose // Keep or Abort ends the exchange.
	if err != nil {
		return fail(StepRead, true, err)
	}
	k.setIdleTimeout(resp.Header)
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body, pool: p, conn: k, stop: stop, resp: resp, addr: c.Address}, nil
}

// Release ends the exchange after the body was read to its end. It returns the
// connection to the pool if it can be reused, and closes it otherwise.
func (a *Answer) Release() {
	a.once.Do(func() {
		if !a.stop() || !a.reusable() {
			a.conn.close()
			return
		}
		a.pool.putIdle(a.addr, a.conn)
	})
}

// EndsWithConnection reports whether the answer has neither a length nor chunks, so that
// the end of its connection is its end. A target that has ended in the middle of it looks
// the same.
func (a *Answer) EndsWithConnection() bool {
	return a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0
}

// reusable reports whether the connection can carry another request: the target keeps it
// open, the end of the answer is known from its framing, and the request was written
// completely.
func (a *Answer) reusable() bool {
	if a.resp.Close || a.conn.idleTimeout <= 0 {
		return false
	}
	if a.EndsWithConnection() {
		return false
	}
	select {
	case <-a.conn.writeDone:
		return a.conn.fullyWritten
	default:
		return false
	}
}

// Abort ends the exchange and closes the connection, so that the target stops working on
// the request.
func (a *Answer) Abort() {
	a.once.Do(func() {
		a.stop()
		a.conn.close()
	})
}
