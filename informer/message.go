package informer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/relayer"
)

// message is one datagram: a report of a router to a hub, or the total that a
// hub tells a router.
type message struct {
	// From is the sender, and Incarnation its run.
	From        identifier.Router      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	// Number rises with each message of an incarnation.
	Number uint64 `cbor:"3,keyasint"`
	// Summary is of the sender in a report, and of all routers in a total.
	Summary forwarder.Summary `cbor:"4,keyasint"`
	// Status is the sender's.
	Status forwarder.Status `cbor:"5,keyasint"`
	// Echo is set in a total: the latest report of the receiver that is in it.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
	// Routers is set in a total: how many routers are in it.
	Routers int `cbor:"7,keyasint,omitempty"`
	// Changes is set in a total if the receiver is behind the sender.
	Changes *relayer.ChangeSet `cbor:"8,keyasint,omitempty"`
}

// encodedMessage is a message whose summary is encodedMessage already, since a hub tells all
// routers the same one.
type encodedMessage struct {
	From        identifier.Router      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	Number      uint64                 `cbor:"3,keyasint"`
	Summary     cbor.RawMessage        `cbor:"4,keyasint"`
	Status      forwarder.Status       `cbor:"5,keyasint"`
	Echo        uint64                 `cbor:"6,keyasint,omitempty"`
	Routers     int                    `cbor:"7,keyasint,omitempty"`
	Changes     *relayer.ChangeSet     `cbor:"8,keyasint,omitempty"`
}

// encode encodes the summary of a message.
func (m message) encode() (encodedMessage, error) {
	raw, err := cbor.Marshal(m.Summary)
	if err != nil {
		return encodedMessage{}, errors.Wrap(err, "encode summary")
	}
	return encodedMessage{From: m.From, Incarnation: m.Incarnation, Number: m.Number, Summary: raw, Status: m.Status, Echo: m.Echo, Routers: m.Routers, Changes: m.Changes}, nil
}

// isTotal tells a total from a report.
func (m message) isTotal() bool { return m.Routers > 0 }

// check reports whether a decoded message is well formed.
func (m message) check() error {
	if m.From == "" || m.Incarnation == 0 {
		return errors.New("message does not say who sent it")
	}
	if m.Routers < 0 || m.Status.ProofAge < 0 {
		return errors.Errorf("message of router %q has a negative count or age", m.From)
	}
	if m.Changes != nil {
		if err := m.Changes.Check(); err != nil {
			return errors.Wrapf(err, "check news of router %q", m.From)
		}
	}
	return m.Summary.Check()
}

func decode(raw []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return m, errors.Wrap(err, "decode message")
	}
	return m, m.check()
}
