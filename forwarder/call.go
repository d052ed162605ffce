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
	facts   RequestInfo
	body    []byte
	arrived identifier.Instant
	// came is when it came at the earliest. It may have waited unread since then.
	came identifier.Instant
	// deadline is when the caller is answered at the latest.
	deadline  identifier.Instant
	route     *Route
	workspace identifier.Workspace
	pool      identifier.Pool
	// mayHaveRun tells that a target may have run the request.
	mayHaveRun bool
	// runs counts the targets that may have run it, sends all sendings.
	runs  int
	sends int
	tried []identifier.Target
	// asked tells that the request was noted as asked for.
	asked bool
	// granted tells that the next sending was taken from the retry budget already.
	granted bool
	// held is the memory that its body and its answer take up.
	held holding
	// stream is the answer's stream so far, nil before it began.
	stream *stream
	// seed spreads requests without a prompt.
	seed uint64
	account
}

// ending is how a request ends without a target's answer.
type ending struct {
	status int
	// reason is a short sentence.
	reason string
	// retryAfter is when the caller may come back, zero for no hint.
	retryAfter time.Duration
}

// ServeHTTP serves one caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, arrived: clocker.Coarse(), seed: rand.Uint64(), held: holding{ledger: &f.ledger}}
	c.came = acceptor.CameAfter(r, c.arrived)
	defer c.held.release()
	if f.board.stopping.Load() || f.callers.Crowded() || f.strain.sendsAway(c.arrived) {
		w.Header().Set("Connection", "close")
	}
	c.facts = f.cfg.Dialect.ReadRequest(r.Header)
	defer f.ended(c)
	if f.leavesToOthers(c) {
		f.end(c, ending{status: http.StatusServiceUnavailable, reason: "This router is short of processor time.", retryAfter: f.strain.comeBack(c.arrived)})
		return
	}
	ctx, cancel, e := f.intake(c)
	if e == nil {
		defer cancel()
		e = f.run(ctx, c)
	}
	if e != nil {
		f.end(c, *e)
	}
}

// stale is the ending of a request whose key cannot be relied on.
func stale() *ending {
	return &ending{status: http.StatusServiceUnavailable, reason: "The configuration may be out of date.", retryAfter: time.Second}
}

// intake checks a request and reads its body.
func (f *Forwarder) intake(c *call) (context.Context, context.CancelFunc, *ending) {
	if e := f.admit(c); e != nil {
		return nil, nil, e
	}
	limit := c.facts.Timeout
	if t := c.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit <= 0 {
		limit = defaultPatience
	}
	c.deadline = c.arrived.Add(limit)
	if e := f.readBody(c); e != nil {
		return nil, nil, e
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(clocker.Coarse()))
	return ctx, cancel, nil
}

// defaultPatience is how long a request may take if nobody says.
const defaultPatience = time.Minute

// admit finds the route and the workspace of a request in the configuration in
// force. It is called again before each sending.
func (f *Forwarder) admit(c *call) *ending {
	proved := f.proof()
	s := f.board.snapshot.Load()
	if s == nil {
		return &ending{status: http.StatusServiceUnavailable, reason: "There is no configuration yet.", retryAfter: time.Second}
	}
	now := clocker.Now()
	c.revision, c.proofAge = s.Revision, now.Sub(proved)
	route := s.Match(c.r.Host, path(c.r))
	if route == nil {
		if !f.fresh(now, proved) {
			return stale()
		}
		return &ending{status: http.StatusNotFound, reason: "There is no such route."}
	}
	c.route = route
	if route.Public {
		c.workspace = ""
		return nil
	}
	if !f.fresh(now, proved) {
		return stale()
	}
	w, ok := s.WorkspaceOf(c.facts.Key)
	if !ok {
		return &ending{status: http.StatusUnauthorized, reason: "The key is not valid."}
	}
	c.workspace = w
	return nil
}

// path returns the path as the caller sent it.
func path(r *http.Request) string {
	p, _, _ := strings.Cut(target(r), "?")
	return p
}

// target returns the request target in origin form as the caller sent it.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// run sends a request until it has an answer or is given up.
func (f *Forwarder) run(ctx context.Context, c *call) *ending {
	pool, ok := c.route.pick(c.seed)
	if !ok {
		return &ending{status: http.StatusServiceUnavailable, reason: "The route has no pool.", retryAfter: time.Second}
	}
	c.pool = pool
	now := clocker.Coarse()
	f.countRequest(now, pool)
	f.asked(now, c)
	for {
		t, e := f.choose(c)
		if e != nil {
			return e
		}
		done, e := f.attempt(ctx, c, t)
		if done || e != nil {
			return e
		}
	}
}

// asked notes what the workspace asks for, once for each request.
func (f *Forwarder) asked(now identifier.Instant, c *call) {
	size := c.size()
	if size == 0 || c.asked {
		return
	}
	c.asked = true
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.sharer.Asked(now, c.workspace, size)
}

// generatedWeight is how many tokens read a generated one counts for.
const generatedWeight = 2

// size returns the request's part of the engines' rate, in tokens.
func (c *call) size() int { return c.facts.PromptTokens + generatedWeight*c.facts.MaxOutputTokens }

// aimShare is the part of a request's aim within which its first token is
// expected for it to be sent, if its workspace is within its share. Beyond the
// share it is less, so that those who had most wait first.
const aimShare = 0.8

// chosen is a target that was picked for a request.
type chosen struct {
	choice  admitter.Choice
	address string
	sent    *admitter.Sent
	// began tells that the target has begun to answer.
	began bool
	// withheld tells that the request was not sent, as the target was to be given no
	// work any more when its turn came.
	withheld bool
	// pauses tells that the target has asked for a pause in its answer.
	pauses bool
}

// draw returns a number from 0 to 1 that is the same for all choices of a request.
func (c *call) draw() float64 { return float64(c.seed>>11) / (1 << 53) }

// ask returns what a request wants of a target, given the standing of its workspace.
func (f *Forwarder) ask(c *call, standing float64) admitter.Ask {
	return admitter.Ask{
		Pool: c.pool, Model: c.facts.Model, Chain: c.facts.PromptPrefix, Prompt: c.facts.PromptTokens, Output: c.facts.MaxOutputTokens,
		Size: f.board.snapshot.Load().pools[c.pool].MemoryTokens, Avoid: c.tried, Near: f.cfg.DataCentre, Seed: c.seed,
		Within: standing >= 1, Limit: limit(c.route.LatencyObjective, standing),
	}
}

// choose picks a target and notes the sending, or says why there is none.
func (f *Forwarder) choose(c *call) (*chosen, *ending) {
	now := clocker.Coarse()
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	standing := 1.0
	if c.facts.Model != "" && c.runs == 0 {
		standing = f.board.sharer.Standing(now, c.workspace)
	}
	q := f.ask(c, standing)
	choice := admitter.Choice{Refused: admitter.BeyondShare, Wait: time.Second}
	if q.Model == "" || c.runs > 0 || c.draw() < f.board.sharer.Admits(now, c.workspace) {
		choice = f.board.admitter.Choose(now, q)
	}
	c.standing, c.limit, c.choice = standing, q.Limit, choice
	if choice.Refused != "" {
		return nil, f.truth(c, refused(choice))
	}
	t := &chosen{choice: choice, address: f.board.addresses[choice.Target], sent: f.board.admitter.Send(now, q, choice)}
	if q.Model != "" && c.runs == 0 {
		f.board.sharer.Given(now, c.workspace, c.size())
	}
	return t, nil
}

// defaultAim is the aim of a route that states none.
const defaultAim = time.Second

func limit(aim time.Duration, standing float64) time.Duration {
	if aim <= 0 {
		aim = defaultAim
	}
	return time.Duration(aimShare * standing * float64(aim))
}

const (
	// minRetryAfter and maxRetryAfter bound the hint when to come back.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// refused is the ending of a request for which no target has room.
func refused(choice admitter.Choice) *ending {
	after := max(choice.Wait, minRetryAfter)
	if choice.Refused != admitter.Pausing {
		after = min(after, maxRetryAfter)
	}
	after += time.Duration(rand.Float64() * float64(after) / 2)
	return &ending{status: http.StatusServiceUnavailable, reason: "All targets are busy.", retryAfter: after}
}
