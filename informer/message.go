package informer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/relayer"
)

// message is the content of one datagram: a report of a router to a hub, or the total
// that a hub sends to a router.
type message struct {
	// From is the sender, and Incarnation identifies its process run.
	From        identifier.Router      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	// Number increases with each message of an incarnation. Reports and totals are
	// numbered separately.
	Number uint64 `cbor:"3,keyasint"`
	// Summary is what the sender has under way in a report, and the sum over all
	// reporting routers and the hub in a total.
	Summary forwarder.Summary `cbor:"4,keyasint"`
	// Status is how far the sender has followed the store.
	Status forwarder.Status `cbor:"5,keyasint"`
	// Echo is set in a total: the number of the receiver's report that is included.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
	// Routers is set in a total: the number of routers that are included.
	Routers int `cbor:"7,keyasint,omitempty"`
	// Changes is set in a total if the sender knows changes of the store that the
	// receiver does not know.
	Changes *relayer.ChangeSet `cbor:"8,keyasint,omitempty"`
	// Era and Revision are those of Status.
	Era      int64               `cbor:"9,keyasint,omitempty"`
	Revision identifier.Revision `cbor:"10,keyasint,omitempty"`
	// size is the size of a received message in bytes.
	size int
}

// encodedMessage is a message with an encoded summary. A hub sends the same summary to
// all routers and encodes it only once.
type encodedMessage struct {
	From        identifier.Router      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	Number      uint64                 `cbor:"3,keyasint"`
	Summary     cbor.RawMessage        `cbor:"4,keyasint"`
	Status      forwarder.Status       `cbor:"5,keyasint"`
	Echo        uint64                 `cbor:"6,keyasint,omitempty"`
	Routers     int                    `cbor:"7,keyasint,omitempty"`
	Changes     *relayer.ChangeSet     `cbor:"8,keyasint,omitempty"`
	Era         int64                  `cbor:"9,keyasint,omitempty"`
	Revision    identifier.Revision    `cbor:"10,keyasint,omitempty"`
}

// encode returns the message with its summary encoded.
func (m message) encode() (encodedMessage, error) {
	raw, err := cbor.Marshal(m.Summary)
	if err != nil {
		return encodedMessage{}, errors.Wrap(err, "encode summary")
	}
	return encodedMessage{From: m.From, Incarnation: m.Incarnation, Number: m.Number, Summary: raw, Status: m.Status, Echo: m.Echo, Routers: m.Routers, Changes: m.Changes, Era: m.Status.Era, Revision: m.Status.Revision}, nil
}

// isTotal reports whether the message is a total and not a report.
func (m message) isTotal() bool { return m.Routers > 0 }

// check returns an error if a decoded message is malformed.
func (m message) check() error {
	if m.From == "" || m.Incarnation == 0 {
		return errors.New("message has no sender or no incarnation")
	}
	if m.Routers < 0 || m.Status.ProofAge < 0 || m.Era < 0 {
		return errors.Errorf("message of router %q has a negative router count, proof age or era", m.From)
	}
	if m.Changes != nil {
		if err := m.Changes.Check(); err != nil {
			return errors.Wrapf(err, "check changes sent by router %q", m.From)
		}
	}
	return m.Summary.Check()
}

// decode decodes and checks a message.
func decode(raw []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return m, errors.Wrap(err, "decode message")
	}
	m.Status.Era, m.Status.Revision = m.Era, m.Revision
	return m, m.check()
}
