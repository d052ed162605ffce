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

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/placer"
	"buckthorndrum/reporter"
)

const (
	// reportEvery is how often an engine's reports are read.
	reportEvery = time.Second
	// firstReport is how long it is waited for the first.
	firstReport = 50 * time.Millisecond
	// reportTimeout bounds one such call.
	reportTimeout = 2 * time.Second
	// maxReport bounds one report, in bytes.
	maxReport = 1 << 20
)

// engineLoad is what an engine reports of itself, late.
type engineLoad struct {
	Batch int `json:"batch"`
	placer.Loaded
}

// cacheEvent tells that an engine has cached or evicted a prompt prefix.
type cacheEvent struct {
	Sequence uint64            `json:"sequence"`
	Prefix   identifier.Prefix `json:"prefix"`
	Evicted  bool              `json:"evicted"`
}

// followEngine reads the engine's reports until the agent stops.
func (a *Agent) followEngine() {
	var seen uint64
	wait := firstReport
	for {
		select {
		case <-time.After(wait):
		case <-a.ctx.Done():
			return
		}
		if !a.besideEngine() {
			continue
		}
		if err := a.readLoad(); err != nil {
			a.log.Debug("engine load not read", reporter.Error(err))
			continue
		}
		wait = reportEvery
		if err := a.readCacheEvents(&seen); err != nil {
			a.log.Debug("cache events not read", reporter.Error(err))
		}
	}
}

// besideEngine tells whether the target is a model engine.
func (a *Agent) besideEngine() bool {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	return a.board.adopter.Current() != nil && a.board.configured && a.poolType() == configurator.Engine
}

// readLoad corrects the target's slots by its reported load, and tells the
// placer what the engine has loaded.
func (a *Agent) readLoad() error {
	var l engineLoad
	if err := a.report(http.MethodGet, "/v1/load", nil, &l); err != nil {
		return err
	}
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.apply(a.board.sched.Reported(now(), l.Batch))
	if a.board.placer != nil {
		a.board.placer.Reported(now(), l.Loaded)
		a.decidePlacement()
	}
	return nil
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
	resp, err := a.newAgent.Do(r)
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
