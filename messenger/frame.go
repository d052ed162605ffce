package messenger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
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
	Revision identifier.Revision `cbor:"1,keyasint,omitempty"`
	// Hello is the first frame in each direction.
	Hello *Hello `cbor:"2,keyasint,omitempty"`
	// Offers go from a router to an agent.
	Offers []scheduler.Offer `cbor:"3,keyasint,omitempty"`
	// Grants go from an agent to a router.
	Grants []Grant `cbor:"4,keyasint,omitempty"`
	// Declines return grants for which the router had nothing.
	Declines []identifier.Grant `cbor:"5,keyasint,omitempty"`
	// Load goes from an agent to a router.
	Load *scheduler.Load `cbor:"6,keyasint,omitempty"`
	// Counters go between agents.
	Counters *Counters `cbor:"7,keyasint,omitempty"`
	// Want asks for configuration.
	Want *Want `cbor:"8,keyasint,omitempty"`
	// Config brings configuration.
	Config *Config `cbor:"9,keyasint,omitempty"`
	// Leaving tells that the sender takes no new work.
	Leaving bool `cbor:"10,keyasint,omitempty"`
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
	ID    identifier.Grant `cbor:"1,keyasint"`
	Class identifier.Class `cbor:"2,keyasint"`
}

// Counters brings counter rows.
type Counters struct {
	Rows []counter.Row `cbor:"1,keyasint,omitempty"`
	// Relay asks the receiver to send rows of other origins too.
	Relay bool `cbor:"2,keyasint,omitempty"`
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

// maxList bounds the length of any list in a frame.
const maxList = 1 << 16

// Encode renders a frame.
func Encode(f Frame) ([]byte, error) {
	raw, err := cbor.Marshal(f)
	return raw, errors.Wrap(err, "encode frame")
}

// Decode reads and checks a frame.
func Decode(raw []byte) (Frame, error) {
	var f Frame
	if err := decMode.Unmarshal(raw, &f); err != nil {
		return Frame{}, errors.Wrap(err, "decode frame")
	}
	if err := f.Check(); err != nil {
		return Frame{}, errors.Wrap(err, "check frame")
	}
	return f, nil
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxList, MaxMapPairs: maxList, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}

// maxNesting bounds how deep a frame nests.
const maxNesting = 16

// Check reports the first fault of a decoded frame.
func (f Frame) Check() error {
	if f.Hello != nil {
		if err := f.Hello.check(); err != nil {
			return err
		}
	}
	for _, o := range f.Offers {
		if err := checkClass(o.Class); err != nil {
			return err
		}
		if o.Count < 0 || o.Age < 0 || o.Hint < 0 {
			return fmt.Errorf("offer of kind %q of workspace %q is negative", o.Class.Kind, o.Class.Workspace)
		}
	}
	for _, g := range f.Grants {
		if err := checkClass(g.Class); err != nil {
			return err
		}
	}
	if f.Counters == nil {
		return nil
	}
	for _, r := range f.Counters.Rows {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

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
