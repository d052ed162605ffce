package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/messenger"
	"buckthorndrum/scheduler"
	"buckthorndrum/signer"
)

// maxHandover bounds one encoded handover, in bytes.
const maxHandover = 8 << 20

// handleRun takes a request over under a grant, or answers a repeat of a key,
// and streams the answer.
func (a *Agent) handleRun(w http.ResponseWriter, r *http.Request) {
	h, err := decodeHandover(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, a.notRun(stepDecode, err.Error()))
		return
	}
	rec, fault := a.take(h)
	if fault != nil {
		reply(w, http.StatusConflict, *fault)
		return
	}
	a.stream(w, r, rec, len(h.Prior))
}

func decodeHandover(body io.Reader) (messenger.Handover, error) {
	var h messenger.Handover
	raw, err := io.ReadAll(io.LimitReader(body, maxHandover))
	if err != nil {
		return h, errors.Wrap(err, "read handover")
	}
	if err := cbor.Unmarshal(raw, &h); err != nil {
		return h, errors.Wrap(err, "decode handover")
	}
	return h, h.Check()
}

// take decides whether request h runs, and returns its record, or that of the
// run that its key had before.
func (a *Agent) take(h messenger.Handover) (*record, *messenger.Fault) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if h.Key != nil {
		if rec, fault, repeated := a.repeat(h); repeated {
			return rec, fault
		}
	}
	if h.Grant == nil {
		f := a.notRun(messenger.StepGrant, "the key has not run and needs a grant")
		return nil, &f
	}
	return a.begin(h)
}

// repeat answers a request whose key was used or closed before. The grant that
// came with it, if any, is given back.
func (a *Agent) repeat(h messenger.Handover) (rec *record, fault *messenger.Fault, repeated bool) {
	if !a.keeps(h.Key) {
		if a.revives() {
			return nil, nil, false
		}
		return nil, goneKey(), true
	}
	st, err := a.board.keys.State(h.Key.Sequence)
	if err == nil && st == keeper.Fresh {
		return nil, nil, false
	}
	if h.Grant != nil {
		a.apply(a.board.sched.Decline(now(), *h.Grant))
	}
	switch {
	case err != nil:
		return nil, &messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: err.Error()}, true
	case st == keeper.Closed:
		f := a.notRun(stepKey, "the key was closed before it ran")
		return nil, &f, true
	}
	rec = a.board.records[a.requestOf(h.Key.Sequence)]
	if rec != nil && rec.handover.Class == h.Class {
		return rec, nil, true
	}
	res := a.board.keys.Result(h.Key.Sequence)
	return nil, &messenger.Fault{Outcome: res.Outcome, Step: stepFind, Detail: "the key has run, and its answer is no longer kept"}, true
}

func (a *Agent) requestOf(key uint64) identifier.Request {
	if id := a.board.keys.Active(key); id != "" {
		return id
	}
	return a.board.keys.Result(key).Request
}

// begin takes request h over under its grant.
func (a *Agent) begin(h messenger.Handover) (*record, *messenger.Fault) {
	s := a.board.adopter.Current()
	if s == nil {
		f := a.notRun(messenger.StepGrant, "the agent has no configuration yet")
		return nil, &f
	}
	kind, _ := s.Kind(h.Class.Kind)
	acts, err := a.board.sched.Accept(now(), *h.Grant, scheduler.Handover{
		Request:   h.Request,
		Class:     h.Class,
		Resumable: a.resumable(),
	})
	if err != nil {
		f := a.notRun(messenger.StepGrant, err.Error())
		return nil, &f
	}
	if a.keeps(h.Key) {
		// The state was checked under the same lock, so the key is fresh.
		_, _ = a.board.keys.Start(h.Key.Sequence, h.Request)
	}
	rec := newRecord(h, time.Now())
	ctx, abort := context.WithTimeout(a.ctx, time.Duration(h.DeadlineMS)*time.Millisecond)
	rec.abort = abort
	a.board.records[h.Request] = rec
	go a.execute(ctx, rec, kind)
	a.apply(acts)
	return rec, nil
}

func (a *Agent) poolType() configurator.PoolType {
	p, _ := a.board.adopter.Current().Pool(a.board.pool)
	return p.Type
}

func (a *Agent) resumable() bool { return a.poolType() == configurator.Engine }

// execute runs one request at the target, over as many attempts as the
// scheduler's preemptions make it.
func (a *Agent) execute(ctx context.Context, rec *record, kind configurator.Kind) {
	defer rec.abort()
	tgt, fixed := a.targetFor(kind)
	began := false
	for {
		select {
		case <-rec.start:
		case <-ctx.Done():
			a.finish(rec, fixed, a.interrupted(rec, began))
			return
		}
		status, err, preempted := a.attempt(ctx, rec, tgt, kind, fixed)
		if preempted {
			began = true
			continue
		}
		if ctx.Err() != nil && err != nil {
			tgt.cancel(rec.handover.Request)
		}
		a.finish(rec, fixed, a.conclude(rec, began, status, err))
		return
	}
}

// targetFor returns the client for the kind's target, and the fixed cost of a
// call, zero for a model.
func (a *Agent) targetFor(kind configurator.Kind) (target, identifier.Cost) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.poolType() == configurator.Service {
		t, _ := a.board.adopter.Current().Target(a.cfg.Target)
		return &service{a.cfg.TargetURL, a.client, t.RefusesRepeats}, kind.Cost
	}
	return &engine{a.cfg.TargetURL, a.client}, 0
}

// attempt runs the request until it ends, fails or is preempted.
func (a *Agent) attempt(ctx context.Context, rec *record, tgt target, kind configurator.Kind, fixed identifier.Cost) (status int, err error, preempted bool) {
	run, interrupt := context.WithCancel(ctx)
	defer interrupt()
	a.board.mu.Lock()
	if d := a.decide(now()); !d.Open() {
		a.board.mu.Unlock()
		return 0, fmt.Errorf("%w: target %s", errNotRun, d.Reason), false
	}
	rec.interrupt = interrupt
	c := a.callFor(rec, kind)
	if rec.preempted {
		interrupt() // The preemption came between the start and this attempt.
	}
	a.board.mu.Unlock()
	status, err = tgt.run(run, c, func(token string) { a.emit(rec, token, fixed) })
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	rec.interrupt = nil
	preempted = rec.preempted && err != nil && ctx.Err() == nil
	if preempted {
		rec.preempted = false
	}
	return status, err, preempted
}

func (a *Agent) callFor(rec *record, kind configurator.Kind) call {
	c := call{
		request:   rec.handover.Request,
		body:      rec.handover.Body,
		maxTokens: rec.handover.MaxTokens,
		prefix:    rec.handover.Prefix,
		from:      rec.total(),
		path:      kind.Path,
	}
	c.model, c.adapter = a.board.adopter.Current().ModelAndAdapterOf(kind)
	if rec.handover.Key != nil {
		origin := identifier.Origin{Target: a.self.Target, Incarnation: rec.handover.Key.Incarnation}
		c.key = a.sign.Format(signer.Key{Origin: origin, Sequence: rec.handover.Key.Sequence, Class: rec.handover.Class})
	}
	return c
}

// emit takes one token of the answer.
func (a *Agent) emit(rec *record, token string, fixed identifier.Cost) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	rec.add(token)
	a.metrics.tokens.Inc()
	a.board.sched.Progress(now(), rec.handover.Request, rec.cost(fixed))
}

// conclude maps the end of an attempt to an outcome.
func (a *Agent) conclude(rec *record, began bool, status int, err error) messenger.End {
	if err == nil {
		return messenger.End{Outcome: identifier.Done, Status: status}
	}
	e := messenger.End{Outcome: identifier.Unknown, Step: stepTarget, Peer: string(a.cfg.Target), Detail: err.Error()}
	a.board.mu.Lock()
	untouched := !began && len(rec.tokens) == 0
	a.board.mu.Unlock()
	if untouched && errors.Is(err, errNotRun) {
		e.Outcome = identifier.NotRun
	}
	return e
}

// interrupted is the end of a request that was given up while it waited.
func (a *Agent) interrupted(rec *record, began bool) messenger.End {
	e := messenger.End{Outcome: identifier.NotRun, Step: stepQueue, Peer: string(a.cfg.Target), Detail: "given up before it reached the target"}
	if began {
		e.Outcome = identifier.Unknown
		e.Detail = fmt.Sprintf("given up after %d tokens", rec.total())
	}
	return e
}

// keeps tells whether a key is one that this incarnation has minted.
func (a *Agent) keeps(k *messenger.KeyRef) bool {
	return k != nil && k.Incarnation == a.self.Incarnation
}

// finishKey notes how the request under a key ended. The caller holds the lock.
func (a *Agent) finishKey(n uint64, o identifier.Outcome) {
	if o == identifier.NotRun && a.revives() {
		a.board.keys.Release(n)
		return
	}
	a.board.keys.Finish(n, o)
}

// finish ends a request in all the books.
func (a *Agent) finish(rec *record, fixed identifier.Cost, e messenger.End) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.keeps(rec.handover.Key) {
		a.finishKey(rec.handover.Key.Sequence, e.Outcome)
	}
	e.Final = rec.cancelled
	rec.finish(e, time.Now())
	a.metrics.outcomes.WithLabelValues(string(e.Outcome)).Inc()
	used := rec.cost(fixed)
	if e.Outcome == identifier.NotRun {
		used = 0
	}
	a.apply(a.board.sched.Finish(now(), rec.handover.Request, used))
}
