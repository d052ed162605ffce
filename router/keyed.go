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

// keyed is one attempt at a request under an idempotency key. The claimer
// decides what is done next; the rest carries it out.
type keyed struct {
	call *call
	// value is the key as the caller sent it.
	value   string
	attempt *claimer.Attempt
	out     sink
	// reply is the agent's latest word on the winning key.
	reply keyAnswer
	// last is what the latest action has found out for the caller.
	last ending
}

// runKeyed runs a request under its key at most once, or follows the run that
// the key had before.
func (r *Router) runKeyed(ctx context.Context, k *keyed) ending {
	if e := r.checkKey(k); e != nil {
		return *e
	}
	for act := k.attempt.Begin(); act != claimer.End; {
		event, key := r.perform(ctx, k, act)
		act = k.attempt.Step(event, key)
	}
	return k.ending()
}

// ending is what the caller is told: the outcome is the claimer's, the rest
// tells where and why.
func (k *keyed) ending() ending {
	e := k.last
	e.Outcome = k.attempt.Outcome()
	if e.Outcome == identifier.Done {
		return e
	}
	if e.Reason == "" && e.Outcome == identifier.Unknown {
		e.Reason = reasonRepeat
	}
	if e.RetryAfter == 0 && e.Reason == reasonRepeat {
		e.RetryAfter = time.Second
	}
	return e
}

// Reasons for which a request under a key ends without an answer.
const (
	reasonRepeat = "repeat_the_key"
	reasonBadKey = "bad_key"
	reasonKeyAge = "key_age"
	reasonReused = "key_reused"
	reasonLost   = "key_lost"
	reasonClosed = "key_closed"
	reasonGone   = "answer_gone"
)

// fail notes where and why an action failed.
func (k *keyed) fail(step, peer, reason, detail string) {
	k.last = ending{Step: step, Peer: peer, Reason: reason, Detail: detail}
}

// checkKey checks the key's form, age and signature before anything runs.
func (r *Router) checkKey(k *keyed) *ending {
	if !signer.Minted(k.value) {
		return r.checkOwn(k)
	}
	self := string(r.cfg.Name)
	key, err := r.sign.Parse(k.value, k.call.item.Class.Workspace)
	if err != nil {
		return &ending{Outcome: identifier.NotRun, Step: stepKey, Peer: self, Detail: err.Error(), Reason: reasonBadKey}
	}
	if key.Class.Kind != k.call.item.Class.Kind {
		return &ending{Outcome: identifier.Unknown, Step: stepKey, Peer: self, Detail: fmt.Sprintf("key was minted for kind %q", key.Class.Kind), Reason: reasonReused}
	}
	k.attempt.WinningKey = k.value
	return nil
}

// maxKeySkew is how far ahead of this router's clock a key may be born.
const maxKeySkew = time.Minute

// checkOwn checks a caller's own key: a UUIDv7 that is neither too old nor born
// ahead of the clock. An old key may have run long ago.
func (r *Router) checkOwn(k *keyed) *ending {
	self := string(r.cfg.Name)
	id, err := uuid.Parse(k.value)
	if err != nil || id.Version() != 7 {
		return &ending{Outcome: identifier.NotRun, Step: stepKey, Peer: self, Detail: "idempotency key is neither a minted key nor a UUIDv7", Reason: reasonBadKey}
	}
	age := ageOf(id)
	limit := r.keyAge()
	if age <= limit && age >= -maxKeySkew {
		return nil
	}
	e := ending{Outcome: identifier.Unknown, Step: stepKey, Peer: self, Reason: reasonKeyAge}
	e.Detail = fmt.Sprintf("idempotency key is %s old; keys are accepted up to %s", age.Round(time.Second), limit)
	if k.attempt.First {
		e.Outcome = identifier.NotRun
	}
	return &e
}

func ageOf(id uuid.UUID) time.Duration {
	sec, nsec := id.Time().UnixTime()
	return time.Since(time.Unix(sec, nsec))
}

// aged replaces an answer of the key-value service that came when the key had
// become so old that an earlier claim of it may have expired, as after a pause.
func aged(k *keyed, e claimer.Event) claimer.Event {
	id, err := uuid.Parse(k.value)
	if err != nil || (e != claimer.Created && e != claimer.Exists) {
		return e
	}
	if age := ageOf(id); age > configurator.MaxKeyAge {
		k.fail(stepClaim, storePeer, reasonKeyAge, fmt.Sprintf("idempotency key was %s old when the claim was answered", age.Round(time.Second)))
		return claimer.Stale
	}
	return e
}

func (r *Router) keyAge() time.Duration {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	return time.Duration(r.board.adopter.Current().Document.Limits.KeyAgeMS) * time.Millisecond
}

// perform carries out an action of the claimer.
func (r *Router) perform(ctx context.Context, k *keyed, act claimer.Action) (event claimer.Event, key string) {
	switch act {
	case claimer.Mint:
		return r.claimMint(ctx, k)
	case claimer.Create:
		event, key = r.claimCreate(ctx, k)
		return aged(k, event), key
	case claimer.Read:
		event, key = r.claimRead(ctx, k)
		return aged(k, event), key
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
