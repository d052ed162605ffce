package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/reporter"
)

const (
	// reportEvery is how often an engine's reports are read.
	reportEvery = time.Second
	// reportTimeout bounds one such call.
	reportTimeout = 2 * time.Second
	// maxReport bounds one report, in bytes.
	maxReport = 1 << 20
)

// engineLoad is what an engine reports of itself, late.
type engineLoad struct {
	Batch int    `json:"batch"`
	Model string `json:"model"`
}

// cacheEvent tells that an engine has cached or evicted a prompt prefix.
type cacheEvent struct {
	Sequence uint64            `json:"sequence"`
	Prefix   identifier.Prefix `json:"prefix"`
	Evicted  bool              `json:"evicted"`
}

// modelOrder tells an engine to load a model. The fence is the configuration
// revision, which only rises: an engine that checks it refuses an order of a
// process that has woken up late.
type modelOrder struct {
	Model string              `json:"model"`
	Fence identifier.Revision `json:"fence"`
}

// followEngine reads the engine's reports until the agent stops.
func (a *Agent) followEngine() {
	ticks := time.NewTicker(reportEvery)
	defer ticks.Stop()
	var seen uint64
	for {
		select {
		case <-ticks.C:
		case <-a.ctx.Done():
			return
		}
		pool, revision, ok := a.enginePool()
		if !ok {
			continue
		}
		if err := a.readLoad(pool, revision); err != nil {
			a.log.Debug("engine load not read", reporter.Error(err))
		}
		if err := a.readCacheEvents(&seen); err != nil {
			a.log.Debug("cache events not read", reporter.Error(err))
		}
	}
}

// enginePool returns the target's pool if it is one of model engines.
func (a *Agent) enginePool() (configurator.Pool, identifier.Revision, bool) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	s := a.board.adopter.Current()
	if s == nil || !a.board.configured {
		return configurator.Pool{}, 0, false
	}
	p, _ := s.Pool(a.board.pool)
	return p, s.Revision, p.Type == configurator.Engine
}

// readLoad corrects the target's slots by its reported load, and orders its
// model if it has another one. An engine that takes orders without checking the
// fence may be given an old one by a process that has woken up late; the next
// report shows it, and the order is given again.
func (a *Agent) readLoad(pool configurator.Pool, revision identifier.Revision) error {
	var l engineLoad
	if err := a.report(http.MethodGet, "/v1/load", nil, &l); err != nil {
		return err
	}
	a.board.mu.Lock()
	a.apply(a.board.sched.Reported(now(), l.Batch))
	a.board.mu.Unlock()
	if pool.Model == "" || l.Model == pool.Model {
		return nil
	}
	a.log.Info("model ordered", zap.String("model", pool.Model), zap.String("loaded", l.Model))
	return a.report(http.MethodPost, "/v1/model", modelOrder{pool.Model, revision}, nil)
}

// readCacheEvents corrects what the target is thought to hold. Events come late
// and with gaps, so that they only correct what was sent.
func (a *Agent) readCacheEvents(seen *uint64) error {
	var events []cacheEvent
	if err := a.report(http.MethodGet, fmt.Sprintf("/v1/cache_events?after=%d", *seen), nil, &events); err != nil {
		return err
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	for _, e := range events {
		*seen = max(*seen, e.Sequence)
		if e.Evicted {
			a.board.sched.CacheEvicted(e.Prefix)
		} else {
			a.board.sched.CacheStored(e.Prefix)
		}
	}
	return nil
}

// report makes one call to the engine's reporting interface.
func (a *Agent) report(method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	raw, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	r, err := http.NewRequestWithContext(ctx, method, a.cfg.TargetURL+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	resp, err := a.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(out), "decode %s", path)
}
