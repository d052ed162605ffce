package messenger

import (
	"fmt"

	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/placer"
	"buckthorndrum/scheduler"
)

// Role is what a process is.
type Role string

// The roles.
const (
	RouterRole Role = "router"
	AgentRole  Role = "agent"
)

// Frame is one control message between two processes. Every field but Revision
// may be absent.
type Frame struct {
	// Revision is the configuration revision that the sender has in force.
	Revision identifier.Revision
	// Hello is the first frame in each direction.
	Hello *Hello
	// Offers go from a router to an agent.
	Offers []scheduler.Offer
	// Grants go from an agent to a router.
	Grants []Grant
	// Declines are the numbers of the grants for which the router had nothing.
	Declines []uint64
	// Load goes from an agent to a router.
	Load *scheduler.Load
	// Placement is what the sending agent's engine serves.
	Placement *placer.Report
	// Counters go between agents.
	Counters *Counters
	// Want asks for configuration.
	Want *Want
	// Config brings configuration.
	Config *Config
	// Leaving tells that the sender takes no new work.
	Leaving bool
	// Crashes is what the sending agent knows of crashes of engines and the prompt prefixes
	// that were running then.
	Crashes *isolator.Report
}

// Hello introduces the sender.
type Hello struct {
	Role Role `cbor:"1,keyasint"`
	// Name is the router's or the target's name.
	Name        string                 `cbor:"2,keyasint"`
	Incarnation identifier.Incarnation `cbor:"3,keyasint"`
	// Pool is the pool that an agent serves.
	Pool identifier.Pool `cbor:"4,keyasint,omitempty"`
	// DataCentre is where the sender runs.
	DataCentre identifier.DataCentre `cbor:"5,keyasint,omitempty"`
}

// Grant permits the receiver to hand over one request of Class.
type Grant struct {
	// Number is the grant's number in the sender's incarnation.
	Number uint64
	Class  identifier.Class
}

// Counters brings counter rows.
type Counters struct {
	Rows []counter.Row
	// Relay asks the receiver to send rows of other origins too.
	Relay bool
	// Caught tells that the sender has now told everything that it knows.
	Caught bool
}

// Want asks a peer for configuration.
type Want struct {
	// Head asks for the head record.
	Head bool `cbor:"1,keyasint,omitempty"`
	// Parts asks for parts by hash.
	Parts []configurator.Hash `cbor:"2,keyasint,omitempty"`
}

// Config brings configuration.
type Config struct {
	// Head is the head record as stored, empty if not asked for.
	Head []byte `cbor:"1,keyasint,omitempty"`
	// Parts are parts as stored. The receiver checks their hashes.
	Parts [][]byte `cbor:"2,keyasint,omitempty"`
}

// MaxFrame bounds one encoded frame, in bytes.
const MaxFrame = 2 << 20

func (h Hello) check() error {
	if h.Role != RouterRole && h.Role != AgentRole {
		return fmt.Errorf("role %q is neither %q nor %q", h.Role, RouterRole, AgentRole)
	}
	return identifier.CheckName(string(h.Role), h.Name)
}

func checkClass(c identifier.Class) error {
	if err := identifier.CheckName("kind", string(c.Kind)); err != nil {
		return err
	}
	return identifier.CheckName("workspace", string(c.Workspace))
}
