package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/retrier"
)

// attempt hands a request over under grant g and follows its answer. again
// tells that the request may be queued once more; e says how it ends otherwise.
func (r *Router) attempt(ctx context.Context, c *call, g addressedGrant, out sink) (e *result, retry bool) {
	c.attempts++
	c.agent = agentRef{origin: g.id.Origin, address: g.address}
	resp, err := r.postHandover(ctx, c, &g.id)
	if err != nil {
		return r.handleHandoverError(c, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r.handleHandoverRefusal(c, resp)
	}
	if err := out.accepted(c.item.Request, c.agent.origin.Target); err != nil {
		return r.callerLeftResult(), false
	}
	end, err := r.readAnswer(c, resp.Body, out)
	if err != nil {
		end, err = r.resumeAnswer(ctx, c, err, out)
	}
	return r.concludeAttempt(c, end, err)
}

// postHandover sends the handover to the agent.
func (r *Router) postHandover(ctx context.Context, c *call, g *identifier.Grant) (*http.Response, error) {
	h := messenger.Handover{
		Grant:      g,
		Request:    c.item.Request,
		Class:      c.item.Class,
		DeadlineMS: max(1, c.item.Deadline.Sub(now()).Milliseconds()),
		Body:       c.body,
		MaxTokens:  c.kind.MaxTokens,
		Prior:      c.tokens,
		Prefix:     c.item.Prefix,
	}
	if c.key != nil {
		h.Key = &messenger.KeyRef{Incarnation: c.key.Origin.Incarnation, Sequence: c.key.Sequence}
	}
	raw, err := cbor.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode handover")
	}
	req, err := r.newAgentRequest(ctx, http.MethodPost, c.agent.address, "/run", raw)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the handover a second time.
	req.GetBody = nil
	return r.client.Do(req)
}

// newAgentRequest prepares a signed call to an agent.
func (r *Router) newAgentRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.security.Scheme()+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "prepare call to agent %s", address)
	}
	r.security.Sign(req.Header, string(r.cfg.Name), time.Now())
	return req, nil
}

// neverSent tells whether an error proves that nothing reached the agent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// handleHandoverError decides what follows when no answer to a handover came. The
// request may be running, so only a repeatable one is tried again.
func (r *Router) handleHandoverError(c *call, err error) (*result, bool) {
	e := &result{Outcome: identifier.Unknown, Step: stepHandover, Peer: string(c.agent.origin.Target), Detail: err.Error(), RetryAfter: time.Second}
	if neverSent(err) {
		e.Outcome = c.notRunOutcome()
		return e, true
	}
	c.mayHaveRun = true
	// Under a key the agent runs the request at most once, so that handing it
	// over again is safe.
	return e, c.kind.Repeatable || c.key != nil
}

// handleHandoverRefusal decides what follows when an agent has refused a handover.
func (r *Router) handleHandoverRefusal(c *call, resp *http.Response) (*result, bool) {
	f := readFault(resp)
	e := &result{Outcome: f.Outcome, Step: f.Step, Peer: string(c.agent.origin.Target), Detail: f.Detail, RetryAfter: time.Second}
	if f.Step == messenger.StepGrant {
		// The grant came too late: the request goes back to the front.
		e.grantExpired = true
		e.Outcome = c.notRunOutcome()
		return e, true
	}
	return e, false
}

// maxFaultBytes bounds an agent's refusal, in bytes.
const maxFaultBytes = 64 << 10

func readFault(resp *http.Response) messenger.Fault {
	var f messenger.Fault
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFaultBytes))
	if err == nil && cbor.Unmarshal(raw, &f) == nil && f.Outcome != "" {
		return f
	}
	return messenger.Fault{Outcome: identifier.Unknown, Step: stepHandover, Detail: fmt.Sprintf("agent answered with status %d", resp.StatusCode)}
}

// readAnswer reads pieces until the end. A gap or a broken stream is an error; what
// was read so far is kept in c.prior.
func (r *Router) readAnswer(c *call, body io.Reader, out sink) (messenger.End, error) {
	dec := cbor.NewDecoder(body)
	for {
		var p messenger.Piece
		if err := dec.Decode(&p); err != nil {
			return messenger.End{}, errors.Wrapf(err, "read answer after token %d", len(c.tokens))
		}
		if err := r.handlePiece(c, p, out); err != nil {
			return messenger.End{}, err
		}
		if p.End == nil {
			continue
		}
		if p.End.Outcome == identifier.Done && p.End.Tokens != len(c.tokens) {
			return messenger.End{}, errors.Errorf("answer ended at token %d of %d", len(c.tokens), p.End.Tokens)
		}
		return *p.End, nil
	}
}

// handlePiece passes on the tokens of a piece that were not passed on before.
func (r *Router) handlePiece(c *call, p messenger.Piece, out sink) error {
	if p.Index > len(c.tokens) {
		return errors.Errorf("answer skipped from token %d to %d", len(c.tokens), p.Index)
	}
	for i, text := range p.Tokens {
		if p.Index+i < len(c.tokens) {
			continue
		}
		if len(c.tokens) == 0 {
			r.metrics.firstToken.Observe(now().Sub(c.item.Arrived).Seconds())
		}
		c.tokens = append(c.tokens, text)
		if err := out.token(len(c.tokens)-1, text); err != nil {
			return errors.Wrap(errCallerLeft, err.Error())
		}
	}
	return nil
}

// maxResumes bounds how often a broken stream is resumed at its agent.
const maxResumes = 5

// resumeAnswer follows the answer of the same run again after a broken stream.
func (r *Router) resumeAnswer(ctx context.Context, c *call, lastErr error, out sink) (messenger.End, error) {
	for n := 1; n <= maxResumes && !errors.Is(lastErr, errCallerLeft); n++ {
		wait, inTime := retrier.Backoff(now(), c.item.Deadline, n, jitter())
		if !inTime {
			break
		}
		select {
		case <-ctx.Done():
			return messenger.End{}, lastErr
		case <-time.After(wait):
		}
		end, err := r.fetchAnswer(ctx, c, out)
		if err == nil {
			return end, nil
		}
		lastErr = err
		if errors.Is(err, errNoAnswer) {
			break
		}
	}
	return messenger.End{}, lastErr
}

// errNoAnswer means that the agent does not know the request, as after a
// restart.
var errNoAnswer = errors.New("agent does not hold the answer")

// fetchAnswer follows the answer of c at its agent from where it broke off.
func (r *Router) fetchAnswer(ctx context.Context, c *call, out sink) (messenger.End, error) {
	path := fmt.Sprintf("/answers/%s?from=%d", c.item.Request, len(c.tokens))
	req, err := r.newAgentRequest(ctx, http.MethodGet, c.agent.address, path, nil)
	if err != nil {
		return messenger.End{}, err
	}
	req.Header.Set(messenger.WorkspaceHeader, string(c.item.Class.Workspace))
	resp, err := r.client.Do(req)
	if err != nil {
		return messenger.End{}, errors.Wrap(err, "fetch answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return messenger.End{}, errors.Wrapf(errNoAnswer, "fetch answer from %s", c.agent.address)
	}
	return r.readAnswer(c, resp.Body, out)
}

// concludeAttempt decides what follows when an attempt has ended.
func (r *Router) concludeAttempt(c *call, end messenger.End, err error) (*result, bool) {
	switch {
	case errors.Is(err, errCallerLeft):
		return r.callerLeftResult(), false
	case err != nil:
		c.mayHaveRun = true
		e := &result{Outcome: identifier.Unknown, Step: stepStream, Peer: string(c.agent.origin.Target), Detail: err.Error(), RetryAfter: time.Second}
		return e, c.kind.Repeatable || c.key != nil
	case end.Outcome == identifier.Done:
		e := resultFromEnd(end)
		return &e, false
	}
	e := resultFromEnd(end)
	e.RetryAfter = time.Second
	if end.Outcome == identifier.NotRun {
		e.Outcome = c.notRunOutcome()
	} else {
		c.mayHaveRun = true
	}
	// A key that ended as not run is closed for ever and cannot be queued again.
	return &e, c.kind.Repeatable && c.key == nil && !end.Final
}

func (r *Router) callerLeftResult() *result {
	return &result{Outcome: identifier.Unknown, Step: stepStream, Peer: "caller", Detail: errCallerLeft.Error()}
}
