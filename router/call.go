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
	grants chan granted
	// expired is closed when the deadline passed while the request waited.
	expired chan struct{}
	// prior is the answer so far.
	prior []string
	// at is the agent that runs the request, once it was handed over.
	at handedTo
	// attempts counts the hand-overs.
	attempts int
	// mayHaveRun tells that an attempt may have reached a target. It is never
	// unset.
	mayHaveRun bool
}

// notRun is the outcome when the present attempt did nothing.
func (c *call) notRun() identifier.Outcome {
	if c.mayHaveRun || len(c.prior) > 0 {
		return identifier.Unknown
	}
	return identifier.NotRun
}

// granted is a grant with the address to hand over to.
type granted struct {
	id      identifier.Grant
	address string
}

// handedTo names the agent that has a request.
type handedTo struct {
	origin  identifier.Origin
	address string
}

func (c *call) expire() { close(c.expired) }

// sink takes the answer for a caller.
type sink interface {
	// accepted tells where the request runs.
	accepted(id identifier.Request, at identifier.Target) error
	// token takes token number index.
	token(index int, text string) error
}

// errCallerGone means that the caller no longer reads its answer.
var errCallerGone = errors.New("caller is gone")

// run takes a request through its queue and its target, and returns how it
// ended. Tokens go to the sink as they come.
func (r *Router) run(ctx context.Context, c *call, out sink) ending {
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, int64(c.item.Deadline)).Add(endGrace))
	defer cancel()
	if e := r.enqueue(c); e != nil {
		return *e
	}
	defer r.forget(c)
	for {
		g, e := r.waitForGrant(ctx, c)
		if e != nil {
			return *e
		}
		e, again := r.attempt(ctx, c, g, out)
		if !again {
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
func (r *Router) enqueue(c *call) *ending {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.board.stopping {
		return &ending{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: "router is shutting down", Reason: "stopping", RetryAfter: time.Second}
	}
	r.board.budget.RecordRequest()
	if err := r.board.queues.Enqueue(now(), c.item); err != nil {
		var ref queuer.Refusal
		_ = errors.As(err, &ref)
		r.metrics.refusals.WithLabelValues(string(ref.Reason)).Inc()
		return &ending{Outcome: identifier.NotRun, Step: stepAdmit, Peer: string(r.cfg.Name), Detail: err.Error(), Reason: string(ref.Reason), RetryAfter: ref.RetryAfter}
	}
	r.board.calls[c.item.Request] = c
	r.flush()
	return nil
}

// forget takes a request out of the books.
func (r *Router) forget(c *call) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.queues.Cancel(c.item.Request)
	delete(r.board.calls, c.item.Request)
}

// waitForGrant waits in the queue for a grant. A request that leaves the queue
// in any other way has not run, or in an earlier attempt in part.
func (r *Router) waitForGrant(ctx context.Context, c *call) (granted, *ending) {
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
	return granted{}, &ending{
		Outcome:    c.notRun(),
		Step:       stepQueue,
		Peer:       string(r.cfg.Name),
		Detail:     "request was given up while it waited",
		Reason:     string(queuer.DeadlinePassed),
		RetryAfter: time.Second,
	}
}

// withdraw takes a request out of its queue. If a grant came first, that grant
// is returned instead.
func (r *Router) withdraw(c *call) (granted, bool) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.board.queues.Cancel(c.item.Request) {
		return granted{}, false
	}
	select {
	case g := <-c.grants:
		return g, true
	default:
		return granted{}, false
	}
}

// requeue puts a request back after an attempt that did not end it, if the
// retry budget and the deadline allow. Otherwise it returns how it ends.
func (r *Router) requeue(ctx context.Context, c *call, last ending) *ending {
	wait, inTime := retrier.Backoff(now(), c.item.Deadline, c.attempts, jitter())
	r.board.mu.Lock()
	allowed := last.void || r.board.budget.TakeRetry()
	r.board.mu.Unlock()
	if !inTime || !allowed {
		return &last
	}
	if !last.void {
		r.metrics.retries.Inc()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return &last
		}
	}
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.queues.Requeue(c.item)
	r.flush()
	return nil
}

// ending is how a request ended for its caller.
type ending struct {
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
	// void tells that a grant had expired, which is no fault of the target and
	// needs no retry from the budget.
	void bool
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

// fromEnd maps an agent's end to the caller's.
func fromEnd(e messenger.End) ending {
	return ending{Outcome: e.Outcome, Tokens: e.Tokens, Status: e.Status, Step: e.Step, Peer: e.Peer, Detail: e.Detail}
}
