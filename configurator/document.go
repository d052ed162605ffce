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

// Document is the complete configuration of a fleet.
type Document struct {
	// Workspaces have distinct ids.
	Workspaces []Workspace `json:"workspaces"`
	// Kinds have distinct ids; the shares of one pool's kinds sum to at most 1.
	Kinds []Kind `json:"kinds"`
	// Pools have distinct ids.
	Pools []Pool `json:"pools"`
	// Targets have distinct ids.
	Targets []Target `json:"targets"`
	// Operators have distinct ids. They may read and change the document.
	Operators []Operator `json:"operators"`
	Limits    Limits     `json:"limits"`
}

// Workspace is a tenant that submits requests.
type Workspace struct {
	ID identifier.Workspace `json:"id"`
	// Weight is the workspace's part of the capacity in proportion to the other
	// workspaces' weights; zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// TokenHashes are the SHA-256 hashes of its bearer tokens, in hexadecimal.
	TokenHashes []string `json:"token_hashes"`
}

// Kind is a class of requests that run in one pool.
type Kind struct {
	ID   identifier.Kind `json:"id"`
	Pool identifier.Pool `json:"pool"`
	// Share is the guaranteed part of the pool's capacity, from 0 to 1.
	Share float64 `json:"share"`
	// Urgency orders kinds as far as shares and fairness permit.
	Urgency int `json:"urgency,omitempty"`
	// Repeatable is true if running a request twice does no harm. Requests of
	// other kinds need an idempotency key.
	Repeatable bool `json:"repeatable"`
	// Path is the URL path at which a service accepts requests of this kind.
	Path string `json:"path,omitempty"`
	// Cost is the cost charged for one call of a service, and the estimated cost
	// of a model request without a hint, in weighted tokens.
	Cost identifier.Cost `json:"cost"`
	// Model serves requests of this kind; empty means the pool's model.
	Model identifier.Model `json:"model,omitempty"`
	// Adapter is loaded on top of the model for this kind; empty means none.
	Adapter identifier.Adapter `json:"adapter,omitempty"`
	// MaxTokens is the maximum length of the answer to a model request, in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxQueued is the maximum number of waiting requests of one workspace at one
	// router.
	MaxQueued int `json:"max_queued"`
	// MaxQueuedBytes is the maximum total size of their bodies, in bytes.
	MaxQueuedBytes int `json:"max_queued_bytes"`
	// DeadlineMS is the time limit of a request that specifies none, in
	// milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// PoolType is the type of the targets in a pool.
type PoolType string

// The types of targets.
const (
	Engine  PoolType = "engine"
	Service PoolType = "service"
)

// Pool is a set of interchangeable targets.
type Pool struct {
	ID   identifier.Pool `json:"id"`
	Type PoolType        `json:"type"`
	// Model serves the kinds that name no model. If neither the pool nor its kinds
	// name one, the engines keep what they have loaded.
	Model identifier.Model `json:"model,omitempty"`
	// MinTargets is the minimum number of targets for each model; zero means 1.
	MinTargets int `json:"min_targets,omitempty"`
	// WeightLoadsPerMinute is the maximum rate at which the pool's targets together
	// load model weights; zero means 6.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute,omitempty"`
	// MaxAdapters is the number of adapters that an engine can hold; zero means 8.
	MaxAdapters int `json:"max_adapters,omitempty"`
	// CreditWindow bounds the credit and the debt with which a workspace starts a
	// backlogged period, in weighted tokens.
	CreditWindow identifier.Cost `json:"credit_window"`
	// TokenTargetMS is the time between tokens above which an engine's batch is
	// reduced, in milliseconds; with zero it is never reduced.
	TokenTargetMS int64 `json:"token_target_ms,omitempty"`
}

// TargetState is the desired state of a target, as set by operators.
type TargetState string

// The states of a target.
const (
	Active  TargetState = "active"
	Leaving TargetState = "leaving"
)

// Target is a back end together with its agent.
type Target struct {
	ID   identifier.Target `json:"id"`
	Pool identifier.Pool   `json:"pool"`
	// Agent is the address of the target's agent, as host:port.
	Agent      string                `json:"agent"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Region     identifier.Region     `json:"region,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// State is Active or Leaving; empty means Active.
	State TargetState `json:"state,omitempty"`
	// ChecksFencing is true if the target rejects orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// RefusesRepeats is true if the target itself runs the request of an idempotency
	// key at most once.
	RefusesRepeats bool `json:"refuses_repeats,omitempty"`
}

// Operator is a person or console that administers the fleet.
type Operator struct {
	ID string `json:"id"`
	// TokenHash is the SHA-256 hash of the bearer token, in hexadecimal.
	TokenHash string `json:"token_hash"`
}

// Limits holds the bounds that apply to each process.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of one request.
	MaxBodyBytes int `json:"max_body_bytes"`
	// RouterBytes is the maximum total size of the waiting bodies of one router.
	RouterBytes int `json:"router_bytes"`
	// RetryRatio is the number of retries allowed per request, from 0 to 1.
	RetryRatio float64 `json:"retry_ratio"`
	// KeyAgeMS is the age up to which a caller's own idempotency key, which no router
	// has minted, is accepted. It is in milliseconds and at most MaxKeyAge.
	KeyAgeMS int64 `json:"key_age_ms"`
	// ClaimsPerSecond is the maximum rate at which all routers together write
	// claims. Each router may use an equal part of it.
	ClaimsPerSecond float64 `json:"claims_per_second"`
}

// MaxKeyAge is the greatest value of Limits.KeyAgeMS. How long claims are kept depends
// on it and not on the age limit in force, since that may be raised later.
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

// Decode decodes and checks a document. It returns an error for unknown keys, wrong types
// and text after the document, and Problems if the document is not valid. Limits that are
// not given are those of DefaultLimits.
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
