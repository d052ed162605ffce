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

// maxHandoverBytes is the maximum size of an encoded handover, in bytes.
const maxHandoverBytes = 8 << 20

// handleRun accepts a request under a grant, or finds the earlier run of its key, and
// streams the answer.
func (a *Agent) handleRun(w http.ResponseWriter, r *http.Request) {
	h, err := decodeHandover(r.Body)
	if err != nil {
		writeCBOR(w, http.StatusBadRequest, a.notRunFault(stepDecode, err.Error()))
		return
	}
	rec, fault := a.admit(h)
	if fault != nil {
		writeCBOR(w, http.StatusConflict, *fault)
		return
	}
	a.streamAnswer(w, r, rec, len(h.Prior))
}

// decodeHandover decodes and checks a handover.
func decodeHandover(body io.Reader) (messenger.Handover, error) {
	var h messenger.Handover
	raw, err := io.ReadAll(io.LimitReader(body, maxHandoverBytes))
	if err != nil {
		return h, errors.Wrap(err, "read handover")
	}
	if err := cbor.Unmarshal(raw, &h); err != nil {
		return h, errors.Wrap(err, "decode handover")
	}
	return h, h.Check()
}

// admit decides whether the request of handover h runs. It returns the record of the
// request, or that of the earlier run of its key, or a fault if there is neither.
func (a *Agent) admit(h messenger.Handover) (*record, *messenger.Fault) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if h.Key != nil {
		if rec, fault, repeated := a.resolveRepeat(h); repeated {
			return rec, fault
		}
	}
	if h.Grant == nil {
		f := a.notRunFault(messenger.StepGrant, "the key has not run and needs a grant")
		return nil, &f
	}
	return a.acceptHandover(h)
}

// resolveRepeat handles a request whose key may have been used before. repeated is false
// if the key has not been used or closed, so that the request may run. Otherwise rec is
// the earlier run, or fault says why there is none. A key of an earlier incarnation
// yields a fault unless the target refuses repeats. A repeat of a key of this incarnation
// declines the grant that came with it, if any. The caller holds the lock.
func (a *Agent) resolveRepeat(h messenger.Handover) (rec *record, fault *messenger.Fault, repeated bool) {
	if !a.mintedHere(h.Key) {
		if a.targetRefusesRepeats() {
			return nil, nil, false
		}
		return nil, earlierKeyFault(), true
	}
	st, err := a.state.keys.State(h.Key.Sequence)
	if err == nil && st == keeper.Fresh {
		return nil, nil, false
	}
	if h.Grant != nil {
		a.apply(a.state.sched.Decline(now(), *h.Grant))
	}
	switch {
	case err != nil:
		return nil, &messenger.Fault{Outcome: identifier.Unknown, Step: stepKey, Detail: err.Error()}, true
	case st == keeper.Closed:
		f := a.notRunFault(stepKey, "the key was closed before it ran")
		return nil, &f, true
	}
	rec = a.state.records[a.requestOfKey(h.Key.Sequence)]
	if rec != nil && rec.handover.Class == h.Class {
		return rec, nil, true
	}
	res := a.state.keys.Result(h.Key.Sequence)
	return nil, &messenger.Fault{Outcome: res.Outcome, Step: stepFind, Detail: "the key has run, and its answer is no longer kept"}, true
}

// requestOfKey returns the request that runs or ran under a key, empty if there is none.
// The caller holds the lock.
func (a *Agent) requestOfKey(key uint64) identifier.Request {
	if id := a.state.keys.ActiveRequest(key); id != "" {
		return id
	}
	return a.state.keys.Result(key).Request
}

// acceptHandover accepts the request of handover h under its grant and starts a goroutine
// that runs it. It returns a fault if there is no configuration or the grant is not
// valid. The caller holds the lock.
func (a *Agent) acceptHandover(h messenger.Handover) (*record, *messenger.Fault) {
	s := a.state.adopter.Current()
	if s == nil {
		f := a.notRunFault(messenger.StepGrant, "the agent has no configuration yet")
		return nil, &f
	}
	kind, _ := s.Kind(h.Class.Kind)
	acts, err := a.state.sched.Accept(now(), *h.Grant, scheduler.Handover{
		Request:   h.Request,
		Class:     h.Class,
		Resumable: a.resumable(),
	})
	if err != nil {
		f := a.notRunFault(messenger.StepGrant, err.Error())
		return nil, &f
	}
	if a.mintedHere(h.Key) {
		// resolveRepeat found the key fresh under the same lock, so Start succeeds.
		_, _ = a.state.keys.Start(h.Key.Sequence, h.Request)
	}
	rec := newRecord(h, time.Now())
	ctx, abort := context.WithTimeout(a.ctx, time.Duration(h.DeadlineMS)*time.Millisecond)
	rec.abort = abort
	a.state.records[h.Request] = rec
	go a.execute(ctx, rec, kind)
	a.apply(acts)
	return rec, nil
}

// poolType returns the type of the target's pool. There must be a configuration. The
// caller holds the lock.
func (a *Agent) poolType() configurator.PoolType {
	p, _ := a.state.adopter.Current().Pool(a.state.pool)
	return p.Type
}

// resumable reports whether a preempted run can be resumed, as at a model engine. The
// caller holds the lock.
func (a *Agent) resumable() bool { return a.poolType() == configurator.Engine }

// execute runs one request at the target until it ends or ctx is done. After each
// preemption it waits until the scheduler starts the request again, and makes another
// attempt.
func (a *Agent) execute(ctx context.Context, rec *record, kind configurator.Kind) {
	defer rec.abort()
	client, fixedCost := a.targetFor(kind)
	ranBefore := false
	for {
		select {
		case <-rec.start:
		case <-ctx.Done():
			a.finish(rec, fixedCost, a.waitEnd(rec, ranBefore))
			return
		}
		status, err, preempted := a.runAttempt(ctx, rec, client, kind, fixedCost)
		if preempted {
			ranBefore = true
			continue
		}
		if ctx.Err() != nil && err != nil {
			client.cancel(rec.handover.Request)
		}
		a.finish(rec, fixedCost, a.attemptEnd(rec, ranBefore, status, err))
		return
	}
}

// targetFor returns a client for the target, and the fixed cost of a call of the kind,
// which is zero at a model engine.
func (a *Agent) targetFor(kind configurator.Kind) (targetClient, identifier.Cost) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.poolType() == configurator.Service {
		t, _ := a.state.adopter.Current().Target(a.cfg.Target)
		return &serviceClient{a.cfg.TargetURL, a.client, t.RefusesRepeats}, kind.Cost
	}
	return &engineClient{a.cfg.TargetURL, a.client}, 0
}

// runAttempt runs the request until it ends, fails or is preempted. The error wraps
// errNotRun if the target takes no new work.
func (a *Agent) runAttempt(ctx context.Context, rec *record, client targetClient, kind configurator.Kind, fixedCost identifier.Cost) (status int, err error, preempted bool) {
	attemptCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	a.state.mu.Lock()
	if d := a.admissionDecision(now()); !d.Open() {
		a.state.mu.Unlock()
		return 0, fmt.Errorf("%w: target %s", errNotRun, d.Reason), false
	}
	rec.interrupt = interrupt
	c := a.newCall(rec, kind)
	if rec.preempted {
		interrupt() // The scheduler preempted the request before this attempt began.
	}
	run := a.startRun(rec.handover)
	a.state.mu.Unlock()
	status, err = client.run(attemptCtx, c, func(token string) { a.recordToken(rec, token, fixedCost) })
	a.endRun(attemptCtx, run, err)
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	rec.interrupt = nil
	preempted = rec.preempted && err != nil && ctx.Err() == nil
	if preempted {
		rec.preempted = false
	}
	return status, err, preempted
}

// newCall returns the call for the next attempt of the request. The caller holds the
// lock.
func (a *Agent) newCall(rec *record, kind configurator.Kind) call {
	c := call{
		request:    rec.handover.Request,
		body:       rec.handover.Body,
		maxTokens:  rec.handover.MaxTokens,
		prefix:     rec.handover.Prefix,
		resumeFrom: rec.tokenCount(),
		path:       kind.Path,
	}
	c.model, c.adapter = a.state.adopter.Current().ModelAndAdapterOf(kind)
	if rec.handover.Key != nil {
		origin := identifier.Origin{Target: a.self.Target, Incarnation: rec.handover.Key.Incarnation}
		c.key = a.keySigner.Format(signer.Key{Origin: origin, Sequence: rec.handover.Key.Sequence, Class: rec.handover.Class})
	}
	return c
}

// recordToken appends a token to the answer and reports the cost so far to the scheduler.
func (a *Agent) recordToken(rec *record, token string, fixedCost identifier.Cost) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	rec.addToken(token)
	a.metrics.tokens.Inc()
	a.state.sched.Progress(now(), rec.handover.Request, rec.cost(fixedCost))
}

// attemptEnd returns the end of a request whose last attempt returned status and err.
// ranBefore is whether an earlier attempt was preempted. Without an error the outcome is
// Done. It is NotRun if err wraps errNotRun, there was no earlier attempt, and no token
// was generated here. Otherwise it is Unknown.
func (a *Agent) attemptEnd(rec *record, ranBefore bool, status int, err error) messenger.End {
	if err == nil {
		return messenger.End{Outcome: identifier.Done, Status: status}
	}
	e := messenger.End{Outcome: identifier.Unknown, Step: stepTarget, Peer: string(a.cfg.Target), Detail: err.Error()}
	a.state.mu.Lock()
	notStarted := !ranBefore && len(rec.tokens) == 0
	a.state.mu.Unlock()
	if notStarted && errors.Is(err, errNotRun) {
		e.Outcome = identifier.NotRun
	}
	return e
}

// waitEnd returns the end of a request that was aborted while it waited for a start.
// ranBefore is whether an earlier attempt was preempted. If so the outcome is Unknown,
// else NotRun.
func (a *Agent) waitEnd(rec *record, ranBefore bool) messenger.End {
	e := messenger.End{Outcome: identifier.NotRun, Step: stepQueue, Peer: string(a.cfg.Target), Detail: "given up before it reached the target"}
	if ranBefore {
		e.Outcome = identifier.Unknown
		e.Detail = fmt.Sprintf("given up after %d tokens", rec.tokenCount())
	}
	return e
}

// mintedHere reports whether this incarnation minted key k. It is false if k is nil.
func (a *Agent) mintedHere(k *messenger.KeyRef) bool {
	return k != nil && k.Incarnation == a.self.Incarnation
}

// finishKey records how the request under key n ended. If it did not run and the target
// itself refuses repeats, the key can be used again. The caller holds the lock.
func (a *Agent) finishKey(n uint64, o identifier.Outcome) {
	if o == identifier.NotRun && a.targetRefusesRepeats() {
		a.state.keys.Release(n)
		return
	}
	a.state.keys.Finish(n, o)
}

// finish records the end of a request in the key store, the record, the metrics and the
// scheduler. A request that did not run costs nothing.
func (a *Agent) finish(rec *record, fixedCost identifier.Cost, e messenger.End) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.mintedHere(rec.handover.Key) {
		a.finishKey(rec.handover.Key.Sequence, e.Outcome)
	}
	e.Final = rec.cancelled
	rec.finish(e, time.Now())
	a.metrics.outcomes.WithLabelValues(string(e.Outcome)).Inc()
	used := rec.cost(fixedCost)
	if e.Outcome == identifier.NotRun {
		used = 0
	}
	a.apply(a.state.sched.Finish(now(), rec.handover.Request, used))
}
