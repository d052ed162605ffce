package inspector

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Input is a configuration that is to be checked.
type Input struct {
	// Raw is the file as it was written.
	Raw []byte
	// Decoded is the configuration as routers decode it, encoded as JSON with the names of
	// the file and with all fields that routers read.
	Decoded []byte
	// ServedBy has for each route the index of the route that gets the requests for its host
	// and prefix, or -1 if none does.
	ServedBy []int
	// BodyBytes is the longest request body that the instance of the given settings can
	// hold, in bytes. It is zero if no settings are given.
	BodyBytes int64
	// Targets is the number of targets of each service, as far as it is known.
	Targets map[string]int
}

// config has the fields of a configuration for which there are rules. Times are in
// milliseconds unless their name ends in _s.
type config struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"prefix"`
	TimeoutMS     float64 `json:"timeout_ms"`
	TargetLatency float64 `json:"target_latency_ms"`
	GapAim        float64 `json:"gap_aim_ms"`
	Service       string  `json:"service"`
	Split         []split `json:"traffic_split"`
	Attempts      int     `json:"attempts"`
}

type split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name     string  `json:"name"`
	Engine   *engine `json:"engine"`
	ColdS    float64 `json:"cold_s"`
	ColdPerS float64 `json:"cold_per_s"`
}

type engine struct {
	Slots      int     `json:"slots"`
	KVCapacity int     `json:"kv_capacity"`
	Stride     float64 `json:"stride"`
}

type limits struct {
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	MaxHeaderBytes  float64 `json:"max_header_bytes"`
	HeaderTimeoutMS float64 `json:"header_timeout_ms"`
	IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
	TokensPerS      float64 `json:"tokens_per_s"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// readConfig reads the fields of in.Decoded.
func readConfig(in Input) (config, error) {
	var c config
	err := json.Unmarshal(in.Decoded, &c)
	return c, errors.Wrap(err, "read decoded configuration")
}

// serviceNames returns the names of the services.
func (c config) serviceNames() map[string]bool {
	names := map[string]bool{}
	for _, s := range c.Services {
		names[s.Name] = true
	}
	return names
}
