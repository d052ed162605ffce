package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/queuer"
	"buckthorndrum/retrier"
	"buckthorndrum/signer"
)

// call is one request whose caller waits here.
type call struct {
	item queuer.Item
	kind configurator.Kind
	body []byte
	// key is the minted key under which the request runs, if any.
	key *signer.Key
	// grants receives the permission to hand over. It has room for the one
	// grant that the queue can give before the request is queued again.
	grants chan addressedGrant
	// expired is closed when the deadline passed while the request waited.
	expired chan struct{}
	// tokens is the answer so far.
	tokens []string
	// agent is the agent that runs the request, once it was handed over.
	agent agentRef
	// attempts counts the hand-overs.
	attempts int
	// mayHaveRun tells that an attempt may have reached a target. It is never
	// unset.
	mayHaveRun bool
}

// notRunOutcome is the outcome when the present attempt did nothing.
func (c *call) notRunOutcome() identifier.Outcome {
	if c.mayHaveRun || len(c.tokens) > 0 {
		return identifier.Unknown
	}
	return identifier.NotRun
}

// addressedGrant is a grant with the address to hand over to.
type addressedGrant struct {
	id      identifier.Grant
	address string
}

// agentRef names the agent that has a request.
type agentRef struct {
	origin  identifier.Origin
	address string
}

func (c *call) expire() { close(c.expired) }

// sink takes the answer for a caller.
type sink interface {
	// accepted tells where the request runs.
	accepted(id identifier.Request, target identifier.Target) error
	// token takes token number index.
	token(index int, text string) error
}

// errCallerLeft means that the caller no longer reads its answer.
var errCallerLeft = errors.New("caller is gone")

// run takes a request through its queue and its target, and returns how it
// ended. Tokens go to the sink as they come.
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

// endGrace is how long after the deadline the agent's own word on how the
// request ended is waited for.
const endGrace = 500 * time.Millisecond

// enqueue queues a request, or returns the refusal.
func (r *Router) enqueue(c *call) *result {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if r.state.stopping {
		return &result{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: "router is shutting down", Reason: "stopping", RetryAfter: time.Second}
	}
	r.state.budget.RecordRequest()
	if err := r.state.queues.Enqueue(now(), c.item); err != nil {
		var ref queuer.Refusal
		_ = errors.As(err, &ref)
		r.metrics.refusals.WithLabelValues(string(ref.Reason)).Inc()
		return &result{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: err.Error(), Reason: string(ref.Reason), RetryAfter: ref.RetryAfter}
	}
	r.state.calls[c.item.Request] = c
	r.sendOffers()
	return nil
}

// removeCall takes a request out of the books.
func (r *Router) removeCall(c *call) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.queues.Cancel(c.item.Request)
	delete(r.state.calls, c.item.Request)
}

// waitForGrant waits in the queue for a grant. A request that leaves the queue
// in any other way has not run, or in an earlier attempt in part.
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

// withdraw takes a request out of its queue. If a grant came first, that grant
// is returned instead.
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

// requeue puts a request back after an attempt that did not end it, if the
// retry budget and the deadline allow. Otherwise it returns how it ends.
func (r *Router) requeue(ctx context.Context, c *call, last result) *result {
	wait, inTime := retrier.Backoff(now(), c.item.Deadline, c.attempts, jitter())
	r.state.mu.Lock()
	allowed := last.grantExpired || r.state.budget.TakeRetry()
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
	r.state.queues.Return(c.item)
	r.sendOffers()
	return nil
}

// result is how a request ended for its caller.
type result struct {
	Outcome identifier.Outcome
	// Tokens is how many tokens a whole answer has.
	Tokens int
	// Status is the HTTP status of a plain service.
	Status int
	// Step and Peer tell where an error arose.
	Step   string
	Peer   string
	Detail string
	// Reason is a short code for programs, and Retry when to come back.
	Reason     string
	RetryAfter time.Duration
	// grantExpired tells that a grant had expired, which is no fault of the target and
	// needs no retry from the budget.
	grantExpired bool
}

// Names of the steps at which a request can end.
const (
	stepAdmit    = "admit"
	stepQueue    = "wait_in_queue"
	stepHandover = "hand_over"
	stepStream   = "stream_answer"
	stepClaim    = "claim_key"
	stepKey      = "check_key"
	stepFetch    = "fetch_answer"
)

// resultFromEnd maps an agent's end to the caller's.
func resultFromEnd(e messenger.End) result {
	return result{Outcome: e.Outcome, Tokens: e.Tokens, Status: e.Status, Step: e.Step, Peer: e.Peer, Detail: e.Detail}
}
