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
	"buckthorndrum/isolator"
	"buckthorndrum/permitter"
)

// call is the state of one caller's request in flight.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	body    []byte
	arrived identifier.Instant
	// startedAt is when the request had been read and was first to be sent to a target.
	startedAt identifier.Instant
	// earliestArrival is the earliest instant at which the request may have arrived. It
	// may have waited unread since then.
	earliestArrival identifier.Instant
	// deadline is the latest instant at which the caller is answered.
	deadline  identifier.Instant
	route     *Route
	workspace identifier.Workspace
	// allowedRegions are the regions in which the request may be processed.
	allowedRegions permitter.RegionSet
	pool           identifier.Pool
	// mayHaveRun is set when a target may have run the request.
	mayHaveRun bool
	// runs counts the targets that may have run the request, attempts all attempts to
	// send it.
	runs     int
	attempts int
	tried    []identifier.Target
	// demandRecorded is set when the request has been counted as demand of its
	// workspace.
	demandRecorded bool
	// retryGranted is set when the next attempt has already been taken from the retry
	// budget.
	retryGranted bool
	// electedFor is the undecided part that this request tries, zero if it tries none.
	electedFor isolator.Part
	// memory is the memory reserved for the request's body and answer.
	memory reservation
	// pin is the software to whose targets the request may go.
	pin softwarePin
	// stream is the state of the answer's stream, nil before its first event.
	stream *stream
	// seed is a random number that selects the request's pool and spreads requests
	// without a prompt over targets.
	seed uint64
	accessRecord
}

// errorAnswer is an answer that the router gives when it passes on none from a target.
type errorAnswer struct {
	status int
	// reason is a short sentence, sent as the body.
	reason string
	// retryAfter is the value of the Retry-After header, zero for no header.
	retryAfter time.Duration
}

// ServeHTTP serves one caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, arrived: clocker.Coarse(), seed: rand.Uint64(), memory: reservation{budget: &f.memory}}
	c.earliestArrival = acceptor.EarliestRequestArrival(r, c.arrived)
	defer c.memory.release()
	if f.callers.NearLimit() || f.overload.closesConnections(c.arrived) {
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

// staleAnswer returns the answer for a request that would depend on a configuration
// that may be out of date.
func staleAnswer() *errorAnswer {
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: "The configuration may be out of date.", retryAfter: time.Second}
}

// prepare authorizes a request, sets its deadline and reads its body. It returns a
// context that ends at the deadline, or an answer for the caller.
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
	c.boundWrites()
	if e := f.readBody(c); e != nil {
		return nil, nil, e
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(clocker.Coarse()))
	return ctx, cancel, nil
}

// boundWrites makes writes to the caller fail some time after its deadline. A caller that
// does not read would keep the memory of its answer reserved otherwise.
func (c *call) boundWrites() {
	left := c.deadline.Sub(clocker.Coarse()) + slowReaderMargin
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(left))
}

// defaultTimeout is the time limit of a request if neither the caller nor the route
// sets one.
const defaultTimeout = time.Minute

// authorize finds the route and the workspace of a request in the configuration in
// force, and returns an answer for the caller if the request is not allowed. It is
// called again before each attempt.
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
		return f.denial(now, confirmedAt, c, &errorAnswer{status: http.StatusNotFound, reason: "There is no such route."})
	}
	c.route = route
	if route.Public {
		c.workspace = ""
		c.allowedRegions = s.AllowedRegions(route, "")
		return nil
	}
	if !f.isFresh(now, confirmedAt) {
		return staleAnswer()
	}
	w, ok := s.WorkspaceOf(c.info.Key)
	if !ok {
		return f.denial(now, confirmedAt, c, &errorAnswer{status: http.StatusUnauthorized, reason: "The key is not valid."})
	}
	c.workspace = w
	c.allowedRegions = s.AllowedRegions(route, w)
	return nil
}

// denial returns the answer to a request that the configuration does not allow. A newer one
// may allow it if the proof is old, so that the caller is told to come back then.
func (f *Forwarder) denial(now, confirmedAt identifier.Instant, c *call, e *errorAnswer) *errorAnswer {
	maxAge := f.state.tunables.Load().MaxRefusalAge
	if !f.isFresh(now, confirmedAt) || maxAge > 0 && now.Sub(confirmedAt) > maxAge {
		return staleAnswer()
	}
	c.proofSource, c.position = f.proofSource(), f.position()
	return e
}

// requestPath returns the request's path as the caller sent it, without unescaping or
// cleaning.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(requestTarget(r), "?")
	return p
}

// requestTarget returns the HTTP request target in origin form, as the caller sent it.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// forward sends a request until it has an answer or may not be sent again. It returns
// nil if the caller has an answer from a target.
func (f *Forwarder) forward(ctx context.Context, c *call) *errorAnswer {
	pool, ok := c.route.pickPool(c.poolSeed())
	if !ok {
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "The route has no pool.", retryAfter: time.Second}
	}
	c.pool = pool
	now := clocker.Coarse()
	c.startedAt = now
	if e := f.checkTimeLeft(c); e != nil {
		return e
	}
	f.countRequest(now, pool)
	f.recordDemand(now, c)
	if e := f.pinVersion(c); e != nil {
		return e
	}
	release := f.awaitTrial(ctx, c)
	defer release()
	for {
		t, e := f.selectTarget(c)
		release()
		if e != nil {
			return e
		}
		done, e := f.attempt(ctx, c, t)
		if done || e != nil {
			return e
		}
		if e := f.checkTimeLeft(c); e != nil {
			return e
		}
	}
}

// recordDemand counts the tokens of a request as demand of its workspace, once for each
// request.
func (f *Forwarder) recordDemand(now identifier.Instant, c *call) {
	tokens := c.tokenCost()
	if tokens == 0 || c.demandRecorded {
		return
	}
	c.demandRecorded = true
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.sharer.RecordRequest(now, c.workspace, tokens)
}

// outputTokenWeight is the cost of a generated token, in prompt tokens.
const outputTokenWeight = 2

// tokenCost returns what the request takes of the engines' token rate, in prompt
// tokens.
func (c *call) tokenCost() int { return c.info.PromptTokens + outputTokenWeight*c.info.MaxOutputTokens }

// admissionFraction is the fraction of a request's latency objective within which its
// first token must be expected for the request to be sent, if its workspace is within
// its fair share. Beyond the fair share the limit is lower in proportion to the share
// ratio, so that the workspaces that have received most wait first.
const admissionFraction = 0.8

// selectedTarget is a target selected for one attempt of a request.
type selectedTarget struct {
	choice  admitter.Choice
	address string
	sent    *admitter.Attempt
	// firstByteSeen is set when the target has begun to answer.
	firstByteSeen bool
	// withheld is set when the request was not sent because the target stopped taking
	// new requests after it was selected.
	withheld bool
	// run is the run of the request's prompt, nil if it has no part that others share.
	run *isolator.Run
	// outcome is how the run ended. It is Ended until more is known.
	outcome isolator.Outcome
	// progressAt is when the progress of the answer was last recorded, at first that of its
	// first event. progressed is set once it was recorded.
	progressAt identifier.Instant
	progressed bool
	// events measures the time between the events of the answer.
	events eventTimer
	// askedPause is set when the target's answer asks for a pause.
	askedPause bool
}

// randomFraction returns a number in [0, 1) that stays the same for all selections of a
// target for one request.
func (c *call) randomFraction() float64 { return float64(c.seed>>11) / (1 << 53) }

// targetRequirements returns what the admitter needs to know of a request to select a
// target, given the share ratio of its workspace.
func (f *Forwarder) targetRequirements(c *call, shareRatio float64) admitter.Request {
	pool := f.state.snapshot.Load().pools[c.pool]
	return admitter.Request{
		Pool: c.pool, Model: c.info.Model, Segments: c.info.PromptPrefix, PromptTokens: c.info.PromptTokens, MaxOutputTokens: c.info.MaxOutputTokens,
		TargetMemory: pool.MemoryTokens, Exclude: c.tried, LocalDataCentre: f.cfg.DataCentre, Seed: c.seed,
		GapObjective: pool.GapObjective, EventTokens: pool.EventTokens, AllowedRegions: c.allowedRegions,
		Pinned: c.pin.set, Software: c.pin.software,
		WithinShare: shareRatio >= 1, MaxWait: latencyLimit(c.route.LatencyObjective, shareRatio),
	}
}

// selectTarget selects a target and records the attempt in the admitter. It returns an
// answer for the caller if no target may be used.
func (f *Forwarder) selectTarget(c *call) (*selectedTarget, *errorAnswer) {
	now := clocker.Coarse()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	isolate, e := f.judgePrompt(now, c)
	if e != nil {
		return nil, f.correctStatus(c, e)
	}
	shareRatio := 1.0
	if c.info.Model != "" && c.runs == 0 {
		shareRatio = f.state.sharer.ShareRatio(now, c.workspace)
	}
	req := f.targetRequirements(c, shareRatio)
	if req.Isolate = isolate; isolate != 0 {
		req.Crashed = f.crashedTargets(isolator.Part(isolate))
	}
	choice := admitter.Choice{Refused: admitter.ShareExceeded, Wait: time.Second}
	if req.Model == "" || c.runs > 0 || c.randomFraction() < f.state.sharer.AdmissionRatio(now, c.workspace) {
		f.observeLoadAge(now)
		choice = f.state.admitter.Choose(now, req)
	}
	c.shareRatio, c.latencyLimit, c.choice = shareRatio, req.MaxWait, choice
	if choice.Refused != "" {
		return nil, f.correctStatus(c, c.busyAnswer(choice))
	}
	t := &selectedTarget{choice: choice, address: f.state.addresses[choice.Target], sent: f.state.admitter.StartAttempt(now, req, choice), outcome: isolator.Ended}
	f.startRun(now, c, t)
	if req.Model != "" && c.runs == 0 {
		f.state.sharer.RecordDispatch(now, c.workspace, c.tokenCost())
	}
	return t, nil
}

// defaultLatencyObjective is the latency objective of a route that sets none.
const defaultLatencyObjective = time.Second

// latencyLimit returns the longest expected time to the first token at which a request
// is sent.
func latencyLimit(objective time.Duration, shareRatio float64) time.Duration {
	if objective <= 0 {
		objective = defaultLatencyObjective
	}
	return time.Duration(admissionFraction * shareRatio * float64(objective))
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After hint before it is spread. A
	// pause that targets have asked for may exceed maxRetryAfter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// busyAnswer returns the answer for a request that no target may be given. Its
// Retry-After is increased by up to half, at random, so that callers do not all return
// at once.
func busyAnswer(choice admitter.Choice) *errorAnswer {
	delay := max(choice.Wait, minRetryAfter)
	if choice.Refused != admitter.TargetsPausing {
		delay = min(delay, maxRetryAfter)
	}
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: refusalText(choice.Refused), retryAfter: spreadDelay(delay)}
}

// spreadDelay returns a delay increased by up to half, at random.
func spreadDelay(delay time.Duration) time.Duration {
	return delay + time.Duration(rand.Float64()*float64(delay)/2)
}

// refusalText returns the sentence by which a caller is told why its request is refused.
func refusalText(r admitter.Refusal) string {
	switch r {
	case admitter.TargetsEvacuated:
		return "The data centres of all targets are evacuated."
	case admitter.TargetsDisallowed:
		return "No target is in a region that is allowed for this request."
	case admitter.TargetsWarmingUp:
		return "All targets warm up."
	case admitter.SoftwareUnavailable:
		return reasonVersionNoPlace
	default:
		return "All targets are busy."
	}
}
