package router

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/signer"
)

// keyedAttempt is one attempt at a request under an idempotency key. Its claim decides
// which action comes next, and the router carries it out.
type keyedAttempt struct {
	call *call
	// callerKey is the key as the caller sent it: the caller's own, or a minted one.
	callerKey string
	claim     *claimer.Attempt
	out       sink
	// reply is the latest reply of an agent about a key of this attempt.
	reply keyReply
	// result is what the latest action found out. finalResult sets its outcome.
	result result
}

// runKeyed runs a request under its key at most once, or passes on the answer of the run
// that the key already had.
func (r *Router) runKeyed(ctx context.Context, k *keyedAttempt) result {
	if e := r.checkKey(k); e != nil {
		return *e
	}
	for act := k.claim.Begin(); act != claimer.End; {
		event, key := r.perform(ctx, k, act)
		act = k.claim.Step(event, key)
	}
	return k.finalResult()
}

// finalResult returns the result for the caller. Its outcome is that of the claim; the
// other fields come from the latest action.
func (k *keyedAttempt) finalResult() result {
	e := k.result
	e.Outcome = k.claim.Outcome()
	if e.Outcome == identifier.Done {
		return e
	}
	if e.Reason == "" && e.Outcome == identifier.Unknown {
		e.Reason = reasonRepeatKey
	}
	if e.RetryAfter == 0 && e.Reason == reasonRepeatKey {
		e.RetryAfter = time.Second
	}
	return e
}

// Reasons for which a request under a key ends without an answer.
const (
	reasonRepeatKey  = "repeat_the_key"
	reasonBadKey     = "bad_key"
	reasonKeyAge     = "key_age"
	reasonKeyReused  = "key_reused"
	reasonKeyLost    = "key_lost"
	reasonKeyClosed  = "key_closed"
	reasonAnswerGone = "answer_gone"
)

// setFailure records where and why an action failed.
func (k *keyedAttempt) setFailure(step, peer, reason, detail string) {
	k.result = result{Step: step, Peer: peer, Reason: reason, Detail: detail}
}

// checkKey checks the key before anything runs: the form and age of a caller's own key,
// or the signature, workspace and kind of a minted one. It returns nil if the key is valid.
func (r *Router) checkKey(k *keyedAttempt) *result {
	if !signer.Minted(k.callerKey) {
		return r.checkCallerKey(k)
	}
	self := string(r.cfg.Name)
	key, err := r.signer.Parse(k.callerKey, k.call.item.Class.Workspace)
	if err != nil {
		return &result{Outcome: identifier.NotRun, Step: stepKey, Peer: self, Detail: err.Error(), Reason: reasonBadKey}
	}
	if key.Class.Kind != k.call.item.Class.Kind {
		return &result{Outcome: identifier.Unknown, Step: stepKey, Peer: self, Detail: fmt.Sprintf("key was minted for kind %q", key.Class.Kind), Reason: reasonKeyReused}
	}
	k.claim.WinningKey = k.callerKey
	return nil
}

// maxClockSkew is how far the time in a caller's own key may be ahead of this router's
// clock.
const maxClockSkew = time.Minute

// checkCallerKey checks a key that the caller has made itself. It must be a UUIDv7 whose
// time is neither too long ago nor ahead of the clock. A key that is too old may have run
// long ago, so that the outcome is NotRun only for its first attempt.
func (r *Router) checkCallerKey(k *keyedAttempt) *result {
	self := string(r.cfg.Name)
	id, err := uuid.Parse(k.callerKey)
	if err != nil || id.Version() != 7 {
		return &result{Outcome: identifier.NotRun, Step: stepKey, Peer: self, Detail: "idempotency key is neither a minted key nor a UUIDv7", Reason: reasonBadKey}
	}
	age := uuidAge(id)
	limit := r.maxKeyAge()
	if age <= limit && age >= -maxClockSkew {
		return nil
	}
	e := result{Outcome: identifier.Unknown, Step: stepKey, Peer: self, Reason: reasonKeyAge}
	e.Detail = fmt.Sprintf("idempotency key is %s old; keys are accepted up to %s", age.Round(time.Second), limit)
	if k.claim.First {
		e.Outcome = identifier.NotRun
	}
	return &e
}

// uuidAge returns how long ago the time in id was.
func uuidAge(id uuid.UUID) time.Duration {
	sec, nsec := id.Time().UnixTime()
	return time.Since(time.Unix(sec, nsec))
}

// checkClaimAge returns e, or Stale if e is Created or Exists but the key was older than
// MaxKeyAge when the key-value service's answer came, for example after a pause. An
// earlier claim of the key may then have expired.
func checkClaimAge(k *keyedAttempt, e claimer.Event) claimer.Event {
	id, err := uuid.Parse(k.callerKey)
	if err != nil || (e != claimer.Created && e != claimer.Exists) {
		return e
	}
	if age := uuidAge(id); age > configurator.MaxKeyAge {
		k.setFailure(stepClaim, storePeerName, reasonKeyAge, fmt.Sprintf("idempotency key was %s old when the claim was answered", age.Round(time.Second)))
		return claimer.Stale
	}
	return e
}

// maxKeyAge returns the age up to which callers' own keys are accepted.
func (r *Router) maxKeyAge() time.Duration {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return time.Duration(r.state.adopter.Current().Document.Limits.KeyAgeMS) * time.Millisecond
}

// perform carries out an action of the claim. It returns the event that resulted and,
// for some events, a minted key.
func (r *Router) perform(ctx context.Context, k *keyedAttempt, act claimer.Action) (event claimer.Event, key string) {
	switch act {
	case claimer.Mint:
		return r.mintForClaim(ctx, k)
	case claimer.Create:
		event, key = r.createClaim(ctx, k)
		return checkClaimAge(k, event), key
	case claimer.Read:
		event, key = r.readClaim(ctx, k)
		return checkClaimAge(k, event), key
	case claimer.CloseOwn:
		r.closeOwn(k)
		return claimer.Closed, ""
	case claimer.AskState:
		return r.askWinner(ctx, k), ""
	case claimer.Close:
		return r.closeWinner(k), ""
	case claimer.Queue:
		return r.queueKeyed(ctx, k), ""
	case claimer.Follow:
		return r.followKey(ctx, k), ""
	}
	return claimer.Lost, ""
}
