package configurator

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/invopop/jsonschema"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// Document is the whole configuration of a fleet.
type Document struct {
	// Workspaces have distinct ids.
	Workspaces []Workspace `json:"workspaces"`
	// Kinds have distinct ids; the shares of one pool's kinds sum to at most 1.
	Kinds []Kind `json:"kinds"`
	// Pools have distinct ids.
	Pools []Pool `json:"pools"`
	// Targets have distinct ids.
	Targets []Target `json:"targets"`
	// Operators may read and change the document.
	Operators []Operator `json:"operators"`
	Limits    Limits     `json:"limits"`
}

// Workspace is a customer that submits requests.
type Workspace struct {
	ID identifier.Workspace `json:"id"`
	// Weight is the workspace's part of the capacity relative to others; zero
	// counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// TokenHashes are the SHA-256 hashes of its bearer tokens, in hexadecimal.
	TokenHashes []string `json:"token_hashes"`
}

// Kind is a class of work.
type Kind struct {
	ID   identifier.Kind `json:"id"`
	Pool identifier.Pool `json:"pool"`
	// Share is the guaranteed part of the pool's capacity, from 0 to 1.
	Share float64 `json:"share"`
	// Urgency orders kinds inside what shares and fairness allow.
	Urgency int `json:"urgency,omitempty"`
	// Repeatable tells that running a request twice does no harm. Requests of
	// other kinds need an idempotency key.
	Repeatable bool `json:"repeatable"`
	// Path is where a plain service takes requests of this kind.
	Path string `json:"path,omitempty"`
	// Cost is the cost charged for one call of a plain service, and the
	// estimate for a model request without a hint, in weighted tokens.
	Cost identifier.Cost `json:"cost"`
	// Model serves requests of this kind, instead of the pool's.
	Model identifier.Model `json:"model,omitempty"`
	// Adapter is loaded on top of the model for this kind.
	Adapter identifier.Adapter `json:"adapter,omitempty"`
	// MaxTokens bounds the answer of a model request, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxQueued bounds the waiting requests of one workspace at one router.
	MaxQueued int `json:"max_queued"`
	// MaxQueuedBytes bounds their bodies, in bytes.
	MaxQueuedBytes int `json:"max_queued_bytes"`
	// DeadlineMS is the deadline of a request that brings none, in
	// milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// PoolType is the sort of targets in a pool.
type PoolType string

// The sorts of targets.
const (
	Engine  PoolType = "engine"
	Service PoolType = "service"
)

// Pool is a set of targets that can stand in for one another.
type Pool struct {
	ID   identifier.Pool `json:"id"`
	Type PoolType        `json:"type"`
	// Model serves the kinds that name none. Without any model the engines are
	// left with what they have loaded.
	Model identifier.Model `json:"model,omitempty"`
	// MinTargets is how many targets each model is to have at least; zero
	// counts as 1.
	MinTargets int `json:"min_targets,omitempty"`
	// WeightLoadsPerMinute bounds how often the pool's targets together load
	// weights; zero counts as 6.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute,omitempty"`
	// MaxAdapters is how many adapters an engine holds; zero counts as 8.
	MaxAdapters int `json:"max_adapters,omitempty"`
	// CreditWindow bounds the credit and debt of a newly backlogged workspace,
	// in weighted tokens.
	CreditWindow identifier.Cost `json:"credit_window"`
	// TokenTargetMS is the time between tokens above which an engine's batch is
	// made smaller, in milliseconds; zero leaves it.
	TokenTargetMS int64 `json:"token_target_ms,omitempty"`
}

// TargetState is what operators want of a target.
type TargetState string

// The states of a target.
const (
	Active  TargetState = "active"
	Leaving TargetState = "leaving"
)

// Target is a back end with the agent beside it.
type Target struct {
	ID   identifier.Target `json:"id"`
	Pool identifier.Pool   `json:"pool"`
	// Agent is the address of the agent beside the target, as host:port.
	Agent      string                `json:"agent"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Region     identifier.Region     `json:"region,omitempty"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// State is active unless the target is to leave.
	State TargetState `json:"state,omitempty"`
	// ChecksFencing tells that the target refuses orders with an old number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// RefusesRepeats tells that the target itself runs a key at most once.
	RefusesRepeats bool `json:"refuses_repeats,omitempty"`
}

// Operator is a person or console that administers the fleet.
type Operator struct {
	ID string `json:"id"`
	// TokenHash is the SHA-256 hash of the bearer token, in hexadecimal.
	TokenHash string `json:"token_hash"`
}

// Limits are the bounds that hold for each process.
type Limits struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int `json:"max_body_bytes"`
	// RouterBytes bounds all waiting bodies of one router.
	RouterBytes int `json:"router_bytes"`
	// RetryRatio is how many retries are allowed for each request, from 0 to 1.
	RetryRatio float64 `json:"retry_ratio"`
	// KeyAgeMS is the age up to which a caller's own key is accepted, at most
	// MaxKeyAge.
	KeyAgeMS int64 `json:"key_age_ms"`
	// ClaimsPerSecond bounds the claims that all routers together write; each
	// takes an equal part of it.
	ClaimsPerSecond float64 `json:"claims_per_second"`
}

// MaxKeyAge bounds the age up to which keys are accepted. Claims are kept by it
// and not by the age in force, which may be raised later.
const MaxKeyAge = 24 * time.Hour

// DefaultLimits returns limits that suit a small fleet.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:    1 << 20,
		RouterBytes:     64 << 20,
		RetryRatio:      0.1,
		KeyAgeMS:        MaxKeyAge.Milliseconds(),
		ClaimsPerSecond: 200,
	}
}

// Decode reads and checks a document. Unknown keys and wrong types are errors.
func Decode(raw []byte) (Document, error) {
	doc := Document{Limits: DefaultLimits()}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if _, err := d.Token(); err != io.EOF {
		return Document{}, errors.New("decode configuration: text follows the document")
	}
	if ps := doc.Check(); len(ps) > 0 {
		return Document{}, ps
	}
	return doc, nil
}

// Schema returns the JSON Schema of the document.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{DoNotReference: true}
	return json.MarshalIndent(r.Reflect(&Document{}), "", "  ")
}
