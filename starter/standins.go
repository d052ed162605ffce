package starter

import (
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/imitator"
)

// Standins are the outside systems of a local fleet.
type Standins struct {
	Store     *imitator.Store
	Instances *imitator.Instances
	Engines   []*imitator.Engine
	Services  []*imitator.Service
	// StoreURL and the like are where each is served.
	StoreURL     string
	InstancesURL string
	EngineURLs   []string
	ServiceURLs  []string
	servers      []*imitator.Server
}

// StandinConfig says how many of each to start.
type StandinConfig struct {
	Engines  int
	Services int
	// Port is the first port used; zero lets the system choose each.
	Port int
	Seed uint64
	// Models are loaded at the start, one engine after the other; none stands
	// for the model of the local fleet.
	Models []string
	// RefuseRepeats is how many of the services, the last ones, run a key once.
	RefuseRepeats int
	// Weights is where models come from, nil for a source without a limit.
	Weights *imitator.Weights
}

// Figures of the stand-ins.
const (
	engineStep       = 8 * time.Millisecond
	enginePerStream  = 500 * time.Microsecond
	enginePrefill    = 5 * time.Millisecond
	enginePrefixes   = 32
	engineLoadLag    = 500 * time.Millisecond
	engineEventGap   = 7
	engineLoadTime   = 2 * time.Second
	serviceLatency   = 3 * time.Millisecond
	storeWriteRate   = 400
	storeReadRate    = 2000
	instanceListLag  = time.Second
	model            = "drafter"
	checksEveryOther = 2
)

// StartStandins starts the stand-ins on loopback.
func StartStandins(cfg StandinConfig) (*Standins, error) {
	s := &Standins{
		Store:     imitator.NewStore(imitator.StoreConfig{WritesPerSecond: storeWriteRate, ReadsPerSecond: storeReadRate, Seed: cfg.Seed}),
		Instances: imitator.NewInstances(instanceListLag),
	}
	var err error
	port := cfg.Port
	if s.StoreURL, err = s.serve(&port, s.Store); err != nil {
		return nil, err
	}
	if s.InstancesURL, err = s.serve(&port, s.Instances); err != nil {
		return nil, err
	}
	for i := range cfg.Engines {
		e := imitator.NewEngine(engineConfig(cfg, i))
		url, err := s.serve(&port, e)
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
		s.EngineURLs = append(s.EngineURLs, url)
	}
	for i := range cfg.Services {
		refuses := i >= cfg.Services-cfg.RefuseRepeats
		v := imitator.NewService(imitator.ServiceConfig{Latency: serviceLatency, RefusesRepeats: refuses})
		url, err := s.serve(&port, v)
		if err != nil {
			return nil, err
		}
		s.Services = append(s.Services, v)
		s.ServiceURLs = append(s.ServiceURLs, url)
	}
	return s, nil
}

func engineConfig(cfg StandinConfig, i int) imitator.EngineConfig {
	models := cfg.Models
	if len(models) == 0 {
		models = []string{model}
	}
	return imitator.EngineConfig{
		Model:              models[i%len(models)],
		LoadTime:           engineLoadTime,
		Weights:            cfg.Weights,
		BaseStep:           engineStep,
		StepPerStream:      enginePerStream,
		PrefillPerKilobyte: enginePrefill,
		CachedPrefixes:     enginePrefixes,
		LoadLag:            engineLoadLag,
		EventGap:           engineEventGap,
		ChecksFencing:      i%checksEveryOther == 0,
	}
}

// serve starts one stand-in on the next port and returns its URL.
func (s *Standins) serve(port *int, h handled) (string, error) {
	srv, err := imitator.Serve(address(*port), h.Handler())
	if err != nil {
		return "", errors.Wrap(err, "start stand-in")
	}
	if *port != 0 {
		*port++
	}
	s.servers = append(s.servers, srv)
	return srv.URL, nil
}

// Close ends all stand-ins.
func (s *Standins) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
}
