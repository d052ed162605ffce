package relayer

import "github.com/pkg/errors"

// Change is one change of the store. What a key and a value mean is known to who
// reads the store.
type Change struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	// Position is the store's after the change.
	Position int64
	// Removed tells that the key was removed.
	Removed bool
}

// ChangeSet are all changes after one position of the store up to another. A decoded
// one must be checked.
type ChangeSet struct {
	After   int64   `cbor:"1,keyasint"`
	UpTo    int64   `cbor:"2,keyasint"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
	// Incomplete tells that not all changes are here, so that the store has to be
	// asked for them.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
}

// Check reports whether decoded news are well formed.
func (n ChangeSet) Check() error {
	if n.After < 0 || n.UpTo < n.After {
		return errors.Errorf("news go from position %d to %d", n.After, n.UpTo)
	}
	last := n.After
	for _, e := range n.Changes {
		if e.Position < last || e.Position > n.UpTo {
			return errors.Errorf("change of key %q at position %d is out of order", e.Key, e.Position)
		}
		last = e.Position
	}
	return nil
}
