package loader

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Control is the control traffic of the routers over a run.
type Control struct {
	// Bytes are the control bytes sent and received, by router.
	Bytes []int64
	// PerSecond is the mean over the routers, in bytes a second.
	PerSecond float64
	// Running and Slots are the targets' occupancy at the end.
	Running int
	Slots   int
}

// status is what is read of a router's status.
type status struct {
	Control int64 `json:"control_bytes"`
	Targets []struct {
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
	p("targets at the end: %d of %d slots running", c.Running, c.Slots)
}
