package informer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"buckthorndrum/admitter"
	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
)

// message is one datagram.
type message struct {
	// From is the sender, and Incarnation its run.
	From        identifier.Router      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
	// Number rises with each message of an incarnation.
	Number  uint64            `cbor:"3,keyasint"`
	Summary forwarder.Summary `cbor:"4,keyasint"`
}

// check reports whether a decoded message is well formed.
func (m message) check() error {
	if m.From == "" || m.Incarnation == 0 {
		return errors.New("message does not say who sent it")
	}
	for id, l := range m.Summary.Loads {
		if l.Running < 0 || l.Unread < 0 || l.Memory < 0 {
			return errors.Errorf("load of target %q is negative: %+v", id, admitter.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory})
		}
	}
	for w, r := range m.Summary.Rates {
		if r.Asked < 0 || r.Given < 0 {
			return errors.Errorf("rates of workspace %q are negative", w)
		}
	}
	return nil
}

func decode(raw []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return m, errors.Wrap(err, "decode message")
	}
	return m, m.check()
}
