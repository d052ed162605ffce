package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/agent"
	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/imitator"
	"buckthorndrum/lister"
	"buckthorndrum/router"
	"buckthorndrum/securer"
	"buckthorndrum/storer"
)

// handled is a stand-in that has an HTTP interface.
type handled interface{ Handler() http.Handler }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Config sets up a local fleet.
type Config struct {
	Routers  int
	Engines  int
	Services int
	// Port is the first router's port; zero lets the system choose all ports.
	Port int
	Log  *zap.Logger
	Seed uint64
	// Models and Weights are those of the stand-in engines.
	Models []string
	// RefuseRepeats is how many of the services run a key once.
	RefuseRepeats int
	Weights       *imitator.Weights
	// Edit changes the first configuration, nil for no change.
	Edit func(*configurator.Document)
}

// Fleet is a running local fleet.
type Fleet struct {
	Standins *Standins
	Routers  []*router.Router
	Agents   []*agent.Agent
	Document configurator.Document
	log      *zap.Logger
	// configs are those of the agents, in the same order.
	configs []agent.Config
}

// storeTimeout bounds one call to the stand-in store.
const storeTimeout = 25 * time.Second

// Start starts stand-ins, agents and routers, and puts the first configuration.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	sts, err := StartStandins(StandinConfig{Engines: cfg.Engines, Services: cfg.Services, Seed: cfg.Seed, Models: cfg.Models, RefuseRepeats: cfg.RefuseRepeats, Weights: cfg.Weights})
	if err != nil {
		return nil, err
	}
	f := &Fleet{Standins: sts, log: cfg.Log}
	if err := f.start(ctx, cfg); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, cfg Config) error {
	engines, err := f.startAgents("engine", f.Standins.EngineURLs)
	if err != nil {
		return err
	}
	services, err := f.startAgents("registry", f.Standins.ServiceURLs)
	if err != nil {
		return err
	}
	for i := range cfg.Routers {
		port := cfg.Port
		if port != 0 {
			port += i
		}
		if err := f.StartRouter(fmt.Sprintf("router-%d", i+1), dataCentre(i), port, engines); err != nil {
			return err
		}
	}
	f.Document = Document(engines, services)
	if cfg.Edit != nil {
		cfg.Edit(&f.Document)
	}
	if err := PutFirst(ctx, "http://"+f.Routers[0].Address(), f.Document); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startAgents(name string, urls []string) ([]string, error) {
	var addresses []string
	for i, url := range urls {
		cfg := agent.Config{
			Target:     identifier.Target(fmt.Sprintf("%s-%d", name, i+1)),
			DataCentre: dataCentre(i),
			Listen:     address(0),
			TargetURL:  url,
			Security:   securer.Config{Secret: Secret},
			Log:        f.log,
		}
		a, err := agent.Start(cfg)
		if err != nil {
			return nil, err
		}
		cfg.Listen = a.Address()
		f.configs = append(f.configs, cfg)
		f.Agents = append(f.Agents, a)
		addresses = append(addresses, a.Address())
		f.Standins.Instances.Set(lister.Instance{Role: lister.Agent, Name: string(a.Origin().Target), Address: a.Address(), State: lister.Live})
	}
	return addresses, nil
}

// RestartAgent ends the agent beside a target at once, and starts its next
// incarnation at the same address.
func (f *Fleet) RestartAgent(t identifier.Target) error {
	for i, cfg := range f.configs {
		if cfg.Target != t {
			continue
		}
		f.Agents[i].Stop()
		a, err := agent.Start(cfg)
		if err != nil {
			return errors.Wrapf(err, "restart agent of target %q", t)
		}
		f.Agents[i] = a
		return nil
	}
	return fmt.Errorf("target %q does not exist", t)
}

// StartRouter adds a router to the fleet.
func (f *Fleet) StartRouter(name string, dc identifier.DataCentre, port int, seeds []string) error {
	r, err := router.Start(router.Config{
		Name:       identifier.Router(name),
		DataCentre: dc,
		Region:     "local",
		Listen:     address(port),
		Seeds:      seeds,
		Store:      storer.New(storer.Config{Address: f.Standins.StoreURL, Timeout: storeTimeout}),
		Instances:  lister.New(f.Standins.InstancesURL, storeTimeout),
		Security:   securer.Config{Secret: Secret},
		Log:        f.log,
	})
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, r)
	f.Standins.Instances.Set(lister.Instance{Role: lister.Router, Name: name, Address: r.Address(), State: lister.Live})
	return nil
}

// PutFirst puts the first configuration of a fleet by the router at url.
func PutFirst(ctx context.Context, url string, doc configurator.Document) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrap(err, "encode first configuration")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url+"/v1/config", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "put first configuration")
	}
	r.Header.Set("Authorization", "Bearer "+Secret)
	r.Header.Set("If-Match", "0")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "put first configuration")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("put first configuration: status %d", resp.StatusCode)
	}
	return nil
}

// readyPoll is how often a starting fleet looks whether it is ready.
const readyPoll = 10 * time.Millisecond

// waitReady waits until every process has the configuration in force and every
// router is linked to every agent.
func (f *Fleet) waitReady(ctx context.Context) error {
	for !f.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the fleet to be ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, a := range f.Agents {
		if a.Revision() == 0 {
			return false
		}
	}
	for _, r := range f.Routers {
		if r.Revision() == 0 || r.LinkedAgents() < len(f.Agents) {
			return false
		}
	}
	return true
}

// Drain ends the fleet gracefully: the routers first, then the agents.
func (f *Fleet) Drain(ctx context.Context) error {
	var first error
	for _, r := range f.Routers {
		if err := r.Drain(ctx); err != nil && first == nil {
			first = err
		}
	}
	for _, a := range f.Agents {
		if err := a.Drain(ctx); err != nil && first == nil {
			first = err
		}
	}
	f.Standins.Close()
	return first
}

// Close ends the fleet at once.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Stop()
	}
	for _, a := range f.Agents {
		a.Stop()
	}
	f.Standins.Close()
}
