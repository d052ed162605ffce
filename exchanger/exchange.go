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
	// Address is the target's, as host:port.
	Address string
	Method  string
	// Head is the request line and the header with its final empty line.
	Head []byte
	Body []byte
	// ID is what the answer carries to show that it belongs to this request.
	ID string
	// Repeatable tells that the request may run again. Others do not use a
	// connection that the target may be about to close.
	Repeatable bool
	// Wanted is asked just before the first byte is written; a request that is no
	// longer wanted is not sent. Nil for one that always is.
	Wanted func() bool
}

// Step is where in an exchange something went wrong.
type Step string

// The steps.
const (
	StepDial  Step = "dial"
	StepWrite Step = "write request"
	StepRead  Step = "read answer"
)

// ErrUnwanted is the cause of the fault of a request that is no longer wanted.
var ErrUnwanted = errors.New("the request is no longer wanted")

// Fault tells why an exchange brought no answer.
type Fault struct {
	Step Step
	// Address is the target's.
	Address string
	// MaybeSent tells that the request may have reached the target.
	MaybeSent  bool
	Cause error
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%s at %s: %v", f.Step, f.Address, f.Cause) }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

// Answer is the head of a target's answer, and its body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, negative if it is not stated.
	Length int64
	Body   io.Reader
	pool   *Pool
	conn   *conn
	stop   func() bool
	resp   *http.Response
	addr   string
	once   sync.Once
}

// Do sends call c and returns the head of its answer. The connection is closed
// when ctx ends. An error is a *Fault.
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

// Release ends the exchange after the body was read to its end, and keeps the
// connection if it can be used again.
func (a *Answer) Release() {
	a.once.Do(func() {
		if !a.stop() || !a.reusable() {
			a.conn.close()
			return
		}
		a.pool.putIdle(a.addr, a.conn)
	})
}

// reusable tells whether the answer's end is known and the request was taken
// whole.
func (a *Answer) reusable() bool {
	if a.resp.Close || a.conn.idleTimeout <= 0 {
		return false
	}
	if a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0 {
		return false
	}
	select {
	case <-a.conn.writeDone:
		return a.conn.fullyWritten
	default:
		return false
	}
}

// Abort ends the exchange and closes the connection, so that the target stops
// its work.
func (a *Answer) Abort() {
	a.once.Do(func() {
		a.stop()
		a.conn.close()
	})
}
