package router

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"buckthorndrum/reporter"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/storer"
)

const (
	// headKey is the key of the head record.
	headKey = "config/head"
	// partKeyPrefix is followed by the hash of a part in the part's key.
	partKeyPrefix = "config/part/"
	// watchTimeout is how long one watch waits for a change.
	watchTimeout = 20 * time.Second
	// storeRetryDelay is the wait after a failed call, before jitter.
	storeRetryDelay = 500 * time.Millisecond
	// maxSeedWait bounds how long a router without a configuration waits for its seeds
	// to send one before it reads the key-value service. Each router waits between half
	// of it and all of it.
	maxSeedWait = 10 * time.Second
	// seedPollInterval is how often a waiting router checks whether it has a
	// configuration.
	seedPollInterval = 50 * time.Millisecond
	// changeTimeout bounds one change of the configuration.
	changeTimeout = 5 * time.Second
)

// watchConfig watches the head record in the key-value service and adopts each new
// configuration, until the router stops. While the router need not watch, it only
// checks every listInterval whether it has become one of the watchers.
func (r *Router) watchConfig() {
	var v storer.Version
	r.awaitSeeds()
	for r.ctx.Err() == nil {
		if !r.shouldWatchConfig() {
			r.sleep(listInterval)
			continue
		}
		ent, err := r.cfg.Store.Watch(r.ctx, headKey, v, watchTimeout)
		r.recordStoreResult(err)
		if err != nil {
			r.sleep(storeRetryDelay + time.Duration(jitter()*float64(storeRetryDelay)))
			continue
		}
		if err := r.offerStored(r.ctx, ent.Value); err != nil {
			r.log.Warn("stored configuration not adopted", reporter.Error(err))
			r.sleep(storeRetryDelay)
			continue
		}
		v = ent.Version
	}
}

// awaitSeeds gives the seeds, if there are any, time to send the configuration, so that
// the routers of a fleet that starts all at once do not all read it from the key-value
// service.
func (r *Router) awaitSeeds() {
	if len(r.cfg.Seeds) == 0 {
		return
	}
	start := time.Now()
	wait := time.Duration((1 + jitter()) / 2 * float64(maxSeedWait))
	for r.ctx.Err() == nil && r.Revision() == 0 && time.Since(start) < wait {
		r.sleep(seedPollInterval)
	}
}

// sleep waits for d or until the router stops.
func (r *Router) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// recordStoreResult records whether a call to the key-value service succeeded, and logs
// a change. That a key does not exist counts as success.
func (r *Router) recordStoreResult(err error) {
	ok := err == nil || errors.Is(err, storer.ErrAbsent)
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if ok != r.state.storeOK {
		r.log.Info("key-value service availability changed", zap.Bool("answers", ok), reporter.Error(err))
	}
	r.state.storeOK = ok
}

// offerStored offers a stored head record to the adopter. It reads the parts that are
// missing from the key-value service and offers them too.
func (r *Router) offerStored(ctx context.Context, raw []byte) error {
	missing, err := r.offerHead(raw)
	if err != nil {
		return err
	}
	for _, h := range missing {
		ent, err := r.cfg.Store.Get(ctx, partKeyPrefix+string(h))
		if err != nil {
			return errors.Wrapf(err, "read configuration part %.8s", h)
		}
		if err := r.offerPart(ent.Value); err != nil {
			return err
		}
	}
	return nil
}

// offerHead offers a head record to the adopter, and applies the configuration if it is
// adopted. It returns the hashes of the parts that are missing for that.
func (r *Router) offerHead(raw []byte) ([]configurator.Hash, error) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	adopted, missing, err := r.state.adopter.OfferHead(raw)
	if adopted {
		r.applyConfig(r.state.adopter.Current())
	}
	return missing, err
}

// offerPart offers a part to the adopter, and applies the configuration if it is adopted.
func (r *Router) offerPart(raw []byte) error {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	adopted, err := r.state.adopter.OfferPart(raw)
	if adopted {
		r.applyConfig(r.state.adopter.Current())
	}
	return err
}

// ErrStoreBehind means that the key-value service returns an older configuration than the
// one in force.
type ErrStoreBehind struct{ Stored, InForce identifier.Revision }

// Error implements error.
func (e ErrStoreBehind) Error() string {
	return fmt.Sprintf("key-value service shows revision %d, but %d is in force", e.Stored, e.InForce)
}

// changeConfig replaces the configuration of revision expected by doc, and returns the
// new revision. It returns ErrStoreBehind if the key-value service returns an older
// configuration than the one in force, configurator.ErrConflict if another change came
// first, and storer.ErrLost if it is not known whether the change was accepted.
func (r *Router) changeConfig(ctx context.Context, expected identifier.Revision, doc configurator.Document, operator string) (identifier.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	// Another change may come in force after the read. The swap finds it.
	inForce := r.Revision()
	head, v, err := r.storedHead(ctx)
	if err != nil {
		return 0, err
	}
	if head.Revision < inForce {
		return 0, ErrStoreBehind{Stored: head.Revision, InForce: inForce}
	}
	if head.Revision != expected {
		return 0, configurator.ConflictError{Expected: expected, Actual: head.Revision}
	}
	ch, err := configurator.Plan(head, r.documentAt(expected), doc, operator, time.Now())
	if err != nil {
		return 0, err
	}
	if err := r.storeParts(ctx, ch); err != nil {
		return 0, err
	}
	if err := r.swapHead(ctx, ch.Head, v); err != nil {
		return 0, err
	}
	return ch.Head.Revision, r.adoptChange(ch)
}

// storedHead reads the head record and its version. Both are zero if there is none.
func (r *Router) storedHead(ctx context.Context) (configurator.Head, storer.Version, error) {
	ent, err := r.cfg.Store.Get(ctx, headKey)
	if errors.Is(err, storer.ErrAbsent) {
		return configurator.Head{}, 0, nil
	}
	if err != nil {
		return configurator.Head{}, 0, errors.Wrap(err, "read configuration head")
	}
	h, err := configurator.DecodeHead(ent.Value)
	return h, ent.Version, err
}

// documentAt returns the document of revision rev if that is in force, and nil otherwise.
func (r *Router) documentAt(rev identifier.Revision) *configurator.Document {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	s := r.state.adopter.Current()
	if s == nil || s.Revision != rev {
		return nil
	}
	return &s.Document
}

// storeParts writes the parts of ch that this router does not have yet. Parts are
// addressed by their content, so a part that is stored already is the same.
func (r *Router) storeParts(ctx context.Context, ch configurator.Change) error {
	for h, raw := range ch.Parts {
		r.state.mu.Lock()
		known := r.state.adopter.Part(h) != nil
		r.state.mu.Unlock()
		if known {
			continue
		}
		_, err := r.cfg.Store.Swap(ctx, partKeyPrefix+string(h), raw, 0, 0)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return errors.Wrapf(err, "write configuration part %.8s", h)
		}
	}
	return nil
}

// swapHead replaces the stored head record, which was at version v, by h. This makes the
// change take effect. If the answer is lost, swapHead reads the record to find out
// whether h was written.
func (r *Router) swapHead(ctx context.Context, h configurator.Head, v storer.Version) error {
	raw, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	ent, err := r.cfg.Store.Swap(ctx, headKey, raw, v, 0)
	if err == nil {
		return nil
	}
	if errors.Is(err, storer.ErrLost) {
		ent, err = r.readBack(ctx, err)
	}
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return errors.Wrap(err, "swap configuration head")
	}
	stored, decodeErr := configurator.DecodeHead(ent.Value)
	if decodeErr != nil {
		return decodeErr
	}
	if string(ent.Value) == string(raw) {
		return nil
	}
	if stored.Revision < h.Revision {
		// The write may still take effect. Repeating the change is safe.
		return errors.Wrap(storer.ErrLost, "swap configuration head")
	}
	return configurator.ConflictError{Expected: h.Revision - 1, Actual: stored.Revision}
}

// readBack reads the head record after an answer was lost. It returns lostErr if that
// fails too.
func (r *Router) readBack(ctx context.Context, lostErr error) (storer.Entry, error) {
	ent, err := r.cfg.Store.Get(ctx, headKey)
	if err != nil {
		return storer.Entry{}, lostErr
	}
	return ent, nil
}

// adoptChange adopts a change that this router has made, without waiting for the watch.
func (r *Router) adoptChange(ch configurator.Change) error {
	raw, err := json.Marshal(ch.Head)
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	if _, err := r.offerHead(raw); err != nil {
		return err
	}
	for _, part := range ch.Parts {
		if err := r.offerPart(part); err != nil {
			return err
		}
	}
	return nil
}

// auditPage returns the page of the audit trail with hash h, or the newest page if h is
// empty.
func (r *Router) auditPage(ctx context.Context, h configurator.Hash) (configurator.AuditPage, error) {
	if h == "" {
		r.state.mu.Lock()
		defer r.state.mu.Unlock()
		head, _ := r.state.adopter.Head()
		return configurator.AuditPage{Audit: head.Audit, Older: head.Older}, nil
	}
	var p configurator.AuditPage
	ent, err := r.cfg.Store.Get(ctx, partKeyPrefix+string(h))
	if err != nil {
		return p, errors.Wrapf(err, "read audit page %.8s", h)
	}
	return p, errors.Wrap(json.Unmarshal(ent.Value, &p), "decode audit page")
}
