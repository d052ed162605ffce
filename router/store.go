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
	// headKey is where the head record stands.
	headKey = "config/head"
	// partKeyPrefix comes before the hash of a part.
	partKeyPrefix = "config/part/"
	// watchTimeout is how long one watch waits.
	watchTimeout = 20 * time.Second
	// storeRetryDelay is the wait after a failed call.
	storeRetryDelay = 500 * time.Millisecond
	// maxSeedWait bounds how long a cold router leaves it to its seeds to bring the
	// configuration before it asks the service. Each waits between half of it and
	// all.
	maxSeedWait = 10 * time.Second
	// seedPollInterval is how often it looks whether they have.
	seedPollInterval = 50 * time.Millisecond
	// changeTimeout bounds one change of the configuration.
	changeTimeout = 5 * time.Second
)

// watchConfig follows the head record in the key-value service.
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
			r.log.Warn("stored configuration not taken", reporter.Error(err))
			r.sleep(storeRetryDelay)
			continue
		}
		v = ent.Version
	}
}

// awaitSeeds gives the seeds, if there are any, time to bring the configuration,
// so that a fleet that starts all at once does not read it all from the service.
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

func (r *Router) recordStoreResult(err error) {
	ok := err == nil || errors.Is(err, storer.ErrAbsent)
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if ok != r.state.storeOK {
		r.log.Info("key-value service changed", zap.Bool("answers", ok), reporter.Error(err))
	}
	r.state.storeOK = ok
}

// offerStored takes in a head record and the parts that it needs.
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

func (r *Router) offerHead(raw []byte) ([]configurator.Hash, error) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	adopted, missing, err := r.state.adopter.OfferHead(raw)
	if adopted {
		r.applyConfig(r.state.adopter.Current())
	}
	return missing, err
}

func (r *Router) offerPart(raw []byte) error {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	adopted, err := r.state.adopter.OfferPart(raw)
	if adopted {
		r.applyConfig(r.state.adopter.Current())
	}
	return err
}

// ErrStoreBehind means that the key-value service shows an older configuration
// than the one in force.
type ErrStoreBehind struct{ Stored, InForce identifier.Revision }

// Error implements error.
func (e ErrStoreBehind) Error() string {
	return fmt.Sprintf("key-value service shows revision %d, but %d is in force", e.Stored, e.InForce)
}

// changeConfig replaces the configuration that stood at revision expected by doc, and
// returns the new revision.
func (r *Router) changeConfig(ctx context.Context, expected identifier.Revision, doc configurator.Document, operator string) (identifier.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	head, v, err := r.storedHead(ctx)
	if err != nil {
		return 0, err
	}
	if head.Revision < r.Revision() {
		return 0, ErrStoreBehind{Stored: head.Revision, InForce: r.Revision()}
	}
	if head.Revision != expected {
		return 0, configurator.ErrConflict{Expected: expected, Actual: head.Revision}
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

// documentAt returns the document of a revision if it is the one in force.
func (r *Router) documentAt(rev identifier.Revision) *configurator.Document {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	s := r.state.adopter.Current()
	if s == nil || s.Revision != rev {
		return nil
	}
	return &s.Document
}

// storeParts writes the parts that are new. They are addressed by content, so a
// part that stands already is the same.
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

// swapHead makes the change take effect. A lost answer is settled by reading
// the head back.
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
		// The write may still be on its way. Repeating the change is safe.
		return errors.Wrap(storer.ErrLost, "swap configuration head")
	}
	return configurator.ErrConflict{Expected: h.Revision - 1, Actual: stored.Revision}
}

// readBack reads the head after a lost answer, or returns the loss.
func (r *Router) readBack(ctx context.Context, lostErr error) (storer.Entry, error) {
	ent, err := r.cfg.Store.Get(ctx, headKey)
	if err != nil {
		return storer.Entry{}, lostErr
	}
	return ent, nil
}

// adoptChange puts a change that this router has made in force here at once.
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

// auditPage returns a page of the audit trail: the newest for an empty hash.
func (r *Router) auditPage(ctx context.Context, h configurator.Hash) (configurator.Page, error) {
	if h == "" {
		r.state.mu.Lock()
		defer r.state.mu.Unlock()
		head, _ := r.state.adopter.Head()
		return configurator.Page{Audit: head.Audit, Older: head.Older}, nil
	}
	var p configurator.Page
	ent, err := r.cfg.Store.Get(ctx, partKeyPrefix+string(h))
	if err != nil {
		return p, errors.Wrapf(err, "read audit page %.8s", h)
	}
	return p, errors.Wrap(json.Unmarshal(ent.Value, &p), "decode audit page")
}
