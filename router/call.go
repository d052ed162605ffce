package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/messenger"
	"buckthorndrum/queuer"
	"buckthorndrum/retrier"
	"buckthorndrum/signer"
)

// call is a request whose caller waits for the answer at this router.
type call struct {
	item queuer.Item
	kind configurator.Kind
	body []byte
	// key is the minted key under which the request runs, nil if there is none.
	key *signer.Key
	// grants receives the grant under which the request is handed over. A buffer of
	// one is enough, because the queue assigns at most one grant before the request
	// is queued again.
	grants chan addressedGrant
	// expired is closed when the request is removed from its queue because its
	// deadline has passed or its caller has cancelled it.
	expired chan struct{}
	// tokens are the tokens of the answer so far, over all attempts. Those before
	// the resume point of a fetched answer are empty.
	tokens []string
	// agent is the agent that the request was last handed over to, or from which its
	// answer is fetched.
	agent agentRef
	// attempts counts the hand-overs.
	attempts int
	// run is the run for which the request counts while its prompt prefix is suspected, nil
	// if it shares no prefix.
	run *isolator.Run
	// mayHaveRun reports whether an attempt may have reached a target. Once set, it
	// stays set.
	mayHaveRun bool
}

// notRunOutcome returns the outcome if the current attempt did nothing: Unknown if an
// attempt may have run or tokens were received, NotRun otherwise.
func (c *call) notRunOutcome() identifier.Outcome {
	if c.mayHaveRun || len(c.tokens) > 0 {
		return identifier.Unknown
	}
	return identifier.NotRun
}

// addressedGrant is a grant with the address of the agent that issued it.
type addressedGrant struct {
	id      identifier.Grant
	address string
}

// agentRef identifies an agent by its target and incarnation, and holds its address.
type agentRef struct {
	origin  identifier.Origin
	address string
}

// expire wakes the goroutine that waits for a grant of c. Whoever removes c from its
// queue calls it, at most once.
func (c *call) expire() { close(c.expired) }

// sink receives the answer for a caller. An error means that the answer cannot be
// passed on, and counts as the caller having left.
type sink interface {
	// accepted reports the request and the target that runs it.
	accepted(id identifier.Request, target identifier.Target) error
	// token passes on the token with the given index, counted from 0.
	token(index int, text string) error
}

// errCallerLeft means that the caller no longer reads its answer.
var errCallerLeft = errors.New("caller is gone")

// run queues a request, hands it over, retries it where that is allowed, and returns
// how it ended. Tokens go to out as they arrive.
func (r *Router) run(ctx context.Context, c *call, out sink) result {
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, int64(c.item.Deadline)).Add(endGrace))
	defer cancel()
	if e := r.enqueue(c); e != nil {
		return *e
	}
	defer r.removeCall(c)
	for {
		g, e := r.waitForGrant(ctx, c)
		if e != nil {
			return *e
		}
		e, retry := r.attempt(ctx, c, g, out)
		if !retry {
			return *e
		}
		if e := r.requeue(ctx, c, *e); e != nil {
			return *e
		}
	}
}

// endGrace is how long after the deadline the router waits for the agent to report
// how the request ended.
const endGrace = 500 * time.Millisecond

// enqueue puts a new request in its queue. It returns nil, or the result of a request
// that is refused.
func (r *Router) enqueue(c *call) *result {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if r.state.stopping {
		return &result{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: "router is shutting down", Reason: "stopping", RetryAfter: time.Second}
	}
	if refusal := r.judgePrompt(c); refusal != nil {
		r.metrics.refusals.WithLabelValues(refusal.Reason).Inc()
		return refusal
	}
	r.state.budget.RecordRequest()
	if err := r.state.queues.Enqueue(now(), c.item); err != nil {
		var ref queuer.Refusal
		_ = errors.As(err, &ref)
		r.endRun(c)
		r.metrics.refusals.WithLabelValues(string(ref.Reason)).Inc()
		return &result{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: err.Error(), Reason: string(ref.Reason), RetryAfter: ref.RetryAfter}
	}
	r.state.calls[c.item.Request] = c
	r.sendOffers()
	return nil
}

// removeCall removes a request from its queue and from the open calls.
func (r *Router) removeCall(c *call) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.queues.Cancel(c.item.Request)
	delete(r.state.calls, c.item.Request)
	r.endRun(c)
}

// waitForGrant waits until a queued request gets a grant. If the request leaves the
// queue in any other way, the current attempt has not run, and the result depends on
// the earlier attempts.
func (r *Router) waitForGrant(ctx context.Context, c *call) (addressedGrant, *result) {
	select {
	case g := <-c.grants:
		return g, nil
	case <-c.expired:
	case <-ctx.Done():
		if g, raced := r.withdraw(c); raced {
			return g, nil
		}
	case <-r.ctx.Done():
	}
	return addressedGrant{}, &result{
		Outcome:    c.notRunOutcome(),
		Step:       stepQueue,
		Peer:       string(r.cfg.Name),
		Detail:     "request was given up while it waited",
		Reason:     string(queuer.DeadlinePassed),
		RetryAfter: time.Second,
	}
}

// withdraw removes a request from its queue. If a grant arrived first, it returns that
// grant and true.
func (r *Router) withdraw(c *call) (addressedGrant, bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if r.state.queues.Cancel(c.item.Request) {
		return addressedGrant{}, false
	}
	select {
	case g := <-c.grants:
		return g, true
	default:
		return addressedGrant{}, false
	}
}

// requeue puts a request back in its queue after an attempt that may be retried, and
// returns nil. It returns last if the retry budget or the deadline does not allow that.
// After an expired grant the retry takes nothing from the budget and does not wait.
func (r *Router) requeue(ctx context.Context, c *call, last result) *result {
	wait, inTime := retrier.Backoff(now(), c.item.Deadline, c.attempts, jitter())
	r.state.mu.Lock()
	allowed := last.grantExpired || !r.suspects(c) && r.state.budget.TakeRetry()
	r.state.mu.Unlock()
	if !inTime || !allowed {
		return &last
	}
	if !last.grantExpired {
		r.metrics.retries.Inc()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return &last
		}
	}
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if !last.grantExpired && r.suspects(c) {
		return &last
	}
	r.state.queues.Requeue(c.item)
	r.sendOffers()
	return nil
}

// result is how a request ended, as reported to its caller.
type result struct {
	Outcome identifier.Outcome
	// Tokens is the number of tokens of a complete answer.
	Tokens int
	// Status is the HTTP status of a plain service, zero for a model.
	Status int
	// Step and Peer are the step and the peer at which an error arose. Detail describes
	// it.
	Step   string
	Peer   string
	Detail string
	// Reason is a short code for programs. RetryAfter is how long the caller should
	// wait before it tries again, zero if no retry is advised.
	Reason     string
	RetryAfter time.Duration
	// grantExpired reports that the grant had expired at hand-over. This is no fault of
	// the target, so the retry takes nothing from the retry budget.
	grantExpired bool
}

// Steps at which a request can end, as sent in Problem.Step.
const (
	stepAdmit    = "admit"
	stepQueue    = "wait_in_queue"
	stepHandover = "hand_over"
	stepStream   = "stream_answer"
	stepClaim    = "claim_key"
	stepKey      = messenger.StepKey
	stepFetch    = "fetch_answer"
)

// resultFromEnd converts an agent's report of how a request ended.
func resultFromEnd(e messenger.End) result {
	return result{Outcome: e.Outcome, Tokens: e.Tokens, Status: e.Status, Step: e.Step, Peer: e.Peer, Detail: e.Detail}
}
