package forwarder

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Status is how far a router has followed the store. Messages have Era and Revision beside it,
// so that routers without them can decode it.
type Status struct {
	_ struct{} `cbor:",toarray"`
	// Position is the store's revision up to which the router knows all changes.
	Position int64
	// ProofAge is how long ago the router was last known to have all changes.
	ProofAge time.Duration
	// Era is the era of Position.
	Era int64 `cbor:"-"`
	// Revision is that of the configuration in force, zero for none.
	Revision identifier.Revision `cbor:"-"`
}

// storePosition returns the position up to which the router knows all changes.
func (s Status) storePosition() identifier.StorePosition {
	return identifier.StorePosition{Era: s.Era, Revision: s.Position}
}

// Status returns how far this router has followed the store. The proof is read before
// the position: a proof that was read after it could belong to a later position (see
// spec/proof.pml).
func (f *Forwarder) Status(now identifier.Instant) Status {
	age := f.ProofAge(now)
	position := f.position()
	return Status{Position: position.Revision, Era: position.Era, ProofAge: age, Revision: f.Revision()}
}

// ProofAge returns the age of the proof that this router knows all changes of the
// store.
func (f *Forwarder) ProofAge(now identifier.Instant) time.Duration {
	return now.Sub(f.confirmedAt())
}

// confirmedAt returns the instant at which this router was last known to have the
// newest configuration, zero for none.
func (f *Forwarder) confirmedAt() identifier.Instant {
	return identifier.Instant(f.state.confirmedAt.Load())
}

// ConfirmFreshness records that this router knows all changes of the store up to
// position, and that at the instant at the store had no later change.
func (f *Forwarder) ConfirmFreshness(at identifier.Instant, position identifier.StorePosition) {
	f.confirm(at, position, sourceStore)
}

// sourceStore is the source of the proofs that this router has from the store itself. That
// of others is the name of the router that sent them.
const sourceStore = "store"

// confirm is ConfirmFreshness with the source of the proof, for the log. The proof is dropped
// if another router had a newer configuration before: the store lost that and does not have it
// again yet.
func (f *Forwarder) confirm(at identifier.Instant, position identifier.StorePosition, source string) {
	f.AdvancePosition(position)
	if lost := f.state.peerRevision.Load(); position.Era > 0 && lost.contradicts(at, f.Revision()) {
		if lost.logged.CompareAndSwap(false, true) {
			f.log.Warn("proof dropped, as the store has lost a configuration", zap.Uint64("revision", uint64(f.Revision())), zap.Uint64("lost", uint64(lost.revision)), zap.String("proof_from", source))
		}
		return
	}
	if storeMax(&f.state.confirmedAt, int64(at)) {
		f.state.proofSource.Store(&source)
	}
}

// proofSource returns where the latest proof came from, empty if there is none.
func (f *Forwarder) proofSource() string {
	if s := f.state.proofSource.Load(); s != nil {
		return *s
	}
	return ""
}

// AdvancePosition records that this router knows all changes of the store up to
// position.
func (f *Forwarder) AdvancePosition(position identifier.StorePosition) {
	for {
		old := f.state.position.Load()
		if old != nil && !old.Before(position) || f.state.position.CompareAndSwap(old, &position) {
			return
		}
	}
}

// position returns the store's position up to which this router knows all changes.
func (f *Forwarder) position() identifier.StorePosition {
	if p := f.state.position.Load(); p != nil {
		return *p
	}
	return identifier.StorePosition{}
}

// ReceivePeerStatus records how far the router from had followed the store at an instant. If
// this router has got as far in the same era, the status confirms its configuration too. If the
// other router is ahead, its position is sent on the channel that NewerPositions returns. A
// router of an older era proves nothing, nor does one that is not ahead and has a newer
// configuration, which the store has lost.
func (f *Forwarder) ReceivePeerStatus(at identifier.Instant, from identifier.Router, s Status) {
	f.ReceivePeerRevision(clocker.Now(), s.Revision)
	position, theirs := f.position(), s.storePosition()
	if position.Before(theirs) {
		select {
		case f.newerPositions <- theirs:
		default:
		}
		return
	}
	lost := s.Era > 0 && s.Revision > f.Revision()
	if s.Position > 0 && position.Era == s.Era && !lost {
		f.confirm(at.Add(-s.ProofAge), position, string(from))
	}
}

// peerRevisionTTL is how long the word of another router counts that it has a configuration.
const peerRevisionTTL = 10 * time.Second

// peerRevision is the newest configuration that another router was known to have.
type peerRevision struct {
	revision identifier.Revision
	// since is when it was first heard of, and toldAt is when it was last, as an Instant.
	since  identifier.Instant
	toldAt atomic.Int64
	// logged is set once a proof was dropped for it.
	logged atomic.Bool
}

// contradicts reports whether a store that had no newer configuration than revision at an
// instant has lost p.
func (p *peerRevision) contradicts(at identifier.Instant, revision identifier.Revision) bool {
	return p != nil && p.revision > revision && at > p.since && at.Sub(identifier.Instant(p.toldAt.Load())) < peerRevisionTTL
}

// ReceivePeerRevision records that another router has a configuration.
func (f *Forwarder) ReceivePeerRevision(now identifier.Instant, r identifier.Revision) {
	old := f.state.peerRevision.Load()
	switch {
	case old != nil && r == old.revision:
		old.toldAt.Store(int64(now))
	case r > f.Revision() && (old == nil || r > old.revision || now.Sub(identifier.Instant(old.toldAt.Load())) >= peerRevisionTTL):
		heard := &peerRevision{revision: r, since: now}
		heard.toldAt.Store(int64(now))
		f.state.peerRevision.Store(heard)
	}
}

// NewerPositions returns a channel of store positions that other routers know and this
// one did not when it received them.
func (f *Forwarder) NewerPositions() <-chan identifier.StorePosition { return f.newerPositions }

// isFresh reports whether a proof of freshness from the instant confirmedAt is recent
// enough for keys to be accepted. The configuration must be read after the proof (see
// spec/proof.pml).
func (f *Forwarder) isFresh(now, confirmedAt identifier.Instant) bool {
	maxAge := f.state.tunables.Load().MaxProofAge
	return maxAge <= 0 || confirmedAt > 0 && now.Sub(confirmedAt) <= maxAge
}
