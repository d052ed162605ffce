package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"buckthorndrum/acceptor"
	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// call is one caller's request in hand.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	info   RequestInfo
	body    []byte
	arrived identifier.Instant
	// earliestArrival is when it earliestArrival at the earliest. It may have waited unread since then.
	earliestArrival identifier.Instant
	// deadline is when the caller is answered at the latest.
	deadline  identifier.Instant
	route     *Route
	workspace identifier.Workspace
	pool      identifier.Pool
	// mayHaveRun tells that a target may have run the request.
	mayHaveRun bool
	// runs counts the targets that may have run it, sends all sendings.
	runs  int
	attempts int
	tried []identifier.Target
	// demandRecorded tells that the request was noted as demandRecorded for.
	demandRecorded bool
	// retryGranted tells that the next sending was taken from the retry budget already.
	retryGranted bool
	// memory is the memory that its body and its answer take up.
	memory reservation
	// stream is the answer's stream so far, nil before it began.
	stream *stream
	// seed spreads requests without a prompt.
	seed uint64
	accessRecord
}

// errorAnswer is how a request ends without a target's answer.
type errorAnswer struct {
	status int
	// reason is a short sentence.
	reason string
	// retryAfter is when the caller may come back, zero for no hint.
	retryAfter time.Duration
}

// ServeHTTP serves one caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, arrived: clocker.Coarse(), seed: rand.Uint64(), memory: reservation{budget: &f.memory}}
	c.earliestArrival = acceptor.CameAfter(r, c.arrived)
	defer c.memory.release()
	if f.state.stopping.Load() || f.callers.Crowded() || f.overload.closesConnections(c.arrived) {
		w.Header().Set("Connection", "close")
	}
	c.info = f.cfg.Dialect.ReadRequest(r.Header)
	defer f.recordOutcome(c)
	if f.sheds(c) {
		f.writeError(c, errorAnswer{status: http.StatusServiceUnavailable, reason: "This router is short of processor time.", retryAfter: f.overload.retryAfter(c.arrived)})
		return
	}
	ctx, cancel, e := f.prepare(c)
	if e == nil {
		defer cancel()
		e = f.forward(ctx, c)
	}
	if e != nil {
		f.writeError(c, *e)
	}
}

// staleAnswer is the ending of a request whose key cannot be relied on.
func staleAnswer() *errorAnswer {
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: "The configuration may be out of date.", retryAfter: time.Second}
}

// prepare checks a request and reads its body.
func (f *Forwarder) prepare(c *call) (context.Context, context.CancelFunc, *errorAnswer) {
	if e := f.authorize(c); e != nil {
		return nil, nil, e
	}
	timeout := c.info.Timeout
	if t := c.route.Timeout; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived.Add(timeout)
	if e := f.readBody(c); e != nil {
		return nil, nil, e
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(clocker.Coarse()))
	return ctx, cancel, nil
}

// defaultTimeout is how long a request may take if nobody says.
const defaultTimeout = time.Minute

// authorize finds the route and the workspace of a request in the configuration in
// force. It is called again before each sending.
func (f *Forwarder) authorize(c *call) *errorAnswer {
	confirmedAt := f.confirmedAt()
	s := f.state.snapshot.Load()
	if s == nil {
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "There is no configuration yet.", retryAfter: time.Second}
	}
	now := clocker.Now()
	c.revision, c.proofAge = s.Revision, now.Sub(confirmedAt)
	route := s.Match(c.r.Host, requestPath(c.r))
	if route == nil {
		if !f.isFresh(now, confirmedAt) {
			return staleAnswer()
		}
		return &errorAnswer{status: http.StatusNotFound, reason: "There is no such route."}
	}
	c.route = route
	if route.Public {
		c.workspace = ""
		return nil
	}
	if !f.isFresh(now, confirmedAt) {
		return staleAnswer()
	}
	w, ok := s.WorkspaceOf(c.info.Key)
	if !ok {
		return &errorAnswer{status: http.StatusUnauthorized, reason: "The key is not valid."}
	}
	c.workspace = w
	return nil
}

// requestPath returns the requestPath as the caller sent it.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(requestTarget(r), "?")
	return p
}

// requestTarget returns the request requestTarget in origin form as the caller sent it.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// forward sends a request until it has an answer or is given up.
func (f *Forwarder) forward(ctx context.Context, c *call) *errorAnswer {
	pool, ok := c.route.pickPool(c.seed)
	if !ok {
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "The route has no pool.", retryAfter: time.Second}
	}
	c.pool = pool
	now := clocker.Coarse()
	f.countRequest(now, pool)
	f.recordDemand(now, c)
	for {
		t, e := f.selectTarget(c)
		if e != nil {
			return e
		}
		done, e := f.attempt(ctx, c, t)
		if done || e != nil {
			return e
		}
	}
}

// recordDemand notes what the workspace asks for, once for each request.
func (f *Forwarder) recordDemand(now identifier.Instant, c *call) {
	tokens := c.tokenCost()
	if tokens == 0 || c.demandRecorded {
		return
	}
	c.demandRecorded = true
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.sharer.Asked(now, c.workspace, tokens)
}

// outputTokenWeight is how many tokens read a generated one counts for.
const outputTokenWeight = 2

// tokenCost returns the request's part of the engines' rate, in tokens.
func (c *call) tokenCost() int { return c.info.PromptTokens + outputTokenWeight*c.info.MaxOutputTokens }

// admissionFraction is the part of a request's aim within which its first token is
// expected for it to be sent, if its workspace is within its share. Beyond the
// share it is less, so that those who had most wait first.
const admissionFraction = 0.8

// selectedTarget is a target that was picked for a request.
type selectedTarget struct {
	choice  admitter.Choice
	address string
	sent    *admitter.Sent
	// firstByteSeen tells that the target has begun to answer.
	firstByteSeen bool
	// withheld tells that the request was not sent, as the target was to be given no
	// work any more when its turn came.
	withheld bool
	// askedPause tells that the target has asked for a pause in its answer.
	askedPause bool
}

// randomFraction returns a number from 0 to 1 that is the same for all choices of a request.
func (c *call) randomFraction() float64 { return float64(c.seed>>11) / (1 << 53) }

// targetRequirements returns what a request wants of a target, given the standing of its workspace.
func (f *Forwarder) targetRequirements(c *call, shareRatio float64) admitter.Ask {
	return admitter.Ask{
		Pool: c.pool, Model: c.info.Model, Chain: c.info.PromptPrefix, Prompt: c.info.PromptTokens, Output: c.info.MaxOutputTokens,
		Size: f.state.snapshot.Load().pools[c.pool].MemoryTokens, Avoid: c.tried, Near: f.cfg.DataCentre, Seed: c.seed,
		Within: shareRatio >= 1, Limit: latencyLimit(c.route.LatencyObjective, shareRatio),
	}
}

// selectTarget picks a target and notes the sending, or says why there is none.
func (f *Forwarder) selectTarget(c *call) (*selectedTarget, *errorAnswer) {
	now := clocker.Coarse()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	shareRatio := 1.0
	if c.info.Model != "" && c.runs == 0 {
		shareRatio = f.state.sharer.Standing(now, c.workspace)
	}
	req := f.targetRequirements(c, shareRatio)
	choice := admitter.Choice{Refused: admitter.BeyondShare, Wait: time.Second}
	if req.Model == "" || c.runs > 0 || c.randomFraction() < f.state.sharer.Admits(now, c.workspace) {
		choice = f.state.admitter.Choose(now, req)
	}
	c.shareRatio, c.latencyLimit, c.choice = shareRatio, req.Limit, choice
	if choice.Refused != "" {
		return nil, f.correctStatus(c, busyAnswer(choice))
	}
	t := &selectedTarget{choice: choice, address: f.state.addresses[choice.Target], sent: f.state.admitter.Send(now, req, choice)}
	if req.Model != "" && c.runs == 0 {
		f.state.sharer.Given(now, c.workspace, c.tokenCost())
	}
	return t, nil
}

// defaultLatencyObjective is the aim of a route that states none.
const defaultLatencyObjective = time.Second

func latencyLimit(objective time.Duration, shareRatio float64) time.Duration {
	if objective <= 0 {
		objective = defaultLatencyObjective
	}
	return time.Duration(admissionFraction * shareRatio * float64(objective))
}

const (
	// minRetryAfter and maxRetryAfter bound the hint when to come back.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// busyAnswer is the ending of a request for which no target has room.
func busyAnswer(choice admitter.Choice) *errorAnswer {
	delay := max(choice.Wait, minRetryAfter)
	if choice.Refused != admitter.Pausing {
		delay = min(delay, maxRetryAfter)
	}
	delay += time.Duration(rand.Float64() * float64(delay) / 2)
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: delay}
}
