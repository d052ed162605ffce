package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"regexp"
	"time"
)

// Workspace names a customer whose requests share capacity with others.
type Workspace string

// Kind names a class of work, such as a contract draft or a ticket issuance.
type Kind string

// Model names the weights of a model in one version.
type Model string

// Adapter names weights that are loaded on top of a model's.
type Adapter string

// Pool names a set of targets that can stand in for one another.
type Pool string

// Target names one back end: a model engine or a plain service.
type Target string

// Router names one router process.
type Router string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, which holds one or more data centres.
type Region string

// Request identifies one request of one caller, unique across the fleet.
type Request string

// Revision numbers the accepted configurations. It only rises.
type Revision uint64

// StorePosition is a position in the history of the platform's store. The zero position is
// before all others.
type StorePosition struct {
	// Era counts how often the store has come back from a copy. It lost what it had
	// acknowledged since that was made, and gives its revisions out again, so that
	// revisions of different eras say nothing of each other.
	Era int64
	// Revision is the store's revision. It rises with each change of an era.
	Revision int64
}

// Before reports whether p is an earlier position than q.
func (p StorePosition) Before(q StorePosition) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// Incarnation distinguishes one run of a process from all its other runs.
type Incarnation uint64

// NewIncarnation returns a random incarnation that is never zero.
func NewIncarnation() Incarnation {
	var b [8]byte
	// Read never fails and never returns fewer bytes.
	_, _ = rand.Read(b[:])
	return Incarnation(binary.BigEndian.Uint64(b[:])>>1 | 1)
}

// Origin is one incarnation of the agent beside one target.
type Origin struct {
	Target      Target      `cbor:"1,keyasint" json:"target"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
}

// String renders the origin as target/incarnation.
func (o Origin) String() string {
	return fmt.Sprintf("%s/%x", o.Target, uint64(o.Incarnation))
}

// Grant identifies one permission to hand a request to a target.
// A grant of one incarnation is void in every other incarnation.
type Grant struct {
	Origin Origin `cbor:"1,keyasint" json:"origin"`
	Number uint64 `cbor:"2,keyasint" json:"number"`
}

// Class is a queue's identity: a kind of work of one workspace.
type Class struct {
	Kind      Kind      `cbor:"1,keyasint" json:"kind"`
	Workspace Workspace `cbor:"2,keyasint" json:"workspace"`
}

// Prefix is the hash of a prompt prefix, zero for none. A collision costs no
// more than a cache miss.
type Prefix uint32

// Cost is an amount of service in weighted tokens.
type Cost int64

// Instant is a point in time in nanoseconds since the Unix epoch.
type Instant int64

// InstantOf converts t to an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Outcome is what a caller is told about the fate of its request.
type Outcome string

// The three outcomes that a caller can be told.
const (
	// Done means that the request ran and its whole answer was delivered.
	Done Outcome = "done"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run; repeat it under its key.
	Unknown Outcome = "unknown"
)

// Check returns an error if the outcome is none of the three.
func (o Outcome) Check() error {
	if o != Done && o != NotRun && o != Unknown {
		return fmt.Errorf("%.40q is no outcome", o)
	}
	return nil
}

// maxNameLength bounds names, in bytes, so that messages stay small.
const maxNameLength = 64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// maxModelLength bounds the names of models and adapters, in bytes.
const maxModelLength = 128

var modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]*$`)

// CheckModel reports whether s can name a model or an adapter. Engines choose
// these names, so that more is allowed than in other names.
func CheckModel(what, s string) error {
	if len(s) > maxModelLength || !modelPattern.MatchString(s) {
		return fmt.Errorf("%s %.32q must start with a letter or digit, use only those and '._:/@+-', and have at most %d bytes", what, s, maxModelLength)
	}
	return nil
}

// CheckName reports whether s can name a workspace, kind, pool, target, router,
// data centre or region; what says which of them is checked.
func CheckName(what, s string) error {
	if len(s) > maxNameLength {
		return fmt.Errorf("%s %.16q... is longer than %d bytes", what, s, maxNameLength)
	}
	if !namePattern.MatchString(s) {
		return fmt.Errorf("%s %q must start with a lower-case letter or digit and use only those, '.', '_' and '-'", what, s)
	}
	return nil
}
