package loader

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Config sets up a run.
type Config struct {
	// Routers are the routers' base URLs.
	Routers []string
	// Engine is a stand-in engine's base URL to compare with, empty for none.
	Engine string
	// Workspaces and their tokens send the requests.
	Workspaces []identifier.Workspace
	Token      func(identifier.Workspace) string
	// OperatorToken reads the routers' status, empty for none.
	OperatorToken string
	Duration      time.Duration
	// Callers is how many requests each workspace keeps open.
	Callers int
	Profile Profile
	Seed    uint64
}

// Profile is a mix of requests.
type Profile struct {
	Name string
	// Mix are the sorts of requests with their weights.
	Mix []Sort
}

// Sort is one sort of request of a profile.
type Sort struct {
	Kind identifier.Kind
	// Weight is the part of the requests that are of this sort.
	Weight int
	// MinTokens and MaxTokens bound the length of a model's answer; both are
	// zero for a plain service.
	MinTokens int
	MaxTokens int
	// Keyed tells that the request needs an idempotency key.
	Keyed bool
}

// Profiles returns the profiles by name.
func Profiles() map[string]Profile {
	mixed := []Sort{
		{Kind: "draft", Weight: 2, MinTokens: 100, MaxTokens: 400},
		{Kind: "answer", Weight: 5, MinTokens: 10, MaxTokens: 60},
		{Kind: "tag", Weight: 2, MinTokens: 2, MaxTokens: 8},
		{Kind: "ticket", Weight: 3, Keyed: true},
		{Kind: "status", Weight: 4},
	}
	flood := append([]Sort{{Kind: "tag", Weight: 200, MinTokens: 2, MaxTokens: 8}}, mixed...)
	return map[string]Profile{
		"mixed": {Name: "mixed", Mix: mixed},
		"flood": {Name: "flood", Mix: flood},
	}
}

// Check reports the first fault of the configuration.
func (c Config) Check() error {
	if len(c.Routers) == 0 {
		return errors.New("no router is named")
	}
	if c.Duration <= 0 || c.Callers <= 0 {
		return fmt.Errorf("duration %s and callers %d must be positive", c.Duration, c.Callers)
	}
	if len(c.Profile.Mix) == 0 {
		return errors.New("profile is empty")
	}
	return nil
}

// pick draws a sort by weight.
func (p Profile) pick(rng *rand.Rand) Sort {
	total := 0
	for _, s := range p.Mix {
		total += s.Weight
	}
	n := rng.IntN(total)
	for _, s := range p.Mix {
		if n < s.Weight {
			return s
		}
		n -= s.Weight
	}
	return p.Mix[0]
}
