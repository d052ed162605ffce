package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/messenger"
	"buckthorndrum/signer"
)

// keyReply is an agent's reply about a minted key.
type keyReply = messenger.KeyReply

// askWinner asks the agent of the winning key for the key's state. It also binds the
// call to that key, its target and its agent.
func (r *Router) askWinner(ctx context.Context, k *keyedAttempt) claimer.Event {
	key, err := r.signer.Parse(k.claim.WinningKey, k.call.item.Class.Workspace)
	if err != nil {
		k.setFailure(stepKey, storePeerName, "", err.Error())
		return claimer.Failed
	}
	address, known := r.agentAddress(key.Origin.Target)
	if !known {
		k.setFailure(stepKey, string(key.Origin.Target), reasonKeyLost, "the target that minted the key is not in the configuration")
		return claimer.Gone
	}
	k.call.key = &key
	k.call.item.BoundTarget = key.Origin.Target
	k.call.agent = agentRef{origin: key.Origin, address: address}
	return r.askKey(ctx, k, key, http.MethodGet, "")
}

// closeTimeout bounds a call that closes a key. Such a call may come after the caller
// has given up.
const closeTimeout = 2 * time.Second

// closeWinner closes the winning key, under which this attempt has run nothing. If the
// key is closed, k.result keeps its earlier value.
func (r *Router) closeWinner(k *keyedAttempt) claimer.Event {
	ctx, cancel := context.WithTimeout(r.ctx, closeTimeout)
	defer cancel()
	previous := k.result
	e := r.askKey(ctx, k, *k.call.key, http.MethodPost, "/close")
	if e == claimer.Closed {
		k.result = previous
	}
	return e
}

// closeOwn closes the key that this attempt minted and that lost the claim. Errors are
// ignored: no one else knows the key, so it does no harm if it stays open.
func (r *Router) closeOwn(k *keyedAttempt) {
	key, err := r.signer.Parse(k.claim.OwnKey, k.call.item.Class.Workspace)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, closeTimeout)
	defer cancel()
	_ = r.askKey(ctx, k, key, http.MethodPost, "/close")
	k.result = result{}
}

// askKey sends a request about a key to the key's agent and returns the reply as an
// event. action is the end of the path: empty to read the state, or "/close".
func (r *Router) askKey(ctx context.Context, k *keyedAttempt, key signer.Key, method, action string) claimer.Event {
	target := string(key.Origin.Target)
	address, known := r.agentAddress(key.Origin.Target)
	if !known {
		k.setFailure(stepKey, target, reasonKeyLost, "the target that minted the key is not in the configuration")
		return claimer.Gone
	}
	path := fmt.Sprintf("/keys/%d%s?incarnation=%x", key.Sequence, action, uint64(key.Origin.Incarnation))
	rep, status, err := r.sendKeyRequest(ctx, method, address, path, nil)
	switch {
	case err != nil:
		k.setFailure(stepKey, target, "", err.Error())
		return claimer.Lost
	case status == http.StatusGone:
		k.setFailure(stepKey, target, reasonKeyLost, "the agent that minted the key has restarted")
		return claimer.Gone
	case status != http.StatusOK:
		k.setFailure(stepKey, target, "", fmt.Sprintf("agent answered with status %d", status))
		return claimer.Lost
	}
	k.reply = rep
	k.claim.TargetRefusesRepeats = rep.Revives
	return k.stateEvent(target)
}

// stateEvent returns the event for the key state in k.reply. For a key that is closed
// or in use it also records why the request cannot run.
func (k *keyedAttempt) stateEvent(target string) claimer.Event {
	switch keeper.State(k.reply.State) {
	case keeper.Fresh:
		return claimer.Fresh
	case keeper.Revived:
		return claimer.Revived
	case keeper.Closed:
		k.setFailure(stepKey, target, reasonKeyClosed, "the key was closed before it ran and never will run")
		return claimer.Closed
	}
	k.setFailure(stepKey, target, "", "the key is in use by another attempt")
	return claimer.InUse
}

// queueKeyed runs a request under its key, from its queue to its end, and returns the
// event for the outcome.
func (r *Router) queueKeyed(ctx context.Context, k *keyedAttempt) claimer.Event {
	k.result = r.run(ctx, k.call, k.out)
	switch {
	case k.result.Outcome == identifier.Done:
		return claimer.Done
	case k.result.Outcome == identifier.Unknown:
		return claimer.Lost
	case k.result.Step == stepAdmit:
		return claimer.Refused
	}
	return claimer.NotExecuted
}

// followKey passes on the answer of the run that a key already had. If that answer is no
// longer kept, it only finds out whether the run was completed.
func (r *Router) followKey(ctx context.Context, k *keyedAttempt) claimer.Event {
	c := k.call
	target := string(c.agent.origin.Target)
	if keeper.State(k.reply.State) == keeper.Ended && !k.reply.Kept {
		k.result = result{Step: stepKey, Peer: target, Reason: reasonAnswerGone, Detail: "the key has run, and its answer is no longer kept"}
		if k.reply.Outcome == identifier.Done {
			return claimer.Done
		}
		return claimer.Lost
	}
	c.item.Request = k.reply.Request
	c.mayHaveRun = true
	if err := k.out.accepted(c.item.Request, c.agent.origin.Target); err != nil {
		k.result = *r.callerLeftResult()
		return claimer.Lost
	}
	end, err := r.fetchAnswer(ctx, c, k.out)
	if err != nil {
		end, err = r.resumeAnswer(ctx, c, err, k.out)
	}
	e, _ := r.concludeAttempt(c, end, err)
	k.result = *e
	if e.Outcome == identifier.Done {
		return claimer.Done
	}
	return claimer.Lost
}

// maxKeyReplyBytes bounds an agent's reply about a key, in bytes.
const maxKeyReplyBytes = 64 << 10

// sendKeyRequest sends a request about a key to the agent at address. It returns the
// reply and the HTTP status. The reply is decoded and checked only if the status is 200.
func (r *Router) sendKeyRequest(ctx context.Context, method, address, path string, body []byte) (messenger.KeyReply, int, error) {
	var rep messenger.KeyReply
	req, err := r.newAgentRequest(ctx, method, address, path, body)
	if err != nil {
		return rep, 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return rep, 0, errors.Wrap(err, "ask agent about a key")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxKeyReplyBytes))
	if err != nil {
		return rep, 0, errors.Wrap(err, "read answer about a key")
	}
	if resp.StatusCode != http.StatusOK {
		return rep, resp.StatusCode, nil
	}
	if err := cbor.Unmarshal(raw, &rep); err != nil {
		return rep, resp.StatusCode, errors.Wrap(err, "decode answer about a key")
	}
	return rep, resp.StatusCode, errors.Wrap(rep.Check(), "check answer about a key")
}

// agentAddress returns the address of the agent of target t, or false if the
// configuration has no such target.
func (r *Router) agentAddress(t identifier.Target) (string, bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	s := r.state.adopter.Current()
	if s == nil {
		return "", false
	}
	target, ok := s.Target(t)
	return target.Agent, ok
}

// mintKey reserves a key for class c at the agent with the most free capacity.
func (r *Router) mintKey(ctx context.Context, c identifier.Class) (signer.Key, error) {
	agent, ok := r.mostFreeAgent(c.Kind)
	if !ok {
		return signer.Key{}, errors.Errorf("no agent that serves kind %q is linked", c.Kind)
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return signer.Key{}, errors.Wrap(err, "encode class")
	}
	rep, status, err := r.sendKeyRequest(ctx, http.MethodPost, agent.address, "/keys", raw)
	if err != nil {
		return signer.Key{}, err
	}
	if status != http.StatusOK {
		return signer.Key{}, errors.Errorf("agent of target %q minted no key: status %d", agent.origin.Target, status)
	}
	origin := identifier.Origin{Target: agent.origin.Target, Incarnation: rep.Incarnation}
	return signer.Key{Origin: origin, Sequence: rep.Sequence, Class: c}, nil
}

// mostFreeAgent returns the linked agent in the pool of kind k that can take the most
// further requests, or false if there is none. Leaving agents are left out, and the
// first target by name wins a tie.
func (r *Router) mostFreeAgent(k identifier.Kind) (agentRef, bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	s := r.state.adopter.Current()
	if s == nil {
		return agentRef{}, false
	}
	kind, _ := s.Kind(k)
	var best *agentState
	for _, a := range r.state.agents {
		if a.link == nil || a.leaving || a.pool != kind.Pool {
			continue
		}
		if best == nil || a.load.Free() > best.load.Free() || (a.load.Free() == best.load.Free() && a.origin.Target < best.origin.Target) {
			best = a
		}
	}
	if best == nil {
		return agentRef{}, false
	}
	return agentRef{best.origin, best.address}, true
}
