package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/messenger"
	"buckthorndrum/signer"
	"buckthorndrum/storer"
)

// keyed is a request under an idempotency key.
type keyed struct {
	call *call
	// value is the key as the caller sent it.
	value string
	// first tells that the caller marks this as the key's first attempt.
	first bool
}

// runKeyed runs a request under its key at most once, or follows the run that
// the key had before.
func (r *Router) runKeyed(ctx context.Context, k keyed, out sink) ending {
	if signer.Minted(k.value) {
		return r.runMinted(ctx, k, out)
	}
	return r.runOwn(ctx, k, out)
}

// refusedKey is the end of an attempt of which nothing has left this router.
func (k keyed) refusedKey(step, peer, detail string) ending {
	e := ending{Outcome: identifier.Unknown, Step: step, Peer: peer, Detail: detail, Reason: "repeat_the_key", RetryAfter: time.Second}
	if k.first {
		e.Outcome = identifier.NotRun
		e.Reason = "first_attempt_dropped"
	}
	return e
}

// runMinted runs a request under a key that an agent has minted.
func (r *Router) runMinted(ctx context.Context, k keyed, out sink) ending {
	key, err := r.sign.Parse(k.value, k.call.item.Class.Workspace)
	if err != nil {
		return ending{Outcome: identifier.NotRun, Step: stepKey, Peer: string(r.cfg.Name), Detail: err.Error(), Reason: "bad_key"}
	}
	if key.Class.Kind != k.call.item.Class.Kind {
		return ending{Outcome: identifier.Unknown, Step: stepKey, Peer: string(r.cfg.Name), Detail: fmt.Sprintf("key was minted for kind %q", key.Class.Kind), Reason: "key_reused"}
	}
	return r.runUnder(ctx, k, key, out)
}

// runUnder runs a request under minted key key, or follows its earlier run.
func (r *Router) runUnder(ctx context.Context, k keyed, key signer.Key, out sink) ending {
	c := k.call
	c.key = &key
	c.item.Bound = key.Origin.Target
	address, known := r.addressOf(key.Origin.Target)
	if !known {
		return ending{Outcome: identifier.Unknown, Step: stepKey, Peer: string(key.Origin.Target), Detail: "the target that minted the key is not in the configuration", Reason: "key_lost"}
	}
	c.at = handedTo{origin: key.Origin, address: address}
	rep, e := r.askKey(ctx, key, http.MethodGet, "")
	if e != nil {
		return *e
	}
	switch keeper.State(rep.State) {
	case keeper.Fresh:
		return r.runFresh(ctx, k, out)
	case keeper.Closed:
		return ending{Outcome: identifier.NotRun, Step: stepKey, Peer: string(key.Origin.Target), Detail: "the key was closed before it ran and never will run", Reason: "key_closed"}
	case keeper.Ended:
		if !rep.Kept {
			return ending{Outcome: rep.Outcome, Step: stepKey, Peer: string(key.Origin.Target), Detail: "the key has run, and its answer is no longer kept", Reason: "answer_gone"}
		}
	}
	return r.followKey(ctx, c, rep.Request, out)
}

// runFresh queues a request whose key has not run. If it did not run after all,
// the key is closed before the caller is told so.
func (r *Router) runFresh(ctx context.Context, k keyed, out sink) ending {
	c := k.call
	e := r.run(ctx, c, out)
	if e.Outcome != identifier.NotRun || e.Step == stepKey {
		return e
	}
	if e.Step == stepAdmit && (k.first || signer.Minted(k.value)) {
		return k.refusedKeyAs(e)
	}
	return r.closeKey(*c.key, e)
}

// refusedKeyAs turns a refusal before the queue into one that speaks of the key.
func (k keyed) refusedKeyAs(e ending) ending {
	if !k.first {
		e.Outcome = identifier.Unknown
	}
	return e
}

// closeTimeout bounds the call that closes a key after its caller has given up.
const closeTimeout = 2 * time.Second

// closeKey closes a key whose request did not run here. Only then may its
// caller be told so.
func (r *Router) closeKey(key signer.Key, e ending) ending {
	ctx, cancel := context.WithTimeout(r.ctx, closeTimeout)
	defer cancel()
	rep, failed := r.askKey(ctx, key, http.MethodPost, "/close")
	if failed != nil {
		return *failed
	}
	if keeper.State(rep.State) != keeper.Closed {
		e.Outcome = identifier.Unknown
		e.Detail = "the key is in use by another attempt"
		e.Reason = "repeat_the_key"
	}
	return e
}

// followKey follows the run that a key had before.
func (r *Router) followKey(ctx context.Context, c *call, id identifier.Request, out sink) ending {
	c.item.Request = id
	c.mayHaveRun = true
	if err := out.accepted(id, c.at.origin.Target); err != nil {
		return *r.abandoned()
	}
	end, err := r.fetch(ctx, c, out)
	if err != nil {
		end, err = r.resume(ctx, c, err, out)
	}
	e, _ := r.concluded(c, end, err)
	return *e
}

// maxKeyReply bounds an agent's answer about a key, in bytes.
const maxKeyReply = 64 << 10

// askKey asks a key's agent about it.
func (r *Router) askKey(ctx context.Context, key signer.Key, method, action string) (messenger.KeyReply, *ending) {
	unknown := &ending{Outcome: identifier.Unknown, Step: stepKey, Peer: string(key.Origin.Target), Reason: "repeat_the_key", RetryAfter: time.Second}
	address, known := r.addressOf(key.Origin.Target)
	if !known {
		unknown.Detail = "the target that minted the key is not in the configuration"
		return messenger.KeyReply{}, unknown
	}
	path := fmt.Sprintf("/keys/%d%s?incarnation=%x", key.Sequence, action, uint64(key.Origin.Incarnation))
	rep, status, err := r.callKey(ctx, method, address, path, nil)
	switch {
	case err != nil:
		unknown.Detail = err.Error()
		return rep, unknown
	case status == http.StatusGone:
		unknown.Detail = "the agent that minted the key has restarted"
		unknown.Reason = "key_lost"
		unknown.RetryAfter = 0
		return rep, unknown
	case status != http.StatusOK:
		unknown.Detail = fmt.Sprintf("agent answered with status %d", status)
		return rep, unknown
	}
	return rep, nil
}

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
	at, ok := r.roomiest(c.Kind)
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

func (r *Router) roomiest(k identifier.Kind) (handedTo, bool) {
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
		if best == nil || a.load.Room() > best.load.Room() || (a.load.Room() == best.load.Room() && a.origin.Target < best.origin.Target) {
			best = a
		}
	}
	if best == nil {
		return handedTo{}, false
	}
	return handedTo{best.origin, best.address}, true
}

// maxKeySkew is how far ahead of this router's clock a key may be born.
const maxKeySkew = time.Minute

// checkOwn checks a caller's own key: a UUIDv7 that is neither too old nor born
// ahead of the clock.
func (r *Router) checkOwn(k keyed) *ending {
	id, err := uuid.Parse(k.value)
	if err != nil || id.Version() != 7 {
		return &ending{Outcome: identifier.NotRun, Step: stepKey, Peer: string(r.cfg.Name), Detail: "idempotency key is neither a minted key nor a UUIDv7", Reason: "bad_key"}
	}
	sec, nsec := id.Time().UnixTime()
	age := time.Since(time.Unix(sec, nsec))
	r.board.mu.Lock()
	limit := time.Duration(r.board.adopter.Current().Document.Limits.KeyAgeMS) * time.Millisecond
	r.board.mu.Unlock()
	if age > limit || age < -maxKeySkew {
		e := k.refusedKey(stepKey, string(r.cfg.Name), fmt.Sprintf("idempotency key is %s old; keys are accepted up to %s", age.Round(time.Second), limit))
		e.RetryAfter = 0
		e.Reason = "key_age"
		return &e
	}
	return nil
}

// runOwn binds a caller's own key to a minted one and runs the request under
// that.
func (r *Router) runOwn(ctx context.Context, k keyed, out sink) ending {
	if e := r.checkOwn(k); e != nil {
		return *e
	}
	if err := r.admit(k.call); err != nil {
		return k.refusedKey(stepAdmit, string(r.cfg.Name), err.Error())
	}
	if !r.claims.Allow() {
		return k.refusedKey(stepClaim, string(r.cfg.Name), "too many keys are being claimed")
	}
	a := &claimer.Attempt{First: k.first}
	act, e := r.claim(ctx, k, a)
	if e != nil {
		return *e
	}
	if act == claimer.Refuse {
		e := k.refusedKey(stepClaim, "key-value service", "the key could not be claimed")
		e.Outcome = a.Outcome()
		return e
	}
	key, err := r.sign.Parse(a.Winner, k.call.item.Class.Workspace)
	if err != nil {
		return ending{Outcome: identifier.Unknown, Step: stepClaim, Peer: "key-value service", Detail: err.Error()}
	}
	// Somebody else may have seen the claim by now.
	k.first = false
	return r.runUnder(ctx, k, key, out)
}

func (r *Router) admit(c *call) error {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.board.stopping {
		return errors.New("router is shutting down")
	}
	return r.board.queues.Admit(now(), c.item)
}

// claim steps an attempt until it wins, follows or is refused.
func (r *Router) claim(ctx context.Context, k keyed, a *claimer.Attempt) (claimer.Action, *ending) {
	act := a.Begin()
	for {
		var ev claimer.Event
		var key string
		switch act {
		case claimer.Mint:
			ev, key = r.claimMint(ctx, k)
		case claimer.Create:
			ev, key = r.claimCreate(ctx, k, a.Own)
		case claimer.Read:
			ev, key = r.claimRead(ctx, k)
		case claimer.CloseOwn:
			own, err := r.sign.Parse(a.Own, k.call.item.Class.Workspace)
			if err == nil {
				_ = r.closeKey(own, ending{})
			}
		default:
			return act, nil
		}
		if ev == eventMismatch {
			return act, &ending{Outcome: identifier.Unknown, Step: stepClaim, Peer: string(r.cfg.Name), Detail: "the key was used for another request", Reason: "key_reused"}
		}
		act = a.Step(ev, key)
	}
}

// eventMismatch means that the claim is for another request than this one.
const eventMismatch claimer.Event = "mismatch"

func (r *Router) claimMint(ctx context.Context, k keyed) (claimer.Event, string) {
	key, err := r.mint(ctx, k.call.item.Class)
	if err != nil {
		return claimer.Failed, ""
	}
	return claimer.Minted, r.sign.Format(key)
}

func (r *Router) claimCreate(ctx context.Context, k keyed, own string) (claimer.Event, string) {
	raw, err := encodeClaim(k, own)
	if err != nil {
		return claimer.Failed, ""
	}
	r.board.mu.Lock()
	ttl := time.Duration(r.board.adopter.Current().Document.Limits.KeyAgeMS)*time.Millisecond + claimMargin
	r.board.mu.Unlock()
	ent, err := r.cfg.Store.Swap(ctx, claimName(k), raw, 0, ttl)
	switch {
	case err == nil:
		return claimer.Created, ""
	case errors.Is(err, storer.ErrConflict):
		return decodeClaim(k, ent.Value)
	case errors.Is(err, storer.ErrRefused):
		return claimer.Failed, ""
	}
	return claimer.Lost, ""
}

func (r *Router) claimRead(ctx context.Context, k keyed) (claimer.Event, string) {
	ent, err := r.cfg.Store.Get(ctx, claimName(k))
	switch {
	case err == nil:
		return decodeClaim(k, ent.Value)
	case errors.Is(err, storer.ErrAbsent):
		return claimer.Absent, ""
	}
	return claimer.Failed, ""
}

// claimMargin is how much longer a claim is kept than its key is accepted.
const claimMargin = time.Hour
