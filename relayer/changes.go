package relayer

import "github.com/pkg/errors"

// Change is one change of a key in the store. The package does not interpret keys and
// values.
type Change struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	// Position is the store's position after the change.
	Position int64
	// Removed is true if the key was removed.
	Removed bool
}

// ChangeSet holds all changes after one position of the store up to and including
// another, in one era. A decoded set must be checked.
type ChangeSet struct {
	After   int64    `cbor:"1,keyasint"`
	UpTo    int64    `cbor:"2,keyasint"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
	// Incomplete is true if changes are missing, so that they must be read from the
	// store.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of all positions of the set.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if the positions of a decoded set are negative or out of order.
func (s ChangeSet) Check() error {
	if s.After < 0 || s.UpTo < s.After || s.Era < 0 {
		return errors.Errorf("change set has invalid positions: after %d, up to %d in era %d", s.After, s.UpTo, s.Era)
	}
	last := s.After
	for _, c := range s.Changes {
		if c.Position < last || c.Position > s.UpTo {
			return errors.Errorf("change of key %q at position %d is out of order", c.Key, c.Position)
		}
		last = c.Position
	}
	return nil
}
