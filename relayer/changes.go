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
	After   int64    `cbor:"1,keyasint"`
	UpTo    int64    `cbor:"2,keyasint"`
	Changes []Change `cbor:"3,keyasint,omitempty"`
	// Incomplete tells that not all changes are here, so that the store has to be
	// asked for them.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
}

// Check reports whether decoded news are well formed.
func (s ChangeSet) Check() error {
	if s.After < 0 || s.UpTo < s.After {
		return errors.Errorf("news go from position %d to %d", s.After, s.UpTo)
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
