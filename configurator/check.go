package configurator

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"

	"buckthorndrum/identifier"
)

// Problem is one error in a document.
type Problem struct {
	// Path is the location of the error, such as targets[3].slots.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Problems holds all errors in a document. A nonempty list is used as an error.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Path + ": " + p.Message
	}
	return "configuration is not valid: " + strings.Join(lines, "; ")
}

// checker collects the problems of one document.
type checker struct {
	doc      *Document
	problems Problems
	poolByID map[identifier.Pool]Pool
}

// Check validates the document and returns the problems found.
func (d *Document) Check() Problems {
	c := &checker{doc: d, poolByID: map[identifier.Pool]Pool{}}
	c.checkPools()
	c.checkKinds()
	c.checkShares()
	c.checkTargets()
	c.checkModels()
	c.checkWorkspaces()
	c.checkOperators()
	c.checkLimits()
	return c.problems
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkID checks that an id is well formed and is not in seen yet, and adds it to seen.
// The noun what is used in messages.
func (c *checker) checkID(path, what, id string, seen map[string]bool) {
	if err := identifier.CheckName(what, id); err != nil {
		c.add(path+".id", "%v", err)
	}
	if seen[id] {
		c.add(path+".id", "%s %q stands twice", what, id)
	}
	seen[id] = true
}

func (c *checker) checkPools() {
	seen := map[string]bool{}
	for i, p := range c.doc.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.checkID(path, "pool", string(p.ID), seen)
		c.poolByID[p.ID] = p
		if p.Type != Engine && p.Type != Service {
			c.add(path+".type", "pool type %q is neither %q nor %q", p.Type, Engine, Service)
		}
		if p.CreditWindow <= 0 {
			c.add(path+".credit_window", "credit window %d is not positive", p.CreditWindow)
		}
		if p.TokenTargetMS < 0 {
			c.add(path+".token_target_ms", "token target %d is negative", p.TokenTargetMS)
		}
	}
}

func (c *checker) checkKinds() {
	seen := map[string]bool{}
	for i, k := range c.doc.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		c.checkID(path, "kind", string(k.ID), seen)
		pool, known := c.poolByID[k.Pool]
		if !known {
			c.add(path+".pool", "pool %q does not exist", k.Pool)
		}
		if known && pool.Type == Service && !strings.HasPrefix(k.Path, "/") {
			c.add(path+".path", "path %q of a service kind must start with /", k.Path)
		}
		if known && pool.Type == Engine && k.MaxTokens <= 0 {
			c.add(path+".max_tokens", "max tokens %d of a model kind is not positive", k.MaxTokens)
		}
		c.checkKindBounds(path, k)
	}
}

func (c *checker) checkKindBounds(path string, k Kind) {
	if k.Share < 0 || k.Share > 1 {
		c.add(path+".share", "share %v is not between 0 and 1", k.Share)
	}
	if k.Cost <= 0 {
		c.add(path+".cost", "cost %d is not positive", k.Cost)
	}
	if k.MaxQueued <= 0 {
		c.add(path+".max_queued", "queue bound %d is not positive", k.MaxQueued)
	}
	if k.MaxQueuedBytes <= 0 {
		c.add(path+".max_queued_bytes", "queue bound %d is not positive", k.MaxQueuedBytes)
	}
	if k.DeadlineMS <= 0 {
		c.add(path+".deadline_ms", "deadline %d is not positive", k.DeadlineMS)
	}
}

// maxShareSum is the greatest sum of a pool's shares. It exceeds 1 to allow for the
// rounding of decimal shares.
const maxShareSum = 1 + 1e-6

// checkShares checks that the shares of each pool sum to at most 1, and that they leave
// capacity for kinds without a share.
func (c *checker) checkShares() {
	sums := map[identifier.Pool]float64{}
	withoutShare := map[identifier.Pool]int{}
	for i, k := range c.doc.Kinds {
		sums[k.Pool] += k.Share
		if k.Share == 0 {
			withoutShare[k.Pool] = i
		}
	}
	for p, sum := range sums {
		if sum > maxShareSum {
			c.add("kinds", "shares of pool %q sum to %v, more than 1", p, sum)
		}
		i, exists := withoutShare[p]
		if exists && sum > 1-1e-6 {
			c.add(fmt.Sprintf("kinds[%d].share", i), "kind %q would starve: it has no share and the others of pool %q have all", c.doc.Kinds[i].ID, p)
		}
	}
}

func (c *checker) checkTargets() {
	seen := map[string]bool{}
	for i, t := range c.doc.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.checkID(path, "target", string(t.ID), seen)
		if _, known := c.poolByID[t.Pool]; !known {
			c.add(path+".pool", "pool %q does not exist", t.Pool)
		}
		if _, _, err := net.SplitHostPort(t.Agent); err != nil {
			c.add(path+".agent", "agent address %q is not host:port", t.Agent)
		}
		if t.Slots <= 0 {
			c.add(path+".slots", "slots %d is not positive", t.Slots)
		}
		if t.State != "" && t.State != Active && t.State != Leaving {
			c.add(path+".state", "state %q is neither %q nor %q", t.State, Active, Leaving)
		}
		if err := identifier.CheckName("data centre", string(t.DataCentre)); err != nil {
			c.add(path+".data_centre", "%v", err)
		}
	}
}

func (c *checker) checkWorkspaces() {
	seen := map[string]bool{}
	hashes := map[string]bool{}
	for i, w := range c.doc.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkID(path, "workspace", string(w.ID), seen)
		if w.Weight < 0 {
			c.add(path+".weight", "weight %v is negative", w.Weight)
		}
		for j, h := range w.TokenHashes {
			c.checkTokenHash(fmt.Sprintf("%s.token_hashes[%d]", path, j), h, hashes)
		}
	}
}

func (c *checker) checkOperators() {
	seen := map[string]bool{}
	hashes := map[string]bool{}
	for i, o := range c.doc.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.checkID(path, "operator", o.ID, seen)
		c.checkTokenHash(path+".token_hash", o.TokenHash, hashes)
	}
	if len(c.doc.Operators) == 0 {
		c.add("operators", "no operator is named, so that nobody could change the configuration again")
	}
}

// tokenHashLength is the number of hexadecimal digits of a SHA-256 hash.
const tokenHashLength = 64

// checkTokenHash checks that a token hash is well formed and is not in seen yet, and adds
// it to seen.
func (c *checker) checkTokenHash(path, h string, seen map[string]bool) {
	if _, err := hex.DecodeString(h); err != nil || len(h) != tokenHashLength {
		c.add(path, "token hash is not %d hexadecimal digits", tokenHashLength)
		return
	}
	if seen[h] {
		c.add(path, "token hash stands twice")
	}
	seen[h] = true
}

func (c *checker) checkLimits() {
	l := c.doc.Limits
	if l.MaxBodyBytes <= 0 {
		c.add("limits.max_body_bytes", "bound %d is not positive", l.MaxBodyBytes)
	}
	if l.RouterBytes <= 0 {
		c.add("limits.router_bytes", "bound %d is not positive", l.RouterBytes)
	}
	if l.RetryRatio < 0 || l.RetryRatio > 1 {
		c.add("limits.retry_ratio", "ratio %v is not between 0 and 1", l.RetryRatio)
	}
	if l.KeyAgeMS <= 0 || l.KeyAgeMS > MaxKeyAge.Milliseconds() {
		c.add("limits.key_age_ms", "age %d is not between 1 and %d", l.KeyAgeMS, MaxKeyAge.Milliseconds())
	}
	if l.ClaimsPerSecond <= 0 {
		c.add("limits.claims_per_second", "rate %v is not positive", l.ClaimsPerSecond)
	}
}
