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

// keyAnswer is an agent's word on a key.
type keyAnswer = messenger.KeyReply

// askWinner asks the agent of the winning key about it.
func (r *Router) askWinner(ctx context.Context, k *keyed) claimer.Event {
	key, err := r.sign.Parse(k.attempt.WinningKey, k.call.item.Class.Workspace)
	if err != nil {
		k.fail(stepKey, storePeer, "", err.Error())
		return claimer.Failed
	}
	address, known := r.addressOf(key.Origin.Target)
	if !known {
		k.fail(stepKey, string(key.Origin.Target), reasonLost, "the target that minted the key is not in the configuration")
		return claimer.Gone
	}
	k.call.key = &key
	k.call.item.BoundTarget = key.Origin.Target
	k.call.at = handedTo{origin: key.Origin, address: address}
	return r.askKey(ctx, k, key, http.MethodGet, "")
}

// closeTimeout bounds the call that closes a key after its caller has given up.
const closeTimeout = 2 * time.Second

// closeWinner closes the winning key, under which nothing was run from here.
func (r *Router) closeWinner(k *keyed) claimer.Event {
	ctx, cancel := context.WithTimeout(r.ctx, closeTimeout)
	defer cancel()
	before := k.last
	e := r.askKey(ctx, k, *k.call.key, http.MethodPost, "/close")
	if e == claimer.Closed {
		k.last = before
	}
	return e
}

// closeOwn closes this attempt's own key, which lost the claim. Nobody else
// knows that key, so that it does no harm if it stays open.
func (r *Router) closeOwn(k *keyed) {
	key, err := r.sign.Parse(k.attempt.OwnKey, k.call.item.Class.Workspace)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, closeTimeout)
	defer cancel()
	_ = r.askKey(ctx, k, key, http.MethodPost, "/close")
	k.last = ending{}
}

// askKey calls a key's agent and maps its word to an event.
func (r *Router) askKey(ctx context.Context, k *keyed, key signer.Key, method, action string) claimer.Event {
	target := string(key.Origin.Target)
	address, known := r.addressOf(key.Origin.Target)
	if !known {
		k.fail(stepKey, target, reasonLost, "the target that minted the key is not in the configuration")
		return claimer.Gone
	}
	path := fmt.Sprintf("/keys/%d%s?incarnation=%x", key.Sequence, action, uint64(key.Origin.Incarnation))
	rep, status, err := r.callKey(ctx, method, address, path, nil)
	switch {
	case err != nil:
		k.fail(stepKey, target, "", err.Error())
		return claimer.Lost
	case status == http.StatusGone:
		k.fail(stepKey, target, reasonLost, "the agent that minted the key has restarted")
		return claimer.Gone
	case status != http.StatusOK:
		k.fail(stepKey, target, "", fmt.Sprintf("agent answered with status %d", status))
		return claimer.Lost
	}
	k.reply = rep
	k.attempt.TargetRefusesRepeats = rep.Revives
	return k.stateEvent(target)
}

func (k *keyed) stateEvent(target string) claimer.Event {
	switch keeper.State(k.reply.State) {
	case keeper.Fresh:
		return claimer.Fresh
	case keeper.Revived:
		return claimer.Revived
	case keeper.Closed:
		k.fail(stepKey, target, reasonClosed, "the key was closed before it ran and never will run")
		return claimer.Closed
	}
	k.fail(stepKey, target, "", "the key is in use by another attempt")
	return claimer.InUse
}

// queueKeyed queues a request under its key and follows it to its end.
func (r *Router) queueKeyed(ctx context.Context, k *keyed) claimer.Event {
	k.last = r.run(ctx, k.call, k.out)
	switch {
	case k.last.Outcome == identifier.Done:
		return claimer.Done
	case k.last.Outcome == identifier.Unknown:
		return claimer.Lost
	case k.last.Step == stepAdmit:
		return claimer.Refused
	}
	return claimer.NotExecuted
}

// followKey follows the run that a key had before.
func (r *Router) followKey(ctx context.Context, k *keyed) claimer.Event {
	c := k.call
	target := string(c.at.origin.Target)
	if keeper.State(k.reply.State) == keeper.Ended && !k.reply.Kept {
		k.last = ending{Step: stepKey, Peer: target, Reason: reasonGone, Detail: "the key has run, and its answer is no longer kept"}
		if k.reply.Outcome == identifier.Done {
			return claimer.Done
		}
		return claimer.Lost
	}
	c.item.Request = k.reply.Request
	c.mayHaveRun = true
	if err := k.out.accepted(c.item.Request, c.at.origin.Target); err != nil {
		k.last = *r.abandoned()
		return claimer.Lost
	}
	end, err := r.fetch(ctx, c, k.out)
	if err != nil {
		end, err = r.resume(ctx, c, err, k.out)
	}
	e, _ := r.concluded(c, end, err)
	k.last = *e
	if e.Outcome == identifier.Done {
		return claimer.Done
	}
	return claimer.Lost
}

// maxKeyReply bounds an agent's answer about a key, in bytes.
const maxKeyReply = 64 << 10

func (r *Router) callKey(ctx context.Context, method, address, path string, body []byte) (messenger.KeyReply, int, error) {
	var rep messenger.KeyReply
	req, err := r.request(ctx, method, address, path, body)
	if err != nil {
		return rep, 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return rep, 0, errors.Wrap(err, "ask agent about a key")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxKeyReply))
	if err != nil {
		return rep, 0, errors.Wrap(err, "read answer about a key")
	}
	if resp.StatusCode == http.StatusOK {
		err = errors.Wrap(cbor.Unmarshal(raw, &rep), "decode answer about a key")
	}
	return rep, resp.StatusCode, err
}

func (r *Router) addressOf(t identifier.Target) (string, bool) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	s := r.board.adopter.Current()
	if s == nil {
		return "", false
	}
	named, ok := s.Target(t)
	return named.Agent, ok
}

// mint reserves a key for class c at the agent with the most room.
func (r *Router) mint(ctx context.Context, c identifier.Class) (signer.Key, error) {
	at, ok := r.mostFree(c.Kind)
	if !ok {
		return signer.Key{}, errors.Errorf("no agent that serves kind %q is linked", c.Kind)
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return signer.Key{}, errors.Wrap(err, "encode class")
	}
	rep, status, err := r.callKey(ctx, http.MethodPost, at.address, "/keys", raw)
	if err != nil {
		return signer.Key{}, err
	}
	if status != http.StatusOK {
		return signer.Key{}, errors.Errorf("agent of target %q minted no key: status %d", at.origin.Target, status)
	}
	origin := identifier.Origin{Target: at.origin.Target, Incarnation: rep.Incarnation}
	return signer.Key{Origin: origin, Sequence: rep.Sequence, Class: c}, nil
}

func (r *Router) mostFree(k identifier.Kind) (handedTo, bool) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	s := r.board.adopter.Current()
	if s == nil {
		return handedTo{}, false
	}
	kind, _ := s.Kind(k)
	var best *agentLink
	for _, a := range r.board.agents {
		if a.link == nil || a.leaving || a.pool != kind.Pool {
			continue
		}
		if best == nil || a.load.Free() > best.load.Free() || (a.load.Free() == best.load.Free() && a.origin.Target < best.origin.Target) {
			best = a
		}
	}
	if best == nil {
		return handedTo{}, false
	}
	return handedTo{best.origin, best.address}, true
}
