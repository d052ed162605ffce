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

// attempt hands a request over under grant g and reads its answer. It returns how the
// attempt ended. retry reports whether the request may be queued again instead of ending
// with e.
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

// postHandover sends the request to its agent under grant g.
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

// newAgentRequest returns a signed HTTP request to the agent at address.
func (r *Router) newAgentRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.security.Scheme()+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "prepare call to agent %s", address)
	}
	r.security.Sign(req.Header, string(r.cfg.Name), time.Now())
	return req, nil
}

// neverSent reports whether err proves that nothing reached the agent, because no
// connection could be opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// handleHandoverError returns the result of a handover that got no response, and whether
// to retry it. Unless it was never sent, the request may be running, so it is retried
// only if it is repeatable or has a key.
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

// handleHandoverRefusal returns the result of a handover that the agent refused, and
// whether to retry it. Only a refusal of the grant is retried.
func (r *Router) handleHandoverRefusal(c *call, resp *http.Response) (*result, bool) {
	f := readFault(resp)
	e := &result{Outcome: c.refusedOutcome(f), Step: f.Step, Peer: string(c.agent.origin.Target), Detail: f.Detail, RetryAfter: time.Second}
	if f.Step == messenger.StepGrant {
		// The grant had expired, so the request goes back to the front of its queue.
		e.grantExpired = true
		e.Outcome = c.notRunOutcome()
		return e, true
	}
	return e, false
}

// refusedOutcome returns what a refusal tells of the whole request, with its earlier attempts. That
// it has not run holds for these only if the agent says so of its key. That it is done is known
// only of a key, which may have run before.
func (c *call) refusedOutcome(f messenger.Fault) identifier.Outcome {
	switch {
	case f.Outcome == identifier.Done && c.key == nil:
		return identifier.Unknown
	case f.Outcome == identifier.NotRun && (c.key == nil || f.Step != messenger.StepKey):
		return c.notRunOutcome()
	}
	return f.Outcome
}

// maxFaultBytes bounds an agent's refusal, in bytes.
const maxFaultBytes = 64 << 10

// readFault reads the refusal in resp. If the body is not a valid refusal, the outcome
// is Unknown.
func readFault(resp *http.Response) messenger.Fault {
	var f messenger.Fault
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxFaultBytes))
	if err == nil && cbor.Unmarshal(raw, &f) == nil && f.Outcome.Check() == nil {
		return f
	}
	return messenger.Fault{Outcome: identifier.Unknown, Step: stepHandover, Detail: fmt.Sprintf("agent answered with status %d", resp.StatusCode)}
}

// readAnswer reads the pieces of an answer from body until its end, and passes their
// tokens to out. It returns an error if the stream is interrupted, a piece is not valid,
// tokens are missing, a complete answer ends with another number of tokens than it reports,
// or the caller has left. The tokens read so far stay in c.tokens.
func (r *Router) readAnswer(c *call, body io.Reader, out sink) (messenger.End, error) {
	dec := cbor.NewDecoder(body)
	for {
		var p messenger.Piece
		if err := dec.Decode(&p); err != nil {
			return messenger.End{}, errors.Wrapf(err, "read answer after token %d", len(c.tokens))
		}
		if err := p.Check(); err != nil {
			return messenger.End{}, errors.Wrapf(err, "check answer after token %d", len(c.tokens))
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

// handlePiece passes on the tokens of piece p that were not passed on before. It returns
// an error if tokens before p are missing.
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

// maxResumes bounds how often an interrupted answer is fetched again from its agent.
const maxResumes = 5

// resumeAnswer fetches the rest of an answer that lastErr interrupted, from the same
// run. It returns the last error if maxResumes attempts fail, the deadline is too near, ctx
// is done, the caller has left, or the agent does not hold the answer.
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

// errNoAnswer means that the agent does not know the request, for example because it
// has restarted. Every response to a fetch with a status other than 200 counts as this.
var errNoAnswer = errors.New("agent does not hold the answer")

// fetchAnswer reads the answer of c from its agent, from the first missing token on.
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

// concludeAttempt returns the result of an attempt whose answer ended with end or err,
// and whether to retry it.
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
	// A key whose request ended as not run is closed for good, so that the request cannot
	// be queued again under it.
	return &e, c.kind.Repeatable && c.key == nil && !end.Final
}

// callerLeftResult returns the result of a request whose caller has left.
func (r *Router) callerLeftResult() *result {
	return &result{Outcome: identifier.Unknown, Step: stepStream, Peer: "caller", Detail: errCallerLeft.Error()}
}
