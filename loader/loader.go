package loader

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxIdle is how many connections to a router are kept open.
const maxIdle = 1024

// Run drives the fleet until the duration is over or ctx is done.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}}
	rep := newReport()
	before, err := readControl(ctx, cfg)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	limited, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	used := make(chan map[string]float64, 1)
	go func() { used <- occupancy(limited, cfg) }()
	drive(limited, cfg, client, rep)
	rep.Elapsed = time.Since(begin)
	cancel()
	after, err := readControl(ctx, cfg)
	if err != nil {
		return nil, err
	}
	rep.Control = after.since(before, rep.Elapsed)
	rep.Control.Used = <-used
	if cfg.Engine != "" {
		rep.Overhead, err = measureOverhead(ctx, cfg, client)
	}
	return rep, err
}

func drive(ctx context.Context, cfg Config, client *http.Client, rep *Report) {
	var wg sync.WaitGroup
	for i, w := range cfg.Workspaces {
		for j := range cfg.Callers {
			c := &caller{cfg: cfg, http: client, workspace: w, report: rep, serial: j << 20}
			c.rng = rand.New(rand.NewPCG(cfg.Seed, uint64(i)<<32|uint64(j)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.loop(ctx)
			}()
		}
	}
	wg.Wait()
}
