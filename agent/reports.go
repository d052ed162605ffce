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
	// reportInterval is how often the engine's reports are read.
	reportInterval = time.Second
	// firstReportInterval is how often the agent tries to read the first report.
	firstReportInterval = 50 * time.Millisecond
	// reportTimeout is the timeout of one call to the engine's reporting interface.
	reportTimeout = 2 * time.Second
	// maxReportBytes is the maximum size of one report, in bytes.
	maxReportBytes = 1 << 20
)

// engineLoad is an engine's report of its load, which lags behind. A decoded report must be
// checked.
type engineLoad struct {
	Batch *int `json:"batch"`
	placer.EngineState
}

// check returns an error if the report does not name the size of the batch.
func (l engineLoad) check() error {
	if l.Batch == nil || *l.Batch < 0 {
		return errors.New("engine load names no batch")
	}
	return nil
}

// cacheEvent reports that an engine has cached or evicted a prompt prefix.
type cacheEvent struct {
	Sequence uint64            `json:"sequence"`
	Prefix   identifier.Prefix `json:"prefix"`
	Evicted  bool              `json:"evicted"`
}

// pollEngine reads the engine's reports until the agent stops. It reads none if the
// target is not a model engine.
func (a *Agent) pollEngine() {
	var lastSeen uint64
	wait := firstReportInterval
	for {
		select {
		case <-time.After(wait):
		case <-a.ctx.Done():
			return
		}
		if !a.targetIsEngine() {
			continue
		}
		if err := a.readLoad(); err != nil {
			a.log.Debug("engine load not read", reporter.Error(err))
			continue
		}
		wait = reportInterval
		if err := a.readCacheEvents(&lastSeen); err != nil {
			a.log.Debug("cache events not read", reporter.Error(err))
		}
	}
}

// targetIsEngine reports whether the target is a configured model engine.
func (a *Agent) targetIsEngine() bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.adopter.Current() != nil && a.state.configured && a.poolType() == configurator.Engine
}

// readLoad reads the engine's load. It passes the batch size to the scheduler, which
// corrects the target's slots by it, and the loaded weights to the placer.
func (a *Agent) readLoad() error {
	var l engineLoad
	if err := a.callEngine(http.MethodGet, "/v1/load", nil, &l); err != nil {
		return err
	}
	if err := l.check(); err != nil {
		return err
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.apply(a.state.sched.ReportBatch(now(), *l.Batch))
	if a.state.placer != nil {
		a.state.placer.UpdateEngine(now(), l.EngineState)
		a.tickPlacer()
	}
	return nil
}

// readCacheEvents reads the cache events after sequence lastSeen, and sets lastSeen.
// Events come late and with gaps, so they only correct the scheduler's record of the
// prefixes that the engine holds, which is based on the requests sent to it.
func (a *Agent) readCacheEvents(lastSeen *uint64) error {
	var events []cacheEvent
	if err := a.callEngine(http.MethodGet, fmt.Sprintf("/v1/cache_events?after=%d", *lastSeen), nil, &events); err != nil {
		return err
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	for _, e := range events {
		*lastSeen = max(*lastSeen, e.Sequence)
		if e.Evicted {
			a.state.sched.CacheEvicted(e.Prefix)
		} else {
			a.state.sched.CacheStored(e.Prefix)
		}
	}
	return nil
}

// callEngine makes one call to the engine's reporting interface. It sends in as JSON, and
// decodes the response into out unless out is nil. A status other than 200 is an error.
func (a *Agent) callEngine(method, path string, in, out any) error {
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", path)
	}
	return errors.Wrapf(json.Unmarshal(answer, out), "decode %s", path)
}
