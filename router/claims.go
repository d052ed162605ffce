package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/storer"
)

// mintForClaim reserves a minted key with which this attempt can claim the caller's key.
// It fails if the request would not be admitted now or too many keys are being claimed.
func (r *Router) mintForClaim(ctx context.Context, k *keyedAttempt) (claimer.Event, string) {
	if err := r.checkAdmission(k.call); err != nil {
		k.setRefusal(err)
		return claimer.Failed, ""
	}
	if !r.claimLimiter.Allow() {
		k.setFailure(stepClaim, string(r.cfg.Name), "claims_per_second", "too many keys are being claimed")
		return claimer.Failed, ""
	}
	key, err := r.mintKey(ctx, k.call.item.Class)
	if err != nil {
		k.setFailure(stepClaim, "agent", "no_target", err.Error())
		return claimer.Failed, ""
	}
	return claimer.Minted, r.signer.Format(key)
}

// checkAdmission returns the error with which request c would be refused now, or nil.
func (r *Router) checkAdmission(c *call) error {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if r.state.stopping {
		return errors.New("router is shutting down")
	}
	return r.state.queues.CheckAdmission(now(), c.item)
}

// storePeerName names the key-value service in errors.
const storePeerName = "key-value service"

// claimTTL is how long a claim is kept: an hour longer than any key is accepted, whatever
// the configuration says now or later.
const claimTTL = configurator.MaxKeyAge + time.Hour

// createClaim writes the claim of the caller's key unless there is one already, which it
// then decodes. It returns Failed if the write had no effect, and Lost if that is not
// known.
func (r *Router) createClaim(ctx context.Context, k *keyedAttempt) (claimer.Event, string) {
	raw, err := encodeClaim(k, k.claim.OwnKey)
	if err != nil {
		k.setFailure(stepClaim, string(r.cfg.Name), "", err.Error())
		return claimer.Failed, ""
	}
	ent, err := r.cfg.Store.Swap(ctx, claimStoreKey(k), raw, 0, claimTTL)
	switch {
	case err == nil:
		return claimer.Created, ""
	case errors.Is(err, storer.ErrConflict):
		return decodeClaim(k, ent.Value)
	}
	k.setFailure(stepClaim, storePeerName, "", err.Error())
	if errors.Is(err, storer.ErrRefused) {
		return claimer.Failed, ""
	}
	return claimer.Lost, ""
}

// readClaim reads and decodes the claim of the caller's key. It returns Absent if there
// is none.
func (r *Router) readClaim(ctx context.Context, k *keyedAttempt) (claimer.Event, string) {
	ent, err := r.cfg.Store.Get(ctx, claimStoreKey(k))
	switch {
	case err == nil:
		return decodeClaim(k, ent.Value)
	case errors.Is(err, storer.ErrAbsent):
		return claimer.Absent, ""
	}
	k.setFailure(stepClaim, storePeerName, "", err.Error())
	return claimer.Failed, ""
}
