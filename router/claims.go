package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/claimer"
	"buckthorndrum/configurator"
	"buckthorndrum/storer"
)

// claimMint reserves a minted key of this attempt's own, if the request would
// be admitted and the claims' budget allows.
func (r *Router) claimMint(ctx context.Context, k *keyed) (claimer.Event, string) {
	if err := r.admit(k.call); err != nil {
		k.refused(err)
		return claimer.Failed, ""
	}
	if !r.claims.Allow() {
		k.fail(stepClaim, string(r.cfg.Name), "claims_per_second", "too many keys are being claimed")
		return claimer.Failed, ""
	}
	key, err := r.mint(ctx, k.call.item.Class)
	if err != nil {
		k.fail(stepClaim, "agent", "no_target", err.Error())
		return claimer.Failed, ""
	}
	return claimer.Minted, r.sign.Format(key)
}

func (r *Router) admit(c *call) error {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.board.stopping {
		return errors.New("router is shutting down")
	}
	return r.board.queues.CheckAdmission(now(), c.item)
}

// storePeer names the key-value service in errors.
const storePeer = "key-value service"

// claimKept is how long a claim is kept: an hour longer than any key is accepted,
// whatever the configuration says now or later.
const claimKept = configurator.MaxKeyAge + time.Hour

func (r *Router) claimCreate(ctx context.Context, k *keyed) (claimer.Event, string) {
	raw, err := encodeClaim(k, k.attempt.OwnKey)
	if err != nil {
		k.fail(stepClaim, string(r.cfg.Name), "", err.Error())
		return claimer.Failed, ""
	}
	ent, err := r.cfg.Store.Swap(ctx, claimName(k), raw, 0, claimKept)
	switch {
	case err == nil:
		return claimer.Created, ""
	case errors.Is(err, storer.ErrConflict):
		return decodeClaim(k, ent.Value)
	}
	k.fail(stepClaim, storePeer, "", err.Error())
	if errors.Is(err, storer.ErrRefused) {
		return claimer.Failed, ""
	}
	return claimer.Lost, ""
}

func (r *Router) claimRead(ctx context.Context, k *keyed) (claimer.Event, string) {
	ent, err := r.cfg.Store.Get(ctx, claimName(k))
	switch {
	case err == nil:
		return decodeClaim(k, ent.Value)
	case errors.Is(err, storer.ErrAbsent):
		return claimer.Absent, ""
	}
	k.fail(stepClaim, storePeer, "", err.Error())
	return claimer.Failed, ""
}
