package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/queuer"
)

// Submission is the body with which a caller submits a request.
type Submission struct {
	Kind identifier.Kind `json:"kind"`
	// Prompt is the input of a model request.
	Prompt string `json:"prompt,omitempty"`
	// Payload is the input of a plain service.
	Payload json.RawMessage `json:"payload,omitempty"`
	// DeadlineMS is the time within which the answer is wanted, in milliseconds from the
	// submission. If it is zero, that of the kind is used.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// CostHint is the expected number of tokens, zero if unknown.
	CostHint int64 `json:"cost_hint,omitempty"`
	// Prefix names the prefix that the prompt shares with other prompts of the same
	// workspace.
	Prefix string `json:"prefix,omitempty"`
	// MaxTokens bounds the number of tokens of the answer. It has an effect only below
	// the kind's own bound.
	MaxTokens int `json:"max_tokens,omitempty"`
}

const (
	// maxDeadline bounds the time within which a caller wants its answer.
	maxDeadline = 24 * time.Hour
	// maxCostHint bounds a caller's cost hint and resume point, in tokens.
	maxCostHint = 1 << 24
	// maxKeyLength bounds an idempotency key and the body of a call that mints one, in
	// bytes.
	maxKeyLength = 256
)

// callerRoutes adds the routes for callers.
func (r *Router) callerRoutes(app *iris.Application) {
	app.Post("/v1/requests", r.handleSubmit)
	app.Get("/v1/requests/{id:string}", r.handleFetch)
	app.Delete("/v1/requests/{id:string}", r.handleCancel)
	app.Post("/v1/keys", r.handleMintKey)
}

// handleSubmit runs a submitted request and responds with its answer.
func (r *Router) handleSubmit(ctx iris.Context) {
	k, p := r.readAttempt(ctx)
	if p != nil {
		sendProblem(ctx, withKeyOutcome(ctx, *p))
		return
	}
	c := k.call
	r.respond(ctx, c, func(runCtx context.Context, out sink) result {
		if k.callerKey != "" {
			k.out = out
			return r.runKeyed(runCtx, k)
		}
		return r.run(runCtx, c, out)
	})
}

const (
	// keyHeader carries the idempotency key.
	keyHeader = "Idempotency-Key"
	// attemptHeader has the value "first" in the first attempt under a key.
	attemptHeader = "Idempotency-Attempt"
)

// firstAttempt reports whether the caller marks a submission as its key's first attempt.
func firstAttempt(ctx iris.Context) bool { return ctx.GetHeader(attemptHeader) == "first" }

// withKeyOutcome changes the outcome of a refused attempt to that of its key: Unknown
// unless it is the key's first attempt, because another attempt may have run.
func withKeyOutcome(ctx iris.Context, p Problem) Problem {
	if ctx.GetHeader(keyHeader) != "" && !firstAttempt(ctx) {
		p.Outcome = identifier.Unknown
	}
	return p
}

// readAttempt reads and checks a submission up to the point where it can run.
func (r *Router) readAttempt(ctx iris.Context) (*keyedAttempt, *Problem) {
	w, s, p := r.identify(ctx)
	if p != nil {
		return nil, p
	}
	sub, p := readSubmission(ctx, s)
	if p != nil {
		return nil, p
	}
	c, p := r.newCall(w, s, sub)
	if p != nil {
		return nil, p
	}
	k := &keyedAttempt{call: c, callerKey: ctx.GetHeader(keyHeader), claim: &claimer.Attempt{First: firstAttempt(ctx)}}
	return k, checkKeyUse(k)
}

// readSubmission reads the body of a submission, within the configured size limit, and
// decodes it.
func readSubmission(ctx iris.Context, s *configurator.Snapshot) (Submission, *Problem) {
	var sub Submission
	limit := s.Document.Limits.MaxBodyBytes
	raw, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, int64(limit)))
	if err != nil {
		p := requestProblem(http.StatusRequestEntityTooLarge, "The body could not be read.", fmt.Sprintf("%v; bodies may have %d bytes", err, limit), "bad_body")
		return sub, &p
	}
	sub, err = decodeSubmission(raw)
	if err != nil {
		p := requestProblem(http.StatusBadRequest, "The body is not a valid submission.", err.Error(), "bad_body")
		return sub, &p
	}
	return sub, nil
}

// decodeSubmission decodes a submission and checks that its numbers are in range. Unknown
// fields and anything after the submission are errors.
func decodeSubmission(raw []byte) (Submission, error) {
	var sub Submission
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&sub); err != nil {
		return sub, err
	}
	if _, err := d.Token(); err != io.EOF {
		return sub, errors.New("text follows the submission")
	}
	if sub.DeadlineMS < 0 || sub.CostHint < 0 || sub.CostHint > maxCostHint || sub.MaxTokens < 0 {
		return sub, fmt.Errorf("deadline_ms, cost_hint and max_tokens must not be negative, and cost_hint at most %d", maxCostHint)
	}
	return sub, nil
}

// timeLimit returns the time within which the answer is wanted, from the submission on. It
// is at most maxDeadline.
func (s Submission) timeLimit(k configurator.Kind) time.Duration {
	ms := s.DeadlineMS
	if ms == 0 {
		ms = k.DeadlineMS
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}

// newCall returns the call for a submission of workspace w, or a problem if its kind does
// not exist.
func (r *Router) newCall(w identifier.Workspace, s *configurator.Snapshot, sub Submission) (*call, *Problem) {
	kind, ok := s.Kind(sub.Kind)
	if !ok {
		p := requestProblem(http.StatusBadRequest, "The kind does not exist.", fmt.Sprintf("kind %.64q does not exist", sub.Kind), string(queuer.UnknownKind))
		return nil, &p
	}
	if sub.MaxTokens > 0 && sub.MaxTokens < kind.MaxTokens {
		kind.MaxTokens = sub.MaxTokens
	}
	c := &call{kind: kind, body: bodyOf(s, kind, sub), grants: make(chan addressedGrant, 1), expired: make(chan struct{})}
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	arrived := now()
	c.item = queuer.Item{
		Request:  r.nextRequest(),
		Class:    identifier.Class{Kind: kind.ID, Workspace: w},
		Bytes:    len(c.body),
		Arrived:  arrived,
		Deadline: arrived.Add(sub.timeLimit(kind)),
		CostHint: identifier.Cost(sub.CostHint),
	}
	if sub.Prefix != "" {
		c.item.Prefix = identifier.Prefix(xxhash.Sum64String(string(w) + "|" + sub.Prefix))
	}
	return c, nil
}

// bodyOf returns the body for the target: the prompt for an engine, the payload for a
// plain service.
func bodyOf(s *configurator.Snapshot, kind configurator.Kind, sub Submission) []byte {
	if p, _ := s.Pool(kind.Pool); p.Type == configurator.Engine {
		return []byte(sub.Prompt)
	}
	return sub.Payload
}

// checkKeyUse refuses a request that may not be repeated and has no key, and a key that
// is too long.
func checkKeyUse(k *keyedAttempt) *Problem {
	if k.callerKey == "" && !k.call.kind.Repeatable {
		p := requestProblem(http.StatusBadRequest, "The kind needs an idempotency key.", fmt.Sprintf("requests of kind %q may not be repeated; send an Idempotency-Key", k.call.kind.ID), "key_needed")
		return &p
	}
	if len(k.callerKey) > maxKeyLength {
		p := requestProblem(http.StatusBadRequest, "The idempotency key is too long.", "", "bad_key")
		return &p
	}
	return nil
}

// respond runs a request and sends its answer, as an event stream if the caller accepts
// one.
func (r *Router) respond(ctx iris.Context, c *call, run func(context.Context, sink) result) {
	var out responseWriter = &bufferedResponse{}
	if strings.Contains(ctx.GetHeader("Accept"), eventStreamMIME) {
		out = newStreamedResponse(ctx)
	}
	e := run(ctx.Request().Context(), out)
	r.metrics.outcomes.WithLabelValues(string(e.Outcome)).Inc()
	out.finish(ctx, c, e)
}

// handleFetch sends the answer of an earlier request, from the resume point on.
func (r *Router) handleFetch(ctx iris.Context) {
	w, _, ok := r.authenticate(ctx)
	if !ok {
		return
	}
	from, hint, p := resumePoint(ctx)
	if p != nil {
		sendProblem(ctx, *p)
		return
	}
	c := &call{item: queuer.Item{
		Request:  identifier.Request(ctx.Params().Get("id")),
		Class:    identifier.Class{Workspace: w},
		Deadline: now().Add(maxDeadline),
	}}
	c.tokens = make([]string, from)
	r.respond(ctx, c, func(runCtx context.Context, out sink) result { return r.findAnswer(runCtx, c, hint, out) })
}

// resumePoint returns the number of the first token that is wanted, and the target that
// is likely to hold the answer, empty if unknown. Both come from Last-Event-ID, which a
// stream sets as index@target, or else the number comes from the query parameter from.
func resumePoint(ctx iris.Context) (int, identifier.Target, *Problem) {
	if last := ctx.GetHeader("Last-Event-ID"); last != "" {
		index, target, _ := strings.Cut(last, "@")
		n, err := strconv.Atoi(index)
		if err == nil && n >= 0 && n < maxCostHint {
			return n + 1, identifier.Target(target), nil
		}
	}
	v := ctx.URLParamDefault("from", "0")
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > maxCostHint {
		p := requestProblem(http.StatusBadRequest, "The resume point is not valid.", fmt.Sprintf("from %.32q is not a token number", v), "bad_resume")
		return 0, "", &p
	}
	return n, "", nil
}

// handleCancel cancels a request of the caller's own workspace. The request may wait in
// this router, have been handed to a linked agent, or wait in another router.
func (r *Router) handleCancel(ctx iris.Context) {
	w, _, ok := r.authenticate(ctx)
	if !ok {
		return
	}
	id := identifier.Request(ctx.Params().Get("id"))
	if r.cancelQueued(w, id) {
		ctx.StatusCode(http.StatusNoContent)
		return
	}
	if r.cancelAtAgents(ctx.Request().Context(), w, id) || r.cancelAtOwner(ctx, id) {
		ctx.StatusCode(http.StatusNoContent)
		return
	}
	p := requestProblem(http.StatusNotFound, "The request is not known.", "it has ended, its router is not listed, or it is not yours", "unknown_request")
	p.Outcome = identifier.Unknown
	sendProblem(ctx, p)
}

// cancelQueued cancels a request that waits in this router's queues.
func (r *Router) cancelQueued(w identifier.Workspace, id identifier.Request) bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	c := r.state.calls[id]
	if c == nil || c.item.Class.Workspace != w || !r.state.queues.Cancel(id) {
		return false
	}
	c.expire()
	return true
}

// handleMintKey mints a key for a kind.
func (r *Router) handleMintKey(ctx iris.Context) {
	w, s, ok := r.authenticate(ctx)
	if !ok {
		return
	}
	var in struct {
		Kind identifier.Kind `json:"kind"`
	}
	if err := json.NewDecoder(io.LimitReader(ctx.Request().Body, maxKeyLength)).Decode(&in); err != nil {
		sendProblem(ctx, requestProblem(http.StatusBadRequest, "The body names no kind.", err.Error(), "bad_body"))
		return
	}
	if _, known := s.Kind(in.Kind); !known {
		sendProblem(ctx, requestProblem(http.StatusBadRequest, "The kind does not exist.", fmt.Sprintf("kind %.64q does not exist", in.Kind), string(queuer.UnknownKind)))
		return
	}
	key, err := r.mintKey(ctx.Request().Context(), identifier.Class{Kind: in.Kind, Workspace: w})
	if err != nil {
		p := requestProblem(http.StatusServiceUnavailable, "No key could be reserved.", err.Error(), "no_target")
		p.RetryAfterMS = time.Second.Milliseconds()
		sendProblem(ctx, p)
		return
	}
	sendJSON(ctx, http.StatusCreated, map[string]string{"key": r.signer.Format(key)})
}
