package loader

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Control is the control traffic of the routers over a run.
type Control struct {
	// Bytes are the control bytes sent and received, by router.
	Bytes []int64
	// PerSecond is the mean over the routers, in bytes a second.
	PerSecond float64
	// Running and Slots are the targets' occupancy.
	Running int
	Slots   int
	// Used is the mean part of the slots in use over the run, by pool.
	Used map[string]float64
}

// status is what is read of a router's status.
type status struct {
	Control int64 `json:"control_bytes"`
	Targets []struct {
		Pool string `json:"pool"`
		Load struct {
			Running int `json:"running"`
			Slots   int `json:"slots"`
		} `json:"load"`
	} `json:"targets"`
}

func readControl(ctx context.Context, cfg Config) (*Control, error) {
	c := &Control{}
	if cfg.OperatorToken == "" {
		return c, nil
	}
	for _, url := range cfg.Routers {
		st, err := readStatus(ctx, url, cfg.OperatorToken)
		if err != nil {
			return nil, err
		}
		c.Bytes = append(c.Bytes, st.Control)
		c.Running, c.Slots = 0, 0
		for _, t := range st.Targets {
			c.Running += t.Load.Running
			c.Slots += t.Load.Slots
		}
	}
	return c, nil
}

func readStatus(ctx context.Context, url, token string) (status, error) {
	var st status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/status", nil)
	if err != nil {
		return st, errors.Wrap(err, "read status")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return st, errors.Wrap(err, "read status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st, errors.Errorf("read status of %s: status %d", url, resp.StatusCode)
	}
	return st, errors.Wrap(json.NewDecoder(resp.Body).Decode(&st), "decode status")
}

func (c *Control) since(before *Control, d time.Duration) *Control {
	var sum int64
	for i := range c.Bytes {
		c.Bytes[i] -= before.Bytes[i]
		sum += c.Bytes[i]
	}
	if len(c.Bytes) > 0 {
		c.PerSecond = float64(sum) / float64(len(c.Bytes)) / d.Seconds()
	}
	return c
}

func (c *Control) print(p func(string, ...any)) {
	p("control traffic %.0f bytes a second for each router, both directions", c.PerSecond)
	for _, pool := range slices.Sorted(maps.Keys(c.Used)) {
		p("utilisation of pool %s: %.1f%% of its slots in use, mean", pool, 100*c.Used[pool])
	}
}

// sampleEvery is how often the targets' occupancy is read.
const sampleEvery = time.Second

// occupancy reads the slots in use by pool until ctx is done, and returns their
// mean part.
func occupancy(ctx context.Context, cfg Config) map[string]float64 {
	running, slots := map[string]float64{}, map[string]float64{}
	ticks := time.NewTicker(sampleEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			used := map[string]float64{}
			for pool, n := range slots {
				used[pool] = running[pool] / n
			}
			return used
		}
		st, err := readStatus(ctx, cfg.Routers[0], cfg.OperatorToken)
		if err != nil {
			continue
		}
		for _, t := range st.Targets {
			running[t.Pool] += float64(t.Load.Running)
			slots[t.Pool] += float64(t.Load.Slots)
		}
	}
}
